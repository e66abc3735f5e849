/** Computes how long an endpoint may send no data before a request is sent elsewhere. Pure. */
import type { Route } from "../declaration";

/**
 * Multiple of its objective after which a missing answer is requested from another endpoint, where the route
 * allows it.
 */
const ANSWER_PATIENCE = 2.5;
const MIN_ANSWER_PATIENCE_MS = 250;
const MIN_FIRST_EVENT_PATIENCE_MS = 800;
/**
 * Factor on the timeout while the endpoint sends data for other requests: it works, and this request may be
 * queued there.
 */
const BUSY_PATIENCE = 4;
/** Multiple of its objective that a gap between two events may take. */
const GAP_PATIENCE = 2;
const MIN_GAP_PATIENCE_MS = 500;

/** Gets the maximum wait for an answer, or for the first event of a stream; milliseconds. */
export function getAnswerPatienceMs(route: Route): number {
  const least = route.kind === "stream" ? MIN_FIRST_EVENT_PATIENCE_MS : MIN_ANSWER_PATIENCE_MS;
  return Math.max(least, route.objectiveMs * ANSWER_PATIENCE);
}

/** Gets the maximum gap between two events of a stream; milliseconds. */
export function getGapPatienceMs(route: Route): number {
  return Math.max(MIN_GAP_PATIENCE_MS, (route.gapObjectiveMs ?? route.objectiveMs) * GAP_PATIENCE);
}

/**
 * Checks whether a request has received no data for too long.
 * @param silentMs - Time since this request last received data.
 * @param targetSilentMs - Time since any request last received data from the endpoint.
 * @param patienceMs - How long a working endpoint may send no data.
 */
export function isSilentTooLong(silentMs: number, targetSilentMs: number, patienceMs: number): boolean {
  if (silentMs < patienceMs) return false;
  return targetSilentMs >= patienceMs || silentMs >= patienceMs * BUSY_PATIENCE;
}

/** Checks whether a request of a route may run more than once. */
export function mayRepeat(route: Route): boolean {
  return route.kind === "repeatable" || (route.kind === "stream" && route.isResumable);
}
