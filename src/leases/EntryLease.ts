/**
 * The lease by which an entry may take new work.
 *
 * Counted from when the renewal was sent, on the monotonic clock: a frozen entry finds
 * it run out when it wakes. All times are monotonic milliseconds.
 */
export class EntryLease {
  private _expiresAt = Number.NEGATIVE_INFINITY;

  /**
   * Takes a granted renewal.
   * @param sentAt - When the renewal was sent, not when the answer came.
   */
  renew(sentAt: number, leaseMs: number): void {
    this._expiresAt = Math.max(this._expiresAt, sentAt + leaseMs);
  }

  /** Gives the lease up before it runs out. */
  release(): void {
    this._expiresAt = Number.NEGATIVE_INFINITY;
  }

  /** Checks whether new work may go out now. */
  isHeld(now: number): boolean {
    return now < this._expiresAt;
  }

  /** Gets how long the lease still runs, 0 when it has run out. */
  getRemainingMs(now: number): number {
    return Math.max(0, this._expiresAt - now);
  }
}
