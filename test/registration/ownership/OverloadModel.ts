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
  readonly stallMs: number;
  /** Maximum time between two stalls, in which the leader processes each call at once. */
  readonly activeMs: number;
  /** Timeout after which a caller abandons a call to the leader and sends its content again. */
  readonly timeoutMs: number;
}

/** Times of a control process that is not overloaded. */
export const NO_OVERLOAD: OverloadTimes = { stallMs: 0, activeMs: 0, timeoutMs: 0 };

/** Calls that are processed at the end of a stall come in any order within this time, milliseconds. */
const BURST_MS = 200;
/** Fraction of abandoned calls that the leader processes all the same. */
const EXECUTED_SHARE = 0.5;

/** A leader that repeatedly stalls for seconds. */
export class OverloadModel {
  /** The overload from now on. */
  times: OverloadTimes = NO_OVERLOAD;
  private readonly _random: RandomSource;
  private _stalledUntil = 0;
  private _activeUntil = 0;

  /** @param random - Draws the durations of stalls. */
  constructor(random: RandomSource) {
    this._random = random;
  }

  /** Gets how long a call waits until the leader processes it; 0 if the leader does so at once. */
  getWaitMs(now: number): number {
    if (this.times.stallMs === 0) return 0;
    if (now >= this._activeUntil) this._drawTimes(now);
    if (now >= this._stalledUntil) return 0;
    return this._stalledUntil - now + this._random.next() * BURST_MS;
  }

  /** Draws whether the leader processes a call that its caller abandoned. */
  drawsExecution(): boolean {
    return this._random.next() < EXECUTED_SHARE;
  }

  private _drawTimes(now: number): void {
    this._stalledUntil = now + this._random.next() * this.times.stallMs;
    this._activeUntil = this._stalledUntil + this._random.next() * this.times.activeMs;
  }
}
