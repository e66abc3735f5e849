/** The minutes by which service-level windows are kept, counted from the Unix epoch. */

/** Milliseconds a minute. */
export const MS_PER_MINUTE = 60_000;

/** Gets the minute in which a wall clock time falls. */
export function getMinute(wallMs: number): number {
  return Math.floor(wallMs / MS_PER_MINUTE);
}
