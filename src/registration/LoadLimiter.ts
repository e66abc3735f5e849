/** Keeps the loads that begin within a sliding window to the weight store's limit. Pure. */

/** The limit. */
export interface LoadLimit {
  /** Loads that may begin within the window. */
  readonly loads: number;
  readonly windowMs: number;
}

/** Counts loads that began lately. */
export class LoadLimiter {
  private _startedAt: number[] = [];

  /**
   * Takes one load if the window has room for it.
   * @param limit - `undefined` while there is none; what begins then counts once there is one.
   */
  tryAddLoad(now: number, limit: LoadLimit | undefined): boolean {
    if (limit !== undefined) {
      this._startedAt = this._startedAt.filter((startedAt) => now - startedAt < limit.windowMs);
      if (this._startedAt.length >= limit.loads) return false;
    }
    this._startedAt.push(now);
    return true;
  }
}
