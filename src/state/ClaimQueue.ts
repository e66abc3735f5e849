/**
 * Claims in the order in which they were made, so that forgetting the old ones costs
 * nothing for those that are kept.
 */

/** A claim's place in the order. */
export interface ClaimPosition {
  readonly key: string;
  readonly claimedAtMs: number;
}

/** Positions taken before the list is cut down. */
const COMPACT_AFTER = 1_024;

/** The order of retained claims. */
export class ClaimOrder {
  private _positions: ClaimPosition[];
  private _head = 0;

  /**
   * @param claims - Claims in the order of claiming.
   */
  constructor(claims: readonly ClaimPosition[]) {
    this._positions = claims.map(({ key, claimedAtMs }) => ({ key, claimedAtMs }));
  }

  /** Adds the newest claim. */
  add(position: ClaimPosition): void {
    this._positions.push(position);
  }

  /** Takes the claims that were made before a time. */
  takeBefore(ms: number): ClaimPosition[] {
    const from = this._head;
    while (this._head < this._positions.length && this._positions[this._head]!.claimedAtMs < ms)
      this._head += 1;
    const taken = this._positions.slice(from, this._head);
    if (this._head >= COMPACT_AFTER && this._head * 2 >= this._positions.length) this._compact();
    return taken;
  }

  private _compact(): void {
    this._positions = this._positions.slice(this._head);
    this._head = 0;
  }
}
