/** Minutes of the service-level windows, counted from the Unix epoch. */

/** Milliseconds per minute. */
export const MS_PER_MINUTE = 60_000;

/** Gets the minute of a wall clock time. */
export function getMinute(wallMs: number): number {
  return Math.floor(wallMs / MS_PER_MINUTE);
}
