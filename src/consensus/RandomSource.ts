/** Seedable randomness, injected wherever a decision draws a number. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Gives numbers in [0, 1). */
export interface RandomSource {
  /** Gets the next number. */
  next(): number;
}

/** A reproducible source: the same seed gives the same numbers. */
export class SeededRandom implements RandomSource {
  private readonly _generator;

  /**
   * @param seed - A 32-bit whole number.
   */
  constructor(seed: number) {
    this._generator = xoroshiro128plus(seed);
  }

  /** Gets the next number in [0, 1). */
  next(): number {
    return uniformFloat64(this._generator);
  }
}
