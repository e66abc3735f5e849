/**
 * An incarnation: one start of an instance.
 *
 * An instance may restart under the same id. It then has no state from before, and its counters start again.
 * The start time by the instance's own clock orders the incarnations of one id. It is not comparable between
 * instances with different ids. If the clock is set back between two starts, the order is reversed; the
 * running incarnation is then determined by a query to the instance. Pure.
 */

import type { Brand } from "effect";

/** Id of an instance and start time of one of its incarnations. */
export interface Incarnation {
  readonly instanceId: string;
  /** Unix milliseconds by the instance's own clock; 0 if the instance does not report it. */
  readonly born: number;
}

/** Text that identifies an incarnation. */
export type IncarnationKey = string & Brand.Brand<"IncarnationKey">;

/** Separates the instance id from the start time. */
const SEPARATOR = "@";

/** Gets the key of an incarnation: the instance id alone if the start time is not reported. */
export function getIncarnationKey({ instanceId, born }: Incarnation): IncarnationKey {
  return (born === 0 ? instanceId : `${instanceId}${SEPARATOR}${born}`) as IncarnationKey;
}

/** Gets the incarnation of an instance that a key identifies. */
export function parseIncarnationKey(instanceId: string, key: string): Incarnation {
  if (key === instanceId) return { instanceId, born: 0 };
  return { instanceId, born: Number(key.slice(instanceId.length + SEPARATOR.length)) };
}
