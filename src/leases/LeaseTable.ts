/**
 * The leases that a control leader gave to entries, and what they still allow.
 *
 * Leases are not in the log: at 460 entries that would be a write a renewal. Instead
 * a new leader waits until every lease of its predecessors must have run out before
 * it calls anything in force. All times are monotonic milliseconds of this process.
 */
import type { EntryId } from "../ids";

/** What an entry told when it renewed. */
export interface Renewal {
  readonly entryId: EntryId;
  /** Configuration version that the entry has in force. */
  readonly knownConfiguration: number;
  /** Assignment index that the entry has in force. */
  readonly knownAssignment: number;
}

/** What the leader knows of one entry. */
export interface LeaseHolder extends Renewal {
  /** When the newest lease has run out at the entry, at the latest. */
  readonly expiresAt: number;
}

/** Clocks of two machines run apart by less than this share of an interval. */
const CLOCK_RATE_MARGIN = 0.01;
/** Added to every interval, milliseconds. */
const CLOCK_STEP_MARGIN_MS = 20;

/** Gets how long a leader must wait for a lease of some length to have run out anywhere. */
export function getSafeWait(leaseMs: number): number {
  return leaseMs * (1 + CLOCK_RATE_MARGIN) + CLOCK_STEP_MARGIN_MS;
}

/** Leases given in one term of leadership. */
export class LeaseTable {
  private readonly _holders = new Map<EntryId, LeaseHolder>();
  private readonly _clearAt: number;

  /**
   * @param now - When this leadership began.
   * @param longestLeaseMs - The longest lease that any earlier leader may have given.
   */
  constructor(now: number, longestLeaseMs: number) {
    this._clearAt = now + getSafeWait(longestLeaseMs);
  }

  /**
   * Notes a lease that is about to be given.
   * @param now - When the renewal was received; the entry counts from when it sent it.
   */
  addLease(now: number, renewal: Renewal, leaseMs: number): void {
    const expiresAt = now + getSafeWait(leaseMs);
    const before = this._holders.get(renewal.entryId);
    this._holders.set(renewal.entryId, {
      entryId: renewal.entryId,
      // A renewal that was overtaken on the way must not take knowledge back.
      knownConfiguration: Math.max(renewal.knownConfiguration, before?.knownConfiguration ?? 0),
      knownAssignment: Math.max(renewal.knownAssignment, before?.knownAssignment ?? 0),
      expiresAt: Math.max(expiresAt, before?.expiresAt ?? 0),
    });
  }

  /** Forgets an entry that gave its lease back after its last request. */
  removeLease(entryId: EntryId): void {
    this._holders.delete(entryId);
  }

  /** Checks whether leases of earlier leaders have all run out. */
  haveEarlierLeasesExpired(now: number): boolean {
    return now >= this._clearAt;
  }

  /** Gets entries whose lease has not run out. */
  getLiveHolders(now: number): LeaseHolder[] {
    return [...this._holders.values()].filter((holder) => holder.expiresAt > now);
  }

  /** Gets live entries that may still act on a configuration older than a version. */
  getOutdatedHolders(now: number, version: number): LeaseHolder[] {
    return this.getLiveHolders(now).filter((holder) => holder.knownConfiguration < version);
  }

  /** Checks whether a configuration version is in force everywhere. */
  isConfigurationInForce(now: number, version: number): boolean {
    return this.haveEarlierLeasesExpired(now) && this.getOutdatedHolders(now, version).length === 0;
  }

  /** Checks whether no lease allows anything that an assignment index has ended. */
  isAssignmentInForce(now: number, index: number): boolean {
    return (
      this.haveEarlierLeasesExpired(now) &&
      this.getLiveHolders(now).every((holder) => holder.knownAssignment >= index)
    );
  }

  /** Forgets entries whose lease ran out long ago. */
  removeExpired(now: number, olderThanMs: number): void {
    for (const holder of this._holders.values()) {
      if (holder.expiresAt + olderThanMs < now) this._holders.delete(holder.entryId);
    }
  }
}
