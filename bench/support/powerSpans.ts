/** Spans between losses of power, and how long orders waited in calm. Times are Unix milliseconds. */
import type { SentVersion } from "../../test/platform/OperatorStandin";

/** From the moment that power is back to the next loss, or to the end. */
export interface PowerSpan {
  readonly onAt: number;
  readonly offAt: number;
}

/** Whoever has power again is in touch so long after it: as the rules give it. */
export const CONTACT_MS = 4_000;

/** Checks whether something was within a span. */
export function isWithin(at: number, { onAt, offAt }: PowerSpan): boolean {
  return at >= onAt && at < offAt;
}

/** Gets the longest time in calm at a stretch for which an order had no acknowledgement. */
export function getLongestCalmWaitMs(orders: readonly SentVersion[], spans: readonly PowerSpan[]): number {
  const waits = orders.flatMap((order) => spans.map((span) => getCalmWaitMs(order, span)));
  return Math.max(0, ...waits);
}

function getCalmWaitMs({ sentAt, acknowledgedAt }: SentVersion, { onAt, offAt }: PowerSpan): number {
  const from = Math.max(sentAt, onAt + CONTACT_MS);
  const to = Math.min(acknowledgedAt ?? Number.POSITIVE_INFINITY, offAt);
  return Math.max(0, to - from);
}
