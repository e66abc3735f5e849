/** How long an endpoint may be silent before a request goes elsewhere. Pure. */
import type { Route } from "../declaration";

/** An answer late by so much of its objective is not waited for where another endpoint may run it. */
const ANSWER_PATIENCE = 2.5;
const MIN_ANSWER_PATIENCE_MS = 250;
const MIN_FIRST_EVENT_PATIENCE_MS = 800;
/** An endpoint that other requests hear of works; what it has not begun may wait so much longer. */
const BUSY_PATIENCE = 4;
/** A pause between two events may be so many times its objective. */
const GAP_PATIENCE = 2;
const MIN_GAP_PATIENCE_MS = 500;

/** Gets the longest silence before an answer, of a stream before its first event; milliseconds. */
export function getAnswerPatienceMs(route: Route): number {
  const least = route.kind === "stream" ? MIN_FIRST_EVENT_PATIENCE_MS : MIN_ANSWER_PATIENCE_MS;
  return Math.max(least, route.objectiveMs * ANSWER_PATIENCE);
}

/** Gets the longest silence between two events of a stream; milliseconds. */
export function getGapPatienceMs(route: Route): number {
  return Math.max(MIN_GAP_PATIENCE_MS, (route.gapObjectiveMs ?? route.objectiveMs) * GAP_PATIENCE);
}

/**
 * Checks whether an endpoint has been silent for too long.
 * @param silentMs - How long this request has heard nothing.
 * @param targetSilentMs - How long no request has heard anything of the endpoint.
 * @param patienceMs - The longest silence of an endpoint that works.
 */
export function isSilentTooLong(silentMs: number, targetSilentMs: number, patienceMs: number): boolean {
  if (silentMs < patienceMs) return false;
  return targetSilentMs >= patienceMs || silentMs >= patienceMs * BUSY_PATIENCE;
}

/** Checks whether a request of a route may run more than once. */
export function mayRepeat(route: Route): boolean {
  return route.kind === "repeatable" || (route.kind === "stream" && route.isResumable);
}
