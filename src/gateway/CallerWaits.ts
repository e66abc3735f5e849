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
const SPAN_MS = 10_000;

interface RouteWaits {
  spanStartedAt: number;
  longestMs: number;
  previousLongestMs: number;
}

/** Timeouts of callers, by route. */
export class CallerWaits {
  private readonly _routes = new Map<string, RouteWaits>();

  /**
   * Records a caller's timeout.
   * @returns Estimated time since the caller's first request, milliseconds.
   */
  addWait(now: number, route: string, waitMs: number): number {
    const waits = this._getWaits(now, route);
    waits.longestMs = Math.max(waits.longestMs, waitMs);
    return Math.max(waits.longestMs, waits.previousLongestMs) - waitMs;
  }

  private _getWaits(now: number, route: string): RouteWaits {
    const known = this._routes.get(route);
    if (known === undefined) {
      const waits = { spanStartedAt: now, longestMs: 0, previousLongestMs: 0 };
      this._routes.set(route, waits);
      return waits;
    }
    if (now - known.spanStartedAt >= SPAN_MS) {
      known.previousLongestMs = now - known.spanStartedAt >= 2 * SPAN_MS ? 0 : known.longestMs;
      known.longestMs = 0;
      known.spanStartedAt = now;
    }
    return known;
  }
}
