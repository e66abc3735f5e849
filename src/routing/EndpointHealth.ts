/**
 * How far one endpoint is trusted: circuit breaking, slow start, and slowness.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */

type BreakerState = "closed" | "open" | "halfOpen";

/** Failures in a row that open the breaker. */
const OPENING_FAILURES = 3;
const FIRST_OPEN_MS = 1_000;
const LONGEST_OPEN_MS = 30_000;
/** A new endpoint takes its full share only after so long. */
const SLOW_START_MS = 10_000;
const SLOW_START_SHARE = 0.2;
/** Weight of the newest first-token time in the running mean. */
const SMOOTHING = 0.2;

/** Trust in one endpoint. */
export class EndpointHealth {
  private readonly _startedAt: number;
  private _state: BreakerState = "closed";
  private _failures = 0;
  private _openMs = FIRST_OPEN_MS;
  private _openUntil = 0;
  private _firstTokenMs: number | undefined;

  /**
   * @param now - When the endpoint was first seen to serve.
   * @param isWarm - Whether it has served before, so that slow start is not needed.
   */
  constructor(now: number, isWarm = false) {
    this._startedAt = isWarm ? Number.NEGATIVE_INFINITY : now;
  }

  /** Gets the running mean of first-token times, if there is one. */
  get firstTokenMs(): number | undefined {
    return this._firstTokenMs;
  }

  /** Checks whether a request may be sent; an open breaker lets one through in a while. */
  isAvailable(now: number): boolean {
    if (this._state === "closed") return true;
    return this._state === "open" && now >= this._openUntil;
  }

  /** Notes that a request is sent: a breaker that was due lets only this one through. */
  addAttempt(now: number): void {
    if (this._state === "open" && now >= this._openUntil) this._state = "halfOpen";
  }

  /** Notes a request that was answered. */
  addSuccess(firstTokenMs: number): void {
    this._state = "closed";
    this._failures = 0;
    this._openMs = FIRST_OPEN_MS;
    const before = this._firstTokenMs ?? firstTokenMs;
    this._firstTokenMs = before + SMOOTHING * (firstTokenMs - before);
  }

  /** Notes a request that the endpoint failed. */
  addFailure(now: number): void {
    this._failures += 1;
    if (this._state !== "halfOpen" && this._failures < OPENING_FAILURES) return;
    this._state = "open";
    this._openUntil = now + this._openMs;
    this._openMs = Math.min(LONGEST_OPEN_MS, this._openMs * 2);
  }

  /** Notes that a trial request ended without telling anything: it was cancelled. */
  addCancellation(now: number): void {
    if (this._state !== "halfOpen") return;
    this._state = "open";
    this._openUntil = now;
  }

  /** Gets the share of its slots that a newly formed endpoint may use, 0 to 1. */
  getSlowStartShare(now: number): number {
    const age = (now - this._startedAt) / SLOW_START_MS;
    return Math.min(1, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * age);
  }
}
