/**
 * Finds out which of several instances that reported from one address runs there, by asking.
 *
 * The answer of the instance itself is the only proof: reports of ended instances reach a leader after
 * those of their successors, 0.1 to 9.8 s old in the first 0.3 s of terms. Believing the last report
 * instead gave up 8, 9 and 9 replicas within a second of a change of leader, and gave
 * away instances whose head was open (logs of three days with partitions, restarts and killed leaders).
 */
import type { Clock } from "../clock";
import type { Logger } from "../metrics";
import type { InstanceOrders } from "./InstanceOrders";
import type { AddressConflict, InstanceRegistry } from "./InstanceRegistry";

/** What the checks work with. */
export interface IdentityChecksOptions {
  readonly registry: InstanceRegistry;
  readonly orders: Pick<InstanceOrders, "identify">;
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

  /**
   * @param options - Registry, orders and log.
   */
  constructor(options: IdentityChecksOptions) {
    this._options = options;
  }

  /** Asks at each address that several instances claim, unless it was asked a moment ago. */
  checkConflicts(now: number): void {
    const conflicts = this._options.registry.getConflicts();
    const addresses = new Set(conflicts.map(({ address }) => address));
    for (const address of this._asked.keys()) if (!addresses.has(address)) this._asked.delete(address);
    for (const conflict of conflicts) {
      const { address } = conflict;
      const endedAt = this._asked.get(address)?.endedAt ?? Number.NEGATIVE_INFINITY;
      if (!this._asking.has(address) && now - endedAt >= PAUSE_MS) void this._ask(now, conflict);
    }
  }

  /** One claimant at a time: either answer tells of it or of all the others. */
  private async _ask(now: number, { address, claimants }: AddressConflict): Promise<void> {
    const { registry, orders, clock, logger } = this._options;
    const count = this._asked.get(address)?.count ?? 0;
    const { instanceId } = claimants[count % claimants.length]!.report;
    this._asking.add(address);
    const identity = await orders.identify({ instanceId, address }, ANSWER_MS);
    this._asking.delete(address);
    this._asked.set(address, { count: count + 1, endedAt: clock.getMonotonicMs() });
    if (identity === "another") registry.addEnd(instanceId);
    if (identity === "itself") registry.addPresence(now, instanceId);
    logger.info({
      event: "identity_checked",
      address,
      instance: instanceId,
      identity,
      claimants: claimants.map(({ report }) => report.instanceId),
      took_ms: Math.round(clock.getMonotonicMs() - now),
    });
  }
}
