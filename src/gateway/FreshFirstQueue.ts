/**
 * Queue of an entry's waiting requests.
 *
 * Fresh requests, which can still meet their objective, come first, oldest first. The others will miss it in
 * any case and follow in the order of their deadlines. Pure.
 */

/** A waiting request. Times are monotonic milliseconds. */
export interface WaitingRequest {
  readonly arrivedAt: number;
  readonly objectiveMs: number;
  readonly deadlineAt: number;
}

/** Fraction of its objective that a request may wait here and still meet it. */
const MAX_FRESH_SHARE = 0.5;

/** Queue of one model. */
export class FreshFirstQueue<T extends WaitingRequest> {
  private readonly _waiting = new Set<T>();

  /** Gets the number of waiting requests. */
  get size(): number {
    return this._waiting.size;
  }

  add(request: T): void {
    this._waiting.add(request);
  }

  /** Removes a request; returns `false` when it is not queued. */
  remove(request: T): boolean {
    return this._waiting.delete(request);
  }

  /** Removes and returns the request to send next; `undefined` when the queue is empty. */
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
  return now - request.arrivedAt <= request.objectiveMs * MAX_FRESH_SHARE;
}

function isBefore(now: number, a: WaitingRequest, b: WaitingRequest): boolean {
  const isFreshA = isFresh(now, a);
  if (isFreshA !== isFresh(now, b)) return isFreshA;
  return isFreshA ? a.arrivedAt < b.arrivedAt : a.deadlineAt < b.deadlineAt;
}
