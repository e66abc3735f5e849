/** Computes how long an endpoint may send no data before a request is sent elsewhere. Pure. */
import type { Route } from "../declaration";

/**
 * Multiple of its objective after which a missing answer is requested from another endpoint, where the route
 * allows it.
 */
const ANSWER_TIMEOUT_FACTOR = 2.5;
const MIN_ANSWER_TIMEOUT_MS = 250;
const MIN_FIRST_EVENT_TIMEOUT_MS = 800;
/**
 * Factor by which the timeout is extended while the endpoint sends data for other requests: the endpoint
 * works, and this request may be queued there.
 */
const BUSY_TIMEOUT_FACTOR = 4;
/** Multiple of its objective that a gap between two events may take. */
const GAP_TIMEOUT_FACTOR = 2;
const MIN_GAP_TIMEOUT_MS = 500;

/** Gets the maximum wait for an answer, or for the first event of a stream; milliseconds. */
export function getAnswerTimeoutMs(route: Route): number {
  const minMs = route.kind === "stream" ? MIN_FIRST_EVENT_TIMEOUT_MS : MIN_ANSWER_TIMEOUT_MS;
  return Math.max(minMs, route.objectiveMs * ANSWER_TIMEOUT_FACTOR);
}

/** Gets the maximum gap between two events of a stream; milliseconds. */
export function getGapTimeoutMs(route: Route): number {
  return Math.max(MIN_GAP_TIMEOUT_MS, (route.gapObjectiveMs ?? route.objectiveMs) * GAP_TIMEOUT_FACTOR);
}

/**
 * Checks whether a request has received no data for too long.
 * @param idleMs - Time since this request last received data.
 * @param targetIdleMs - Time since any request last received data from the endpoint.
 * @param timeoutMs - How long a working endpoint may send no data.
 */
export function isIdleTooLong(idleMs: number, targetIdleMs: number, timeoutMs: number): boolean {
  if (idleMs < timeoutMs) return false;
  return targetIdleMs >= timeoutMs || idleMs >= timeoutMs * BUSY_TIMEOUT_FACTOR;
}

/** Checks whether a request of a route may run more than once. */
export function mayRepeat(route: Route): boolean {
  return route.kind === "repeatable" || (route.kind === "stream" && route.isResumable);
}
