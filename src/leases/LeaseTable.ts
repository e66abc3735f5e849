/**
 * The leases that a control leader granted to entries, and which versions entries may still use under them.
 *
 * Leases are not written to the log: with 460 entries that would be one write for each renewal. Instead, a
 * new leader waits until all leases of earlier leaders must have expired before it reports anything as in
 * force. All times are monotonic milliseconds of this process.
 */
import type { EntryId } from "../ids";

/** The state that an entry reported with a renewal. */
export interface Renewal {
  readonly entryId: EntryId;
  /** Configuration version that the entry has in force. */
  readonly knownConfiguration: number;
  /** Assignment index that the entry has in force. */
  readonly knownAssignment: number;
}

/** An entry and its newest lease, as the leader recorded them. */
export interface LeaseHolder extends Renewal {
  /** The latest time at which the newest lease expires at the entry. */
  readonly expiresAt: number;
}

/** The clocks of two machines drift apart by less than this share of an interval. */
const CLOCK_RATE_MARGIN = 0.01;
/** Added to every interval, milliseconds. */
const CLOCK_STEP_MARGIN_MS = 20;

/** Gets the time after which a lease of a given length must have expired at any entry, in milliseconds. */
export function getExpiryWaitMs(leaseMs: number): number {
  return leaseMs * (1 + CLOCK_RATE_MARGIN) + CLOCK_STEP_MARGIN_MS;
}

/** Leases that were granted in one term of leadership. */
export class LeaseTable {
  private readonly _holders = new Map<EntryId, LeaseHolder>();
  private readonly _earlierLeasesExpireAt: number;

  /**
   * @param now - When this leadership began.
   * @param longestLeaseMs - The longest lease that any earlier leader may have granted.
   */
  constructor(now: number, longestLeaseMs: number) {
    this._earlierLeasesExpireAt = now + getExpiryWaitMs(longestLeaseMs);
  }

  /**
   * Records a lease that is about to be granted.
   * @param now - When the renewal was received; the entry counts from when it sent the renewal.
   */
  addLease(now: number, renewal: Renewal, leaseMs: number): void {
    const expiresAt = now + getExpiryWaitMs(leaseMs);
    const previous = this._holders.get(renewal.entryId);
    this._holders.set(renewal.entryId, {
      entryId: renewal.entryId,
      // A renewal that arrives out of order must not lower the recorded versions.
      knownConfiguration: Math.max(renewal.knownConfiguration, previous?.knownConfiguration ?? 0),
      knownAssignment: Math.max(renewal.knownAssignment, previous?.knownAssignment ?? 0),
      expiresAt: Math.max(expiresAt, previous?.expiresAt ?? 0),
    });
  }

  /** Removes an entry that returned its lease after its last request. */
  removeLease(entryId: EntryId): void {
    this._holders.delete(entryId);
  }

  /** Checks whether all leases of earlier leaders have expired. */
  haveEarlierLeasesExpired(now: number): boolean {
    return now >= this._earlierLeasesExpireAt;
  }

  /** Gets the entries whose lease has not expired. */
  getLiveHolders(now: number): LeaseHolder[] {
    return [...this._holders.values()].filter((holder) => holder.expiresAt > now);
  }

  /** Gets the live entries that may still use a configuration older than a version. */
  getOutdatedHolders(now: number, version: number): LeaseHolder[] {
    return this.getLiveHolders(now).filter((holder) => holder.knownConfiguration < version);
  }

  /** Checks whether every entry that may hold a lease uses a configuration version or a newer one. */
  isConfigurationInForce(now: number, version: number): boolean {
    return this.haveEarlierLeasesExpired(now) && this.getOutdatedHolders(now, version).length === 0;
  }

  /** Checks whether no entry that may hold a lease still uses an assignment that ended by an index. */
  isAssignmentInForce(now: number, index: number): boolean {
    return (
      this.haveEarlierLeasesExpired(now) &&
      this.getLiveHolders(now).every((holder) => holder.knownAssignment >= index)
    );
  }

  /** Removes entries whose lease expired more than a given time ago. */
  removeExpired(now: number, olderThanMs: number): void {
    for (const holder of this._holders.values()) {
      if (holder.expiresAt + olderThanMs < now) this._holders.delete(holder.entryId);
    }
  }
}
