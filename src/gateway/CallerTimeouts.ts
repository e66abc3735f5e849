/**
 * How long callers of each route wait when they ask for the first time.
 *
 * A caller that comes back says that it waits for less: what it lacks tells how long ago it asked
 * first, and so whether it can still be answered within its objective. Where callers of one route
 * wait for different times, those with less are taken for having come back; that decides nothing
 * but the order in which waiting requests are sent. Pure: times are monotonic milliseconds given
 * by the caller.
 */

/** The longest wait of a route is forgotten after two spans of this length. */
const SPAN_MS = 10_000;

interface RouteWaits {
  spanStartedAt: number;
  longestMs: number;
  previousLongestMs: number;
}

/** Waits by route. */
export class CallerWaits {
  private readonly _routes = new Map<string, RouteWaits>();

  /**
   * Notes how long a caller waits.
   * @returns How long ago it asked first, as far as that can be told.
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
