/**
 * Detects that a target's streams have stalled, as opposed to being slow.
 *
 * An endpoint advances all its streams together, so a pause of all of them shows a stall more reliably than a
 * pause of one. Pure: times are monotonic milliseconds given by the caller.
 */

/** Weight of the newest gap in the mean gap. */
const GAP_WEIGHT = 0.1;
/** A target is stalled when none of its streams has sent an event for this many mean gaps. */
const STALL_GAPS = 4;
/** Reading long prompts may pause a target's streams for this long. */
const MIN_STALL_MS = 200;

/** Stall detector of one target. */
export class StallDetector {
  private _streamCount = 0;
  private _lastEventAt = Number.NEGATIVE_INFINITY;
  private _meanGapMs: number | undefined;

  /** Records that the first event of a stream arrived. Returns a function that records the stream's end. */
  startStream(now: number): () => void {
    this._streamCount += 1;
    this._lastEventAt = now;
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      this._streamCount -= 1;
    };
  }

  /**
   * Records that a later event of a stream arrived.
   * @param gapMs - Time since the previous event of the same stream.
   */
  addEvent(now: number, gapMs: number): void {
    this._lastEventAt = now;
    this._meanGapMs =
      this._meanGapMs === undefined ? gapMs : this._meanGapMs + (gapMs - this._meanGapMs) * GAP_WEIGHT;
  }

  /**
   * Checks whether streams are in progress and all of them have paused for longer than their mean gap
   * explains.
   */
  isStalled(now: number): boolean {
    if (this._streamCount === 0 || this._meanGapMs === undefined) return false;
    return now - this._lastEventAt > Math.max(MIN_STALL_MS, this._meanGapMs * STALL_GAPS);
  }
}
