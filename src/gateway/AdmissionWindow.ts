/**
 * How many streams of one model may wait at endpoints for their first event, as one entry
 * sees it.
 *
 * The window follows what the first events tell: it grows while they come well within their
 * objective, and shrinks when they don't, so that what waits does so here, where the order
 * can still be chosen, and not in an endpoint's queue. Pure.
 */

/** With fewer, an entry with little work would wait for each answer in turn. */
const MIN_SIZE = 3;
const MAX_SIZE = 64;
/** First events that take more than this part of their objective, in the mean, tell of a queue. */
const SLOW_SHARE = 0.75;
/** Weight of the newest first event in that mean: a long prompt alone is no queue. */
const SHARE_WEIGHT = 0.2;
const SHRINK_FACTOR = 0.8;
/** The window shrinks no more often than this: events of one moment tell of one queue. */
const SHRINK_PAUSE_MS = 100;

/** The window of one model. */
export class AdmissionWindow {
  private _size: number;
  private _waiting = 0;
  private _meanShare = 0;
  private _shrunkAt = Number.NEGATIVE_INFINITY;

  /**
   * @param firstSize - Where it begins, within its bounds.
   */
  constructor(firstSize: number) {
    this._size = Math.min(MAX_SIZE, Math.max(MIN_SIZE, firstSize));
  }

  /** Gets how many may wait at endpoints. */
  get size(): number {
    return this._size;
  }

  /** Checks whether one more may be sent. */
  hasRoom(): boolean {
    return this._waiting < Math.floor(this._size);
  }

  /** Notes that a request was sent. */
  addSent(): void {
    this._waiting += 1;
  }

  /** Notes that a request waits no more, for whatever reason. */
  removeSent(): void {
    this._waiting -= 1;
  }

  /**
   * Notes a first event.
   * @param share - Time from sending to the first event, as a part of the objective.
   */
  addFirstEvent(now: number, share: number): void {
    this._meanShare += (share - this._meanShare) * SHARE_WEIGHT;
    if (this._meanShare <= SLOW_SHARE) {
      this._size = Math.min(MAX_SIZE, this._size + 1 / this._size);
      return;
    }
    if (now - this._shrunkAt < SHRINK_PAUSE_MS) return;
    this._shrunkAt = now;
    // What was never used says nothing: the window begins to shrink at what waits.
    this._size = Math.max(MIN_SIZE, Math.min(this._size, this._waiting + 1) * SHRINK_FACTOR);
  }
}
