/**
 * One entry's part of a retry budget that all entries share.
 *
 * The bound applies to every sliding window over all entries together. Each entry therefore has an equal part
 * of the fixed extra retries, in a token bucket that refills over the window. Pure.
 */

/** The bound on retries over all entries. */
export interface RetryBound {
  /** Number of retries allowed per request. */
  readonly ratio: number;
  /** Number of retries allowed per window in addition. */
  readonly extra: number;
  readonly windowMs: number;
}

/**
 * Size of all buckets together, relative to the fixed extra. A full bucket that also refills over a window
 * can give twice its size in that window, so the share is below one half.
 */
const BUCKET_SHARE = 0.45;
/** Share of the ratio that is granted, since requests are not spread evenly over entries and windows. */
const RATIO_SHARE = 0.7;

/** The retry budget of one entry. */
export class SharedRetryBudget {
  private readonly _getBound: () => RetryBound;
  private _available: number | undefined;
  private _refilledAt = 0;

  /** @param getBound - Gets the current bound over all entries. */
  constructor(getBound: () => RetryBound) {
    this._getBound = getBound;
  }

  /** Records a first attempt. */
  addRequest(now: number, entries: number): void {
    this._refill(now, entries);
    this._add(this._getBound().ratio * RATIO_SHARE, entries);
  }

  /**
   * Takes one retry from the budget.
   * @param entries - Number of entries that currently share the bound.
   * @returns Whether the budget had one.
   */
  takeRetry(now: number, entries: number): boolean {
    this._refill(now, entries);
    if (this._available! < 1) return false;
    this._available! -= 1;
    return true;
  }

  private _refill(now: number, entries: number): void {
    const size = this._getSize(entries);
    if (this._available === undefined) this._available = size;
    else this._add(((now - this._refilledAt) / this._getBound().windowMs) * size, entries);
    this._refilledAt = now;
  }

  private _add(amount: number, entries: number): void {
    this._available = Math.min(this._getSize(entries), (this._available ?? 0) + amount);
  }

  private _getSize(entries: number): number {
    return (this._getBound().extra * BUCKET_SHARE) / Math.max(1, entries);
  }
}
