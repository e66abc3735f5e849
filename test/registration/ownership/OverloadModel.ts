/**
 * When a leader that has more to do than it can takes what is sent to it.
 *
 * A test of our own code: time is simulated.
 */
import type { RandomSource } from "../../../src/consensus";

/** What an overloaded control does to what goes through it, milliseconds. */
export interface OverloadTimes {
  /** A leader takes nothing for so long at the most; what arrives meanwhile is taken all at once. */
  readonly deafMs: number;
  /** Between two such times it takes everything, for so long at the most. */
  readonly hearingMs: number;
  /** A process that tells the leader something gives the call up after this time, and tells it again. */
  readonly patienceMs: number;
}

/** What goes through a control that is not overloaded. */
export const CALM: OverloadTimes = { deafMs: 0, hearingMs: 0, patienceMs: 0 };

/** What is taken at once comes in any order within this time, milliseconds. */
const BURST_MS = 200;
/** Part of the calls given up that are carried out all the same. */
const TAKEN_SHARE = 0.5;

/** A leader that answers nothing for seconds, now and then. */
export class OverloadModel {
  /** What the overload is like from now on. */
  times: OverloadTimes = CALM;
  private readonly _random: RandomSource;
  private _deafUntil = 0;
  private _hearsUntil = 0;

  /**
   * @param random - Draws how long it lasts.
   */
  constructor(random: RandomSource) {
    this._random = random;
  }

  /** Gets how long a call waits until the leader takes it; 0 when it does at once. */
  getWaitMs(now: number): number {
    if (this.times.deafMs === 0) return 0;
    if (now >= this._hearsUntil) this._drawTimes(now);
    if (now >= this._deafUntil) return 0;
    return this._deafUntil - now + this._random.next() * BURST_MS;
  }

  /** Draws whether a call that its caller gave up is carried out all the same. */
  isTakenAnyway(): boolean {
    return this._random.next() < TAKEN_SHARE;
  }

  private _drawTimes(now: number): void {
    this._deafUntil = now + this._random.next() * this.times.deafMs;
    this._hearsUntil = this._deafUntil + this._random.next() * this.times.hearingMs;
  }
}
