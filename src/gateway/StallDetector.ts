/**
 * How steadily a target's streams advance: tells one that stands still from one that is slow.
 *
 * All streams of a target advance together, so that the silence of all of them says more
 * than the silence of one. Pure: times are monotonic milliseconds given by the caller.
 */

/** Weight of the newest gap in the mean. */
const GAP_WEIGHT = 0.1;
/** A target whose streams have all been silent for so many mean gaps stands still. */
const STALL_GAPS = 4;
/** Reading long prompts may hold a target's streams up for so long. */
const MIN_STALL_MS = 200;

/** The pace of one target. */
export class AnswerPace {
  private _streams = 0;
  private _heardAt = Number.NEGATIVE_INFINITY;
  private _meanGapMs: number | undefined;

  /** Notes that a stream's first event arrived; gives what notes its end. */
  startStream(now: number): () => void {
    this._streams += 1;
    this._heardAt = now;
    let isOver = false;
    return () => {
      if (isOver) return;
      isOver = true;
      this._streams -= 1;
    };
  }

  /**
   * Notes that an event of a stream arrived.
   * @param gapMs - Time since the event before it in the same stream.
   */
  addEvent(now: number, gapMs: number): void {
    this._heardAt = now;
    this._meanGapMs =
      this._meanGapMs === undefined ? gapMs : this._meanGapMs + (gapMs - this._meanGapMs) * GAP_WEIGHT;
  }

  /** Checks whether all streams under way have been silent for longer than their pace explains. */
  isStalled(now: number): boolean {
    if (this._streams === 0 || this._meanGapMs === undefined) return false;
    return now - this._heardAt > Math.max(MIN_STALL_MS, this._meanGapMs * STALL_GAPS);
  }
}
