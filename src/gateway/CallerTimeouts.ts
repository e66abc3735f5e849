/**
 * Estimates how long ago a caller first sent a request, from the timeout it states.
 *
 * A caller that retries states a shorter timeout than at first. The difference to the longest timeout of its
 * route is the time since its first request, which shows whether it can still be answered within its
 * objective. On a route whose callers use different timeouts, those with shorter ones are taken for retries;
 * this only affects the order in which queued requests are sent. Pure: times are monotonic milliseconds given
 * by the caller.
 */

/** The longest timeout of a route is discarded after two periods of this length. */
const PERIOD_MS = 10_000;

interface RouteTimeouts {
  periodStartedAt: number;
  longestMs: number;
  previousLongestMs: number;
}

/** Timeouts of callers, by route. */
export class CallerTimeouts {
  private readonly _routes = new Map<string, RouteTimeouts>();

  /**
   * Records a caller's timeout.
   * @returns Estimated time since the caller's first request, milliseconds.
   */
  addTimeout(now: number, route: string, timeoutMs: number): number {
    const timeouts = this._getTimeouts(now, route);
    timeouts.longestMs = Math.max(timeouts.longestMs, timeoutMs);
    return Math.max(timeouts.longestMs, timeouts.previousLongestMs) - timeoutMs;
  }

  private _getTimeouts(now: number, route: string): RouteTimeouts {
    const existing = this._routes.get(route);
    if (existing === undefined) {
      const timeouts = { periodStartedAt: now, longestMs: 0, previousLongestMs: 0 };
      this._routes.set(route, timeouts);
      return timeouts;
    }
    if (now - existing.periodStartedAt >= PERIOD_MS) {
      existing.previousLongestMs = now - existing.periodStartedAt >= 2 * PERIOD_MS ? 0 : existing.longestMs;
      existing.longestMs = 0;
      existing.periodStartedAt = now;
    }
    return existing;
  }
}
