/** Mean number of tokens per answer by request class. Pure. */

/** Weight of the newest answer in the moving mean. */
const SMOOTHING_FACTOR = 0.05;

/** Moving means by request class. */
export class MeanTokens {
  private readonly _means = new Map<string, number>();

  /** Gets the mean of a class, or `undefined` before its first answer. */
  getMean(className: string): number | undefined {
    return this._means.get(className);
  }

  /** Adds a complete answer. */
  addAnswer(className: string, tokens: number): void {
    const mean = this._means.get(className) ?? tokens;
    this._means.set(className, mean + SMOOTHING_FACTOR * (tokens - mean));
  }
}
