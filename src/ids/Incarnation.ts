/**
 * One life of an instance.
 *
 * An instance may start again under the id that it had: it then knows nothing of before, and its counts
 * begin anew. The time of its start, by its own clock, orders the lives of one id. It says nothing of
 * instances with other ids, and a clock that was set back between two starts turns the order round: who runs
 * is then found out by asking. Pure.
 */

import type { Brand } from "effect";

/** An id and the start of one life under it. */
export interface Incarnation {
  readonly instanceId: string;
  /** Unix milliseconds by the instance's own clock; 0 when it does not tell. */
  readonly born: number;
}

/** Text that names one life. */
export type IncarnationKey = string & Brand.Brand<"LifeKey">;

/** Parts an instance's id from the start of its life. */
const SEPARATOR = "@";

/** Gets the text that names a life; of an instance that does not tell its start it is its id. */
export function getIncarnationKey({ instanceId, born }: Incarnation): IncarnationKey {
  return (born === 0 ? instanceId : `${instanceId}${SEPARATOR}${born}`) as IncarnationKey;
}

/** Gets the life of an instance that a text names. */
export function parseIncarnationKey(instanceId: string, key: string): Incarnation {
  if (key === instanceId) return { instanceId, born: 0 };
  return { instanceId, born: Number(key.slice(instanceId.length + SEPARATOR.length)) };
}
