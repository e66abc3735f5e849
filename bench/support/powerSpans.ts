/**
 * Spans between power losses, and how long configuration versions waited for an acknowledgement in them.
 * Times are Unix milliseconds.
 */
import type { SentVersion } from "../../test/platform/OperatorStandin";

/** Span from the return of power to the next loss, or to the end of the series. */
export interface PowerSpan {
  readonly onAt: number;
  readonly offAt: number;
}

/**
 * Maximum time from the return of power until the processes are in contact again, as the specification
 * requires. Operation counts as undisturbed after it, until the next loss.
 */
export const RECOVERY_MS = 4_000;

export function isWithin(at: number, { onAt, offAt }: PowerSpan): boolean {
  return at >= onAt && at < offAt;
}

/**
 * Gets the longest time that a configuration version waited for its acknowledgement within the undisturbed
 * part of one span, milliseconds.
 */
export function getLongestUndisturbedWaitMs(
  versions: readonly SentVersion[],
  spans: readonly PowerSpan[],
): number {
  const waits = versions.flatMap((version) => spans.map((span) => getUndisturbedWaitMs(version, span)));
  return Math.max(0, ...waits);
}

function getUndisturbedWaitMs({ sentAt, acknowledgedAt }: SentVersion, { onAt, offAt }: PowerSpan): number {
  const from = Math.max(sentAt, onAt + RECOVERY_MS);
  const to = Math.min(acknowledgedAt ?? Number.POSITIVE_INFINITY, offAt);
  return Math.max(0, to - from);
}
