/** Limits the loads that begin within a sliding window. Pure. */

export interface LoadLimit {
  /** Loads that may begin within the window. */
  readonly loads: number;
  readonly windowMs: number;
}

/** Counts the loads that began within the sliding window. */
export class LoadLimiter {
  private _startTimes: number[] = [];

  /**
   * Adds one load if the window has capacity for it.
   * @param limit - `undefined` while there is none; loads that begin then count once there is a limit.
   * @returns Whether the load may begin.
   */
  tryAddLoad(now: number, limit: LoadLimit | undefined): boolean {
    if (limit !== undefined) {
      this._startTimes = this._startTimes.filter((startedAt) => now - startedAt < limit.windowMs);
      if (this._startTimes.length >= limit.loads) return false;
    }
    this._startTimes.push(now);
    return true;
  }
}
