/**
 * Finds out which of several instances that reported from one address runs there, by asking.
 *
 * The answer of the instance itself is the only proof: reports of ended instances may reach a leader
 * seconds after those of their successors, most of all in the first moments of a term.
 */
import type { Clock } from "../clock";
import type { InstanceReport } from "../gen/ploverstage/v1/fleet_pb";
import type { Life } from "../ids";
import type { Logger } from "../metrics";
import type { InstanceOrders, OrderReceiver } from "./InstanceOrders";
import type { InstanceRegistry } from "./InstanceRegistry";

/** What the checks work with. */
export interface IdentityChecksOptions {
  readonly registry: InstanceRegistry;
  readonly orders: Pick<InstanceOrders, "identify" | "askBorn">;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** An instance that is well answers within some 10 ms; one that loses its answer is asked again soon. */
const ANSWER_MS = 250;
/** Who could not be asked is asked again after this time: about the pause between two signs of life. */
const PAUSE_MS = 400;

/** The checks of one term. */
export class IdentityChecks {
  private readonly _options: IdentityChecksOptions;
  /** How often and when the instances at an address were asked. */
  private readonly _asked = new Map<string, { readonly count: number; readonly endedAt: number }>();
  private readonly _asking = new Set<string>();
  /** By instance: when it was asked which of its lives runs. */
  private readonly _askedLives = new Map<string, number>();

  /**
   * @param options - Registry, orders and log.
   */
  constructor(options: IdentityChecksOptions) {
    this._options = options;
  }

  /**
   * Asks at each address that several instances claim, unless it was asked a moment ago.
   * @param members - Instances that the agreed state gives places: one that was not heard of in this term
   * claims its address as well. Else the replica of one that has ended, with another one heard of at its
   * address, stood until the usual silence was over.
   * @param engineServices - Services whose instances take orders: no others are asked.
   */
  checkConflicts(now: number, members: readonly OrderReceiver[], engineServices: ReadonlySet<string>): void {
    const conflicts = this._getConflicts(members, engineServices);
    for (const address of this._asked.keys()) if (!conflicts.has(address)) this._asked.delete(address);
    for (const [address, claimants] of conflicts) {
      const endedAt = this._asked.get(address)?.endedAt ?? Number.NEGATIVE_INFINITY;
      if (!this._asking.has(address) && now - endedAt >= PAUSE_MS) void this._ask(now, address, claimants);
    }
  }

  /**
   * Asks each instance of which an older life reports beside a newer one who answers where the older one
   * reported from, unless it was asked a moment ago: a clock that was set back between two starts makes
   * the one that runs look older.
   */
  checkIncarnations(now: number): void {
    const contenders = this._options.registry.getContenders();
    const ids = new Set(contenders.map(({ report }) => report.instanceId));
    for (const id of this._askedLives.keys()) if (!ids.has(id)) this._askedLives.delete(id);
    for (const { report } of contenders) {
      if (now - (this._askedLives.get(report.instanceId) ?? Number.NEGATIVE_INFINITY) < PAUSE_MS) continue;
      this._askedLives.set(report.instanceId, now);
      void this._askBorn(now, report);
    }
  }

  private async _askBorn(now: number, { instanceId, born, address }: InstanceReport): Promise<void> {
    const { registry, orders, logger } = this._options;
    const answered = await orders.askBorn({ instanceId, born, address }, ANSWER_MS);
    if (answered !== undefined) registry.addLifeAnswer(now, { instanceId, born: answered });
    const knownBorn = registry.getInstance(instanceId)?.report.born;
    logger.info({ event: "life_checked", instance: instanceId, address, born, answered, knownBorn });
  }

  /** Gets lives by address. */
  private _getConflicts(
    members: readonly OrderReceiver[],
    engineServices: ReadonlySet<string>,
  ): ReadonlyMap<string, readonly Life[]> {
    const { registry } = this._options;
    const conflicts = new Map<string, readonly Life[]>();
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

  /** One claimant at a time: either answer tells of it or of all the others. */
  private async _ask(now: number, address: string, claimants: readonly Life[]): Promise<void> {
    const { registry, orders, clock, logger } = this._options;
    const count = this._asked.get(address)?.count ?? 0;
    const { instanceId, born } = claimants[count % claimants.length]!;
    this._asking.add(address);
    const identity = await orders.identify({ instanceId, born, address }, ANSWER_MS);
    this._asking.delete(address);
    this._asked.set(address, { count: count + 1, endedAt: clock.getMonotonicMs() });
    if (identity === "another") registry.markEnded({ instanceId, born });
    if (identity === "itself") registry.addPresence(now, instanceId, address);
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
