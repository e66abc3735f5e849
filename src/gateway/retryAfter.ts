/**
 * Computes when a refused caller may retry (`Retry-After`).
 *
 * A caller that retries during the same outage is refused again and mostly abandons the request. Callers that
 * all retry at the same time overload the endpoints. Pure.
 */

/** Callers honour a retry time of up to a third of their remaining time. */
const MAX_HONOURED_SHARE = 0.3;
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 3_000;
/**
 * Minimum fraction of the retry time; the rest is random and spreads callers that were refused at the same
 * time.
 */
const MIN_RANDOM_SHARE = 0.6;
/**
 * Time from an entry's start to its first view. When the whole system restarts after a power loss and control
 * processes have a fifth of a core, 0.85 s pass between listening and the first declaration.
 */
const FIRST_VIEW_MS = 1_000;
/** Callers refused before the first view retry spread over this time. */
const FIRST_VIEW_SPREAD_MS = 1_200;
/** Assumed remaining time of a caller that does not state its timeout, milliseconds. */
export const DEFAULT_REMAINING_MS = 2_000;

/**
 * Gets when a caller may retry whose request found no endpoint or no capacity.
 * @param remainingMs - The caller's remaining time.
 * @param random - In [0, 1).
 */
export function getRetryAfterMs(remainingMs: number, random: number): number {
  const share = MIN_RANDOM_SHARE + (1 - MIN_RANDOM_SHARE) * random;
  return Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, remainingMs * MAX_HONOURED_SHARE * share)),
  );
}

/**
 * Gets when a caller may retry whose request found an entry without a confirmed declaration.
 * @param sinceStartMs - Time since the entry started listening.
 * @param remainingMs - The caller's remaining time; `undefined` when it is not stated.
 * @param random - In [0, 1).
 */
export function getFirstViewRetryAfterMs(
  sinceStartMs: number,
  remainingMs: number | undefined,
  random: number,
): number {
  const viewMs = Math.max(MIN_RETRY_AFTER_MS, FIRST_VIEW_MS - sinceStartMs) + random * FIRST_VIEW_SPREAD_MS;
  return Math.round(Math.min((remainingMs ?? DEFAULT_REMAINING_MS) * MAX_HONOURED_SHARE, viewMs));
}
