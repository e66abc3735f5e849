/** What the leader knows of the entries from their renewals. Pure. */
import type { RenewRequest } from "../gen/ploverstage/v1/control_pb";
import { EntryId } from "../ids";
import type { LeaseTable } from "../leases";

/** Entries and what they last told. */
export class EntryRegistry {
  private readonly _renewals = new Map<EntryId, RenewRequest>();

  /** Notes a renewal. */
  addRenewal(renewal: RenewRequest): void {
    this._renewals.set(EntryId(renewal.entryId), renewal);
  }

  /** Gets the last renewals of entries whose lease runs. */
  getLive(now: number, leases: LeaseTable): RenewRequest[] {
    return leases.getLiveHolders(now).flatMap((holder) => this._renewals.get(holder.entryId) ?? []);
  }

  /** Gets requests in flight by replica over live entries. */
  getInFlight(now: number, leases: LeaseTable): Map<string, number> {
    const counts = new Map<string, number>();
    for (const renewal of this.getLive(now, leases)) {
      for (const item of renewal.inFlight) {
        counts.set(item.replicaId, (counts.get(item.replicaId) ?? 0) + item.requests);
      }
    }
    return counts;
  }

  /**
   * Gets an entry's part of every endpoint's limit.
   *
   * Half is split evenly, so that an idle entry can start at once; half follows the
   * work that entries hold, so that uneven callers don't leave endpoints idle.
   */
  getConcurrencyShare(now: number, leases: LeaseTable, entryId: string): number {
    const live = this.getLive(now, leases).filter(
      (renewal) => !renewal.stopping || renewal.entryId === entryId,
    );
    if (live.length === 0) return 1;
    const total = live.reduce((sum, renewal) => sum + getDemand(renewal), 0);
    const own = live.find((renewal) => renewal.entryId === entryId);
    const even = 1 / live.length;
    if (total === 0 || own === undefined) return even;
    return 0.5 * even + 0.5 * (getDemand(own) / total);
  }

  /** Forgets entries that hold no lease any more. */
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
