/**
 * Health of one endpoint: circuit breaker, slow start and mean first-token time.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */

type BreakerState = "closed" | "open" | "halfOpen";

/** Number of consecutive failures that opens the breaker. */
const FAILURE_THRESHOLD = 3;
const INITIAL_OPEN_MS = 1_000;
const MAX_OPEN_MS = 30_000;
/** Time after which a new endpoint may use its full share of slots. */
const SLOW_START_MS = 10_000;
const INITIAL_SHARE = 0.2;
/** Weight of the newest first-token time in the running mean. */
const SMOOTHING = 0.2;

/** The health of one endpoint. */
export class EndpointHealth {
  private readonly _startedAt: number;
  private _state: BreakerState = "closed";
  private _failures = 0;
  private _openMs = INITIAL_OPEN_MS;
  private _openUntil = 0;
  private _firstTokenMs: number | undefined;

  /**
   * @param now - Time at which the endpoint was first seen serving.
   * @param isWarm - Whether the endpoint has served before and needs no slow start.
   */
  constructor(now: number, isWarm = false) {
    this._startedAt = isWarm ? Number.NEGATIVE_INFINITY : now;
  }

  /** Gets the running mean of first-token times in milliseconds; `undefined` before the first answer. */
  get firstTokenMs(): number | undefined {
    return this._firstTokenMs;
  }

  /**
   * Checks whether a request may be sent. An open breaker allows a trial request after its open time, which
   * is 1 s at first and at most 30 s.
   */
  isAvailable(now: number): boolean {
    if (this._state === "closed") return true;
    return this._state === "open" && now >= this._openUntil;
  }

  /**
   * Records that a request is sent. If the open time of the breaker has passed, this request is its only
   * trial.
   */
  addAttempt(now: number): void {
    if (this._state === "open" && now >= this._openUntil) this._state = "halfOpen";
  }

  /** Records an answered request, which closes the breaker. */
  addSuccess(firstTokenMs: number): void {
    this._state = "closed";
    this._failures = 0;
    this._openMs = INITIAL_OPEN_MS;
    const previous = this._firstTokenMs ?? firstTokenMs;
    this._firstTokenMs = previous + SMOOTHING * (firstTokenMs - previous);
  }

  /** Records a failed request. */
  addFailure(now: number): void {
    this._failures += 1;
    if (this._state !== "halfOpen" && this._failures < FAILURE_THRESHOLD) return;
    this._state = "open";
    this._openUntil = now + this._openMs;
    this._openMs = Math.min(MAX_OPEN_MS, this._openMs * 2);
  }

  /**
   * Records that a request was cancelled. A cancelled trial gives no result, so another trial may follow at
   * once.
   */
  addCancellation(now: number): void {
    if (this._state !== "halfOpen") return;
    this._state = "open";
    this._openUntil = now;
  }

  /** Gets the share of its slots that a new endpoint may use, 0 to 1. */
  getSlowStartShare(now: number): number {
    const age = (now - this._startedAt) / SLOW_START_MS;
    return Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * age);
  }
}
