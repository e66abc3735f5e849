/**
 * Estimates how fast requests to one target are completed.
 *
 * By Little's law, a target with N slots, all in use, and a service time of T milliseconds completes N / T
 * requests per millisecond. This estimate also holds for a burst after a calm period, when the measured rate
 * of completions would reflect only the low demand. Pure.
 */

/** Weight of the newest request in the running means. */
const SMOOTHING = 0.05;
/** Number of completed requests before the means are used. */
const MIN_COMPLETIONS = 5;

/** The drain rate of one target. */
export class DrainRate {
  private _slots = 0;
  private _completions = 0;
  private _meanCost = 0;
  private _meanServiceMs = 0;

  /** Sets the maximum number of requests that this entry may have in flight at the target. */
  setSlots(slots: number): void {
    this._slots = slots;
  }

  /**
   * Records a request that was answered.
   * @param cost - Its tokens.
   * @param serviceMs - Time from dispatch to the end of the answer.
   */
  addCompletion(cost: number, serviceMs: number): void {
    this._completions += 1;
    const weight = Math.max(SMOOTHING, 1 / this._completions);
    this._meanCost += weight * (cost - this._meanCost);
    this._meanServiceMs += weight * (serviceMs - this._meanServiceMs);
  }

  /**
   * Gets the cost completed per millisecond with all slots in use.
   * @returns `undefined` while there are too few completions.
   */
  getRate(): number | undefined {
    if (!this._hasEstimate() || this._slots === 0 || this._meanServiceMs === 0) return undefined;
    return (this._slots * this._meanCost) / this._meanServiceMs;
  }

  /**
   * Gets the estimated service time in milliseconds of a dispatched request; 0 while there is no estimate.
   */
  getServiceMs(cost: number): number {
    if (!this._hasEstimate() || this._meanCost === 0) return 0;
    return (this._meanServiceMs * cost) / this._meanCost;
  }

  private _hasEstimate(): boolean {
    return this._completions >= MIN_COMPLETIONS;
  }
}
