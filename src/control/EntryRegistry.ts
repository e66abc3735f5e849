/** Stores the latest lease renewal of each entry for the leader. Performs no I/O. */
import type { RenewRequest } from "../gen/ploverstage/v1/control_pb";
import { EntryId } from "../ids";
import type { LeaseTable } from "../leases";

/** The latest renewal of each entry. */
export class EntryRegistry {
  private readonly _renewals = new Map<EntryId, RenewRequest>();

  /** Stores an entry's renewal in place of its previous one. */
  addRenewal(renewal: RenewRequest): void {
    this._renewals.set(EntryId(renewal.entryId), renewal);
  }

  /** Gets the latest renewals of the entries whose leases are valid. */
  getLiveRenewals(now: number, leases: LeaseTable): RenewRequest[] {
    return leases.getLiveHolders(now).flatMap((holder) => this._renewals.get(holder.entryId) ?? []);
  }

  /** Gets the number of requests in flight per replica id, summed over the entries with valid leases. */
  getInFlight(now: number, leases: LeaseTable): Map<string, number> {
    const counts = new Map<string, number>();
    for (const renewal of this.getLiveRenewals(now, leases)) {
      for (const item of renewal.inFlight) {
        counts.set(item.replicaId, (counts.get(item.replicaId) ?? 0) + item.requests);
      }
    }
    return counts;
  }

  /**
   * Gets an entry's share of every endpoint's concurrency limit, between 0 and 1.
   *
   * Half of the limit is split evenly, so that an idle entry can start requests at once. The other half is
   * split by the queued and running requests of each entry, so that uneven load doesn't leave endpoints idle.
   */
  getConcurrencyShare(now: number, leases: LeaseTable, entryId: string): number {
    const live = this.getLiveRenewals(now, leases).filter(
      (renewal) => !renewal.stopping || renewal.entryId === entryId,
    );
    if (live.length === 0) return 1;
    const totalDemand = live.reduce((sum, renewal) => sum + getDemand(renewal), 0);
    const ownRenewal = live.find((renewal) => renewal.entryId === entryId);
    const evenShare = 1 / live.length;
    if (totalDemand === 0 || ownRenewal === undefined) return evenShare;
    return 0.5 * evenShare + 0.5 * (getDemand(ownRenewal) / totalDemand);
  }

  /** Removes the entries that no longer have a lease. */
  removeUnleased(now: number, leases: LeaseTable): void {
    const live = new Set(leases.getLiveHolders(now).map((holder) => holder.entryId));
    for (const entryId of this._renewals.keys()) {
      if (!live.has(entryId)) this._renewals.delete(entryId);
    }
  }
}

function getDemand(renewal: RenewRequest): number {
  return renewal.queued + renewal.inFlight.reduce((sum, item) => sum + item.requests, 0);
}
