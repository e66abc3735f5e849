/** Seedable random numbers, injected wherever a decision is random. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Generates numbers in [0, 1). */
export interface RandomSource {
  next(): number;
}

/** Reproducible random numbers: the same seed yields the same sequence. */
export class SeededRandom implements RandomSource {
  private readonly _generator;

  /** @param seed - A 32-bit integer. */
  constructor(seed: number) {
    this._generator = xoroshiro128plus(seed);
  }

  /** Gets the next number in [0, 1). */
  next(): number {
    return uniformFloat64(this._generator);
  }
}
