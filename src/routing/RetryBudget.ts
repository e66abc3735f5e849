/** Limits retries to a share of first attempts, so that retries do not multiply a failure. Pure. */

/** Number of retries that are allowed regardless of the number of requests. */
const RESERVE = 3;
/** Maximum number of retries that can accumulate, as a multiple of the reserve. */
const MAX_RESERVES = 10;

/** The retry budget of one entry. */
export class RetryBudget {
  private _available = RESERVE;

  /**
   * Records a first attempt.
   * @param ratio - Number of retries allowed per first attempt.
   */
  addRequest(ratio: number): void {
    this._available = Math.min(RESERVE * MAX_RESERVES, this._available + ratio);
  }

  /**
   * Takes one retry from the budget.
   * @returns Whether the budget had one.
   */
  takeRetry(): boolean {
    if (this._available < 1) return false;
    this._available -= 1;
    return true;
  }
}
