/** Computes how long a request waits for what its entry needs to decide about it. Pure. */
import { DEFAULT_REMAINING_MS } from "./retryAfter";

/**
 * Time in which an entry that has started receives its declaration, and the targets of a service that is new to it:
 * instances report every 1.2 s, and their reports reach an entry within some hundred milliseconds.
 */
const EXPECTED_MS = 2_000;
const MAX_HOLD_MS = 1_000;
/** Fraction of its caller's time that a request waits: one that is refused then still has time to retry. */
const MAX_HOLD_SHARE = 0.3;

/**
 * Gets until when a request waits, monotonic milliseconds.
 * @param expectedSince - Since when the entry has been expecting what the request needs.
 * @param receivedAt - When the request arrived.
 * @param waitMs - How long its caller waits for an answer; `undefined` when it is not stated.
 */
export function getHoldEnd(expectedSince: number, receivedAt: number, waitMs: number | undefined): number {
  const holdMs = Math.min(MAX_HOLD_MS, (waitMs ?? DEFAULT_REMAINING_MS) * MAX_HOLD_SHARE);
  return Math.min(expectedSince + EXPECTED_MS, receivedAt + holdMs);
}
