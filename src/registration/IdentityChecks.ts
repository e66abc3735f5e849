/**
 * Finds out by query which of several instances that reported the same address runs there.
 *
 * Only the instance's own answer is proof: reports of ended instances can reach a leader seconds after those
 * of their successors, in particular at the start of a term.
 */
import type { Clock } from "../clock";
import type { InstanceReport } from "../gen/ploverstage/v1/fleet_pb";
import type { Incarnation } from "../ids";
import type { Logger } from "../metrics";
import type { InstanceOrders, OrderReceiver } from "./InstanceOrders";
import type { InstanceRegistry } from "./InstanceRegistry";

export interface IdentityChecksOptions {
  readonly registry: InstanceRegistry;
  readonly orders: Pick<InstanceOrders, "identify" | "askStatus">;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A healthy instance answers within some 10 ms; if the answer is lost, the query is repeated soon. */
const ANSWER_TIMEOUT_MS = 250;
/** Wait before a query that got no answer is repeated; about the interval between two heartbeats. */
const RETRY_INTERVAL_MS = 400;

/** The identity checks of one leadership term. */
export class IdentityChecks {
  private readonly _options: IdentityChecksOptions;
  /** By address: number of completed queries and when the last one ended. */
  private readonly _queries = new Map<string, { readonly count: number; readonly endedAt: number }>();
  private readonly _pendingAddresses = new Set<string>();
  /** By instance id: when the last query for the running incarnation was sent. */
  private readonly _startTimeQueriedAt = new Map<string, number>();

  constructor(options: IdentityChecksOptions) {
    this._options = options;
  }

  /**
   * Queries each address that several instances claim, unless the last query there ended less than
   * RETRY_INTERVAL_MS ago.
   * @param members - Members of replicas in the committed state. A member that has not reported in this term
   * also claims its address. Without this rule the replica of an ended member would stay until the usual
   * heartbeat timeout, although another instance reports the member's address.
   * @param engineServices - Services whose instances accept orders; instances of other services are not
   * queried.
   */
  checkConflicts(now: number, members: readonly OrderReceiver[], engineServices: ReadonlySet<string>): void {
    const conflicts = this._getConflicts(members, engineServices);
    for (const address of this._queries.keys()) if (!conflicts.has(address)) this._queries.delete(address);
    for (const [address, claimants] of conflicts) {
      const endedAt = this._queries.get(address)?.endedAt ?? Number.NEGATIVE_INFINITY;
      if (!this._pendingAddresses.has(address) && now - endedAt >= RETRY_INTERVAL_MS)
        void this._queryIdentity(now, address, claimants);
    }
  }

  /**
   * Queries each instance whose older and newer incarnations both report, at most once per RETRY_INTERVAL_MS.
   * The query goes to the address that the older incarnation reported. If a clock was set back between two
   * starts, the running incarnation has the older start time.
   */
  checkIncarnations(now: number): void {
    const olderIncarnations = this._options.registry.getOlderIncarnations();
    const ids = new Set(olderIncarnations.map(({ report }) => report.instanceId));
    for (const id of this._startTimeQueriedAt.keys()) if (!ids.has(id)) this._startTimeQueriedAt.delete(id);
    for (const { report } of olderIncarnations) {
      if (
        now - (this._startTimeQueriedAt.get(report.instanceId) ?? Number.NEGATIVE_INFINITY) <
        RETRY_INTERVAL_MS
      )
        continue;
      this._startTimeQueriedAt.set(report.instanceId, now);
      void this._queryStartTime(now, report);
    }
  }

  private async _queryStartTime(now: number, { instanceId, born, address }: InstanceReport): Promise<void> {
    const { registry, orders, logger } = this._options;
    const status = await orders.askStatus({ instanceId, born, address }, ANSWER_TIMEOUT_MS);
    const answered = status?.born;
    if (answered !== undefined) registry.confirmIncarnation(now, { instanceId, born: answered });
    const knownBorn = registry.getInstance(instanceId)?.report.born;
    logger.info({ event: "life_checked", instance: instanceId, address, born, answered, knownBorn });
  }

  /** Gets the conflicting incarnations by address. */
  private _getConflicts(
    members: readonly OrderReceiver[],
    engineServices: ReadonlySet<string>,
  ): ReadonlyMap<string, readonly Incarnation[]> {
    const { registry } = this._options;
    const conflicts = new Map<string, readonly Incarnation[]>();
    for (const { address, claimants } of registry.getConflicts()) {
      if (!claimants.some(({ report }) => engineServices.has(report.service))) continue;
      conflicts.set(address, registry.getClaimants(address));
    }
    for (const member of members) {
      if (registry.getInstance(member.instanceId) !== undefined || registry.hasEnded(member)) continue;
      const claimants = registry.getClaimants(member.address);
      if (claimants.length > 0) conflicts.set(member.address, [member, ...claimants]);
    }
    return conflicts;
  }

  /**
   * Queries one claimant at a time: the answer shows whether this claimant has ended or all the others have.
   */
  private async _queryIdentity(
    now: number,
    address: string,
    claimants: readonly Incarnation[],
  ): Promise<void> {
    const { registry, orders, clock, logger } = this._options;
    const count = this._queries.get(address)?.count ?? 0;
    const { instanceId, born } = claimants[count % claimants.length]!;
    this._pendingAddresses.add(address);
    const identity = await orders.identify({ instanceId, born, address }, ANSWER_TIMEOUT_MS);
    this._pendingAddresses.delete(address);
    this._queries.set(address, { count: count + 1, endedAt: clock.getMonotonicMs() });
    if (identity === "another") registry.markEnded({ instanceId, born });
    if (identity === "itself") registry.confirmInstance(now, instanceId, address);
    logger.info({
      event: "identity_checked",
      address,
      instance: instanceId,
      identity,
      claimants: claimants.map((claimant) => claimant.instanceId),
      took_ms: Math.round(clock.getMonotonicMs() - now),
    });
  }
}
