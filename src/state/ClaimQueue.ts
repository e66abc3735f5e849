/**
 * Retained claims in the order of their claim times, so that removing expired claims costs nothing for the
 * claims that stay.
 */

/** A claim's key and its position in time. */
export interface ClaimPosition {
  readonly key: string;
  readonly claimedAtMs: number;
}

/** Removed positions after which the array may be compacted. */
const MIN_COMPACTED_POSITIONS = 1_024;

/** A queue of retained claims, oldest first. */
export class ClaimQueue {
  private _positions: ClaimPosition[];
  private _firstIndex = 0;

  /**
   * @param claims - Claims in the order of their claim times.
   */
  constructor(claims: readonly ClaimPosition[]) {
    this._positions = claims.map(({ key, claimedAtMs }) => ({ key, claimedAtMs }));
  }

  /** Adds the newest claim. */
  add(position: ClaimPosition): void {
    this._positions.push(position);
  }

  /**
   * Removes the claims that were made before a time, and returns them.
   * @param ms - In the clock of the replicated state, Unix milliseconds.
   */
  removeBefore(ms: number): ClaimPosition[] {
    const firstIndex = this._firstIndex;
    while (this._firstIndex < this._positions.length && this._positions[this._firstIndex]!.claimedAtMs < ms)
      this._firstIndex += 1;
    const removed = this._positions.slice(firstIndex, this._firstIndex);
    if (this._firstIndex >= MIN_COMPACTED_POSITIONS && this._firstIndex * 2 >= this._positions.length)
      this._compact();
    return removed;
  }

  private _compact(): void {
    this._positions = this._positions.slice(this._firstIndex);
    this._firstIndex = 0;
  }
}
