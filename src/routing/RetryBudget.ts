/** Keeps retries to a share of first attempts, so that a failure is not multiplied. Pure. */

/** Retries that may be made however few requests there were. */
const RESERVE = 3;
/** Retries that can be saved up, as a multiple of the reserve. */
const MAX_SAVED = 10;

/** The retry budget of one entry. */
export class RetryBudget {
  private _saved = RESERVE;

  /**
   * Notes a first attempt.
   * @param ratio - Retries allowed a first attempt.
   */
  addRequest(ratio: number): void {
    this._saved = Math.min(RESERVE * MAX_SAVED, this._saved + ratio);
  }

  /** Takes one retry if the budget has it. */
  takeRetry(): boolean {
    if (this._saved < 1) return false;
    this._saved -= 1;
    return true;
  }
}
