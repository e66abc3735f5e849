/**
 * Simulates when an overloaded leader processes the calls that it receives.
 *
 * Time is simulated.
 */
import type { RandomSource } from "../../../src/consensus";

/** Times of an overloaded control process, milliseconds. */
export interface OverloadTimes {
  /**
   * Maximum duration of a stall. The leader processes no calls during a stall, and all calls that arrived
   * meanwhile at its end.
   */
  readonly deafMs: number;
  /** Maximum time between two stalls, in which the leader processes each call at once. */
  readonly hearingMs: number;
  /** Timeout after which a caller abandons a call to the leader and sends its content again. */
  readonly patienceMs: number;
}

/** Times of a control process that is not overloaded. */
export const CALM: OverloadTimes = { deafMs: 0, hearingMs: 0, patienceMs: 0 };

/** Calls that are processed at the end of a stall come in any order within this time, milliseconds. */
const BURST_MS = 200;
/** Fraction of abandoned calls that the leader processes all the same. */
const TAKEN_SHARE = 0.5;

/** A leader that repeatedly stalls for seconds. */
export class OverloadModel {
  /** The overload from now on. */
  times: OverloadTimes = CALM;
  private readonly _random: RandomSource;
  private _deafUntil = 0;
  private _hearsUntil = 0;

  /** @param random - Draws the durations of stalls. */
  constructor(random: RandomSource) {
    this._random = random;
  }

  /** Gets how long a call waits until the leader processes it; 0 if the leader does so at once. */
  getWaitMs(now: number): number {
    if (this.times.deafMs === 0) return 0;
    if (now >= this._hearsUntil) this._drawTimes(now);
    if (now >= this._deafUntil) return 0;
    return this._deafUntil - now + this._random.next() * BURST_MS;
  }

  /** Draws whether the leader processes a call that its caller abandoned. */
  isTakenAnyway(): boolean {
    return this._random.next() < TAKEN_SHARE;
  }

  private _drawTimes(now: number): void {
    this._deafUntil = now + this._random.next() * this.times.deafMs;
    this._hearsUntil = this._deafUntil + this._random.next() * this.times.hearingMs;
  }
}
