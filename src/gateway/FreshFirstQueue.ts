/**
 * Requests that wait at an entry, in the order in which they are worth being sent.
 *
 * Those that can still meet their objective come first, the oldest of them at the head; the
 * others are late whatever is done, and come after them by their deadline. Pure.
 */

/** A request that waits. Times are monotonic milliseconds. */
export interface WaitingRequest {
  readonly arrivedAt: number;
  readonly objectiveMs: number;
  readonly deadlineAt: number;
}

/** Part of its objective that a request may wait here and still meet it. */
const FRESH_SHARE = 0.5;

/** The queue of one model. */
export class FreshFirstQueue<T extends WaitingRequest> {
  private readonly _waiting = new Set<T>();

  /** Gets how many wait. */
  get size(): number {
    return this._waiting.size;
  }

  /** Adds a request. */
  add(request: T): void {
    this._waiting.add(request);
  }

  /** Takes a request out; does nothing if it is not in. */
  remove(request: T): boolean {
    return this._waiting.delete(request);
  }

  /** Takes out the request to send next. */
  takeNext(now: number): T | undefined {
    let best: T | undefined;
    for (const request of this._waiting) {
      if (best === undefined || isBefore(now, request, best)) best = request;
    }
    if (best !== undefined) this._waiting.delete(best);
    return best;
  }
}

function isFresh(now: number, request: WaitingRequest): boolean {
  return now - request.arrivedAt <= request.objectiveMs * FRESH_SHARE;
}

function isBefore(now: number, a: WaitingRequest, b: WaitingRequest): boolean {
  const isFreshA = isFresh(now, a);
  if (isFreshA !== isFresh(now, b)) return isFreshA;
  return isFreshA ? a.arrivedAt < b.arrivedAt : a.deadlineAt < b.deadlineAt;
}
