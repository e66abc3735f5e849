/**
 * Limits how many streams of one model an entry lets wait at endpoints for their first event.
 *
 * The window grows while first events arrive well within their objective and shrinks when they do not. Excess
 * streams then wait in the entry, which can still reorder them, instead of in an endpoint's queue. Pure.
 */

/** A smaller window would make an entry with little load wait for each answer in turn. */
const MIN_SIZE = 3;
const MAX_SIZE = 64;
/**
 * The maximum mean share of the objective that first events may take. A higher mean shows that endpoints
 * queue streams.
 */
const MAX_MEAN_SHARE = 0.75;
/**
 * Weight of the newest first event in the mean. It is low because a single long prompt is no evidence of a
 * queue.
 */
const SHARE_WEIGHT = 0.2;
const SHRINK_FACTOR = 0.8;
/**
 * Minimum time between two reductions of the window: first events that arrive together are evidence of the
 * same queue.
 */
const MIN_SHRINK_INTERVAL_MS = 100;

/** Admission window of one model. */
export class AdmissionWindow {
  private _size: number;
  private _waitingCount = 0;
  private _meanShare = 0;
  private _lastShrunkAt = Number.NEGATIVE_INFINITY;

  /** @param initialSize - Initial size; clamped to the bounds. */
  constructor(initialSize: number) {
    this._size = Math.min(MAX_SIZE, Math.max(MIN_SIZE, initialSize));
  }

  /** Gets how many streams may wait at endpoints. */
  get size(): number {
    return this._size;
  }

  /** Checks whether one more stream may be sent. */
  hasCapacity(): boolean {
    return this._waitingCount < Math.floor(this._size);
  }

  /** Records that a stream was sent to an endpoint. */
  addWaiting(): void {
    this._waitingCount += 1;
  }

  /** Records that a stream no longer waits for its first event, for any reason. */
  removeWaiting(): void {
    this._waitingCount -= 1;
  }

  /**
   * Records the arrival of a first event and adjusts the window.
   * @param share - Time from sending the request to its first event, as a fraction of the objective.
   */
  addFirstEvent(now: number, share: number): void {
    this._meanShare += (share - this._meanShare) * SHARE_WEIGHT;
    if (this._meanShare <= MAX_MEAN_SHARE) {
      this._size = Math.min(MAX_SIZE, this._size + 1 / this._size);
      return;
    }
    if (now - this._lastShrunkAt < MIN_SHRINK_INTERVAL_MS) return;
    this._lastShrunkAt = now;
    // Unused capacity is no evidence about the endpoints, so the reduction starts from the number of waiting
    // streams.
    this._size = Math.max(MIN_SIZE, Math.min(this._size, this._waitingCount + 1) * SHRINK_FACTOR);
  }
}
