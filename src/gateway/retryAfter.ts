/**
 * When a refused caller is told to come back.
 *
 * A caller that comes back into the same outage is refused again and mostly gives up, and callers
 * that all come back in one moment find a queue in place of an outage. Pure.
 */

/** Callers come back when they are told to, up to a third of the time that they have left. */
const HONOURED_SHARE = 0.3;
const MIN_RETURN_MS = 50;
const MAX_RETURN_MS = 3_000;
/** Least part of that time: the rest of it spreads callers that were refused in one moment. */
const LEAST_SHARE = 0.6;
/**
 * An entry that has just started has its view after so long: 0.85 s from listening to the first
 * declaration in a loss of power everywhere, where control starts on a fifth of a core.
 */
const FIRST_VIEW_MS = 1_000;
/** Callers that were refused until then come back spread over this time. */
const FIRST_VIEW_SPREAD_MS = 1_200;
/** What a caller that does not say how long it waits is taken to have left. */
const UNKNOWN_LEFT_MS = 2_000;

/**
 * Gets when a caller is to come back that found no endpoint, or no room.
 * @param leftMs - What it has left.
 * @param random - In [0, 1).
 */
export function getReturnMs(leftMs: number, random: number): number {
  const share = LEAST_SHARE + (1 - LEAST_SHARE) * random;
  return Math.round(Math.min(MAX_RETURN_MS, Math.max(MIN_RETURN_MS, leftMs * HONOURED_SHARE * share)));
}

/**
 * Gets when a caller is to come back that found an entry without a declaration.
 * @param sinceStartMs - How long the entry has listened.
 * @param leftMs - What the caller has left, if it says so.
 * @param random - In [0, 1).
 */
export function getFirstViewReturnMs(
  sinceStartMs: number,
  leftMs: number | undefined,
  random: number,
): number {
  const viewMs = Math.max(MIN_RETURN_MS, FIRST_VIEW_MS - sinceStartMs) + random * FIRST_VIEW_SPREAD_MS;
  return Math.round(Math.min((leftMs ?? UNKNOWN_LEFT_MS) * HONOURED_SHARE, viewMs));
}
