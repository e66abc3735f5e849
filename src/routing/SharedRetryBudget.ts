/**
 * One entry's part of a budget for repeats that all entries share.
 *
 * The bound holds for every sliding window over all entries together, so an entry takes
 * its part of the fixed extra as a bucket that refills over the window. Pure.
 */

/** The bound over all entries. */
export interface RetryBound {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed in a window besides. */
  readonly extra: number;
  readonly windowMs: number;
}

/** A bucket that refills over a window may give twice its size in it. */
const BUCKET_SHARE = 0.45;
/** Requests are not spread evenly over entries and windows. */
const RATIO_SHARE = 0.7;

/** One entry's bucket. */
export class SharedRetryBudget {
  private readonly _getBound: () => RetryBound;
  private _saved: number | undefined;
  private _refilledAt = 0;

  /**
   * @param getBound - Gives the bound over all entries as it is now.
   */
  constructor(getBound: () => RetryBound) {
    this._getBound = getBound;
  }

  /** Notes a first attempt. */
  addRequest(now: number, entries: number): void {
    this._refill(now, entries);
    this._add(this._getBound().ratio * RATIO_SHARE, entries);
  }

  /**
   * Takes one repeat if there is one.
   * @param entries - How many entries share the bound now.
   */
  takeRetry(now: number, entries: number): boolean {
    this._refill(now, entries);
    if (this._saved! < 1) return false;
    this._saved! -= 1;
    return true;
  }

  private _refill(now: number, entries: number): void {
    const size = this._getSize(entries);
    if (this._saved === undefined) this._saved = size;
    else this._add(((now - this._refilledAt) / this._getBound().windowMs) * size, entries);
    this._refilledAt = now;
  }

  private _add(amount: number, entries: number): void {
    this._saved = Math.min(this._getSize(entries), (this._saved ?? 0) + amount);
  }

  private _getSize(entries: number): number {
    return (this._getBound().extra * BUCKET_SHARE) / Math.max(1, entries);
  }
}
