/** Tokens that answers of each class have had on the average. Pure. */

/** Weight of the newest answer. */
const SMOOTHING = 0.05;

/** Running means by request class. */
export class MeanTokens {
  private readonly _means = new Map<string, number>();

  /** Gets the mean of a class, if any answer of it was seen. */
  getMean(className: string): number | undefined {
    return this._means.get(className);
  }

  /** Notes a whole answer. */
  addAnswer(className: string, tokens: number): void {
    const before = this._means.get(className) ?? tokens;
    this._means.set(className, before + SMOOTHING * (tokens - before));
  }
}
