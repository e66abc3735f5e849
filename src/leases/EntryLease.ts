/**
 * The lease that allows an entry to start new work.
 *
 * It is counted on the monotonic clock from when the entry sent the renewal, so that an entry that was paused
 * finds the lease expired when it resumes. All times are monotonic milliseconds.
 */
export class EntryLease {
  private _expiresAt = Number.NEGATIVE_INFINITY;

  /**
   * Extends the lease after a granted renewal.
   * @param sentAt - When the renewal was sent, not when the response was received.
   */
  renew(sentAt: number, leaseMs: number): void {
    this._expiresAt = Math.max(this._expiresAt, sentAt + leaseMs);
  }

  /** Ends the lease before it expires. */
  release(): void {
    this._expiresAt = Number.NEGATIVE_INFINITY;
  }

  /** Checks whether the entry may start new work now. */
  isHeld(now: number): boolean {
    return now < this._expiresAt;
  }

  /** Gets the remaining time of the lease in milliseconds, 0 when it has expired. */
  getRemainingMs(now: number): number {
    return Math.max(0, this._expiresAt - now);
  }
}
