/**
 * How fast the work for one target is done.
 *
 * By Little's law a target with N slots, all taken, does N / T requests a millisecond,
 * T being how long one takes. The rate so found holds for a burst that follows a calm,
 * where the rate of completions would only tell how little was asked for. Pure.
 */

/** Weight of the newest request in the running means. */
const SMOOTHING = 0.05;
/** Requests before the means are trusted. */
const MIN_COMPLETIONS = 5;

/** The drain rate of one target. */
export class DrainRate {
  private _slots = 0;
  private _completions = 0;
  private _meanCost = 0;
  private _meanServiceMs = 0;

  /** Sets how many requests this entry may have in flight at the target. */
  setSlots(slots: number): void {
    this._slots = slots;
  }

  /**
   * Notes a request that was answered.
   * @param cost - Its tokens.
   * @param serviceMs - From its dispatch to the end of its answer.
   */
  addCompletion(cost: number, serviceMs: number): void {
    this._completions += 1;
    const weight = Math.max(SMOOTHING, 1 / this._completions);
    this._meanCost += weight * (cost - this._meanCost);
    this._meanServiceMs += weight * (serviceMs - this._meanServiceMs);
  }

  /**
   * Gets the cost done a millisecond with all slots taken.
   * @returns `undefined` while too little is known.
   */
  getRate(): number | undefined {
    if (!this._isKnown() || this._slots === 0 || this._meanServiceMs === 0) return undefined;
    return (this._slots * this._meanCost) / this._meanServiceMs;
  }

  /** Gets how long a request of some cost takes once dispatched; 0 while unknown. */
  getServiceMs(cost: number): number {
    if (!this._isKnown() || this._meanCost === 0) return 0;
    return (this._meanServiceMs * cost) / this._meanCost;
  }

  private _isKnown(): boolean {
    return this._completions >= MIN_COMPLETIONS;
  }
}
