/**
 * The state and timers that a control process has only while it is the leader, created again for each term.
 *
 * Each planning step confirms the leadership with a majority, then plans on the current facts and executes
 * the plan: replica changes through the log, model loads by fenced orders.
 */
import { BurnStore, getMinute } from "../burn";
import type { Clock } from "../clock";
import type { Configuration } from "../configuration";
import type { ConsensusDriver } from "../consensus";
import type { InstanceSource } from "../discovery";
import type { EngineOrder } from "../engine";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { InstanceId } from "../ids";
import { ReplicaId } from "../ids";
import { LeaseTable } from "../leases";
import type { Logger, Metrics } from "../metrics";
import {
  type Action,
  type InstanceFacts,
  type LoadInstanceAction,
  Planner,
  type PlanningFacts,
  REASON,
  type WarmInstanceAction,
} from "../planner";
import type { EngineFactory } from "../presence";
import type { ConfigurationCache } from "./ConfigurationCache";
import { EntryRegistry } from "./EntryRegistry";
import { InstanceMonitor } from "./InstanceMonitor";
import { LossLedger } from "./LossLedger";

export interface LeadershipOptions {
  readonly driver: ConsensusDriver;
  readonly platform: InstanceSource;
  readonly createEngine: EngineFactory;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly configurations: ConfigurationCache;
}

const PLATFORM_TIMEOUT_MS = 1_000;
const ORDER_TIMEOUT_MS = 2_000;
const STEP_INTERVAL_MS = 200;
/** Number of presence windows after which a new leader counts an instance without an answer as absent. */
const WARM_UP_WINDOWS = 2;

/** The work of the leader during one term. */
export class Leadership {
  readonly term: number;
  /** Leases granted in this term. */
  readonly leases: LeaseTable;
  /** The latest renewal of each entry. */
  readonly entries = new EntryRegistry();
  /** The listed instances and their presence. */
  readonly monitor: InstanceMonitor;
  /** Downtime and stranded accelerators since the term began. */
  readonly ledger: LossLedger;
  /** Service-level windows reported by the entries. */
  readonly burn = new BurnStore();
  private readonly _options: LeadershipOptions;
  private readonly _planner = new Planner();
  private readonly _startedAt: number;
  private readonly _pendingOrders = new Set<InstanceId>();
  private readonly _retiringSince = new Map<string, number>();
  private readonly _timers: NodeJS.Timeout[] = [];
  private _isStepping = false;
  private _isEnded = false;

  /** @param options - Driver, platform, clock, log and metrics. */
  constructor(options: LeadershipOptions) {
    const now = options.clock.getMonotonicMs();
    this._options = options;
    this._startedAt = now;
    this.term = options.driver.node.term;
    this.leases = new LeaseTable(now, options.configurations.getLongestLeaseMs(options.clock.getWallMs()));
    this.ledger = new LossLedger(now);
    this.monitor = new InstanceMonitor({
      platform: options.platform,
      createEngine: options.createEngine,
      clock: options.clock,
      onPlatformFailure: (cause) =>
        options.logger.warn({ event: "platform_unreachable", reason: String(cause) }),
    });
  }

  /** Starts probing and planning. */
  start(): void {
    void this.monitor.refreshInstances(PLATFORM_TIMEOUT_MS);
    this._timers.push(
      setInterval(() => void this.monitor.refreshInstances(PLATFORM_TIMEOUT_MS), STEP_INTERVAL_MS * 2),
    );
    this._timers.push(setInterval(() => void this._runStep(), STEP_INTERVAL_MS));
    this._scheduleProbe();
  }

  /** Stops probing and planning. */
  end(): void {
    this._isEnded = true;
    for (const timer of this._timers) clearTimeout(timer);
  }

  /**
   * Checks whether the leader has probed for long enough to count an instance without an answer as absent.
   */
  isWarm(now: number, configuration: Configuration): boolean {
    const warmUpMs = configuration.timing.presenceWindow * WARM_UP_WINDOWS;
    return this.monitor.hasList() && now - this._startedAt > warmUpMs;
  }

  /** Gets the facts on which the planner decides. */
  getFacts(now: number, configuration: Configuration): PlanningFacts {
    const replicas = this._options.driver.machine.getReplicas();
    const retiring = replicas.filter((replica) => replica.phase === ReplicaPhase.RETIRING);
    this._updateRetiring(now, retiring);
    return {
      instances: this._getInstanceFacts(configuration),
      replicas,
      areOldLeasesExpired: this.leases.haveEarlierLeasesExpired(now),
      retiredInForce: new Set(
        retiring
          .filter((replica) => this.leases.isAssignmentInForce(now, replica.changedAtIndex))
          .map((replica) => replica.id),
      ),
      drainedReplicas: new Set(
        retiring
          .filter((replica) => now - this._retiringSince.get(replica.id)! > configuration.timing.drain)
          .map((replica) => replica.id),
      ),
      inFlight: this.entries.getInFlight(now, this.leases),
      absences: this.monitor.presence.getAbsences(),
    };
  }

  private _scheduleProbe(): void {
    const configuration = this._options.configurations.getNewest();
    const probeMs = configuration?.timing.probe ?? STEP_INTERVAL_MS;
    if (this._isEnded) return;
    this.monitor.probeInstances(configuration?.timing.presenceWindow ?? PLATFORM_TIMEOUT_MS);
    const timer = setTimeout(() => {
      this._timers.splice(this._timers.indexOf(timer), 1);
      this._scheduleProbe();
    }, probeMs);
    this._timers.push(timer);
  }

  private _updateRetiring(now: number, retiring: readonly Replica[]): void {
    const ids = new Set(retiring.map((replica) => replica.id));
    for (const id of this._retiringSince.keys()) {
      if (!ids.has(id)) this._retiringSince.delete(id);
    }
    for (const id of ids) {
      if (!this._retiringSince.has(id)) this._retiringSince.set(id, now);
    }
  }

  private _getInstanceFacts(configuration: Configuration): InstanceFacts[] {
    const earliest = this._startedAt - configuration.timing.presenceWindow;
    return this.monitor
      .getInstances()
      .filter((instance) => instance.kind === "engine")
      .map((instance) => {
        const { answeredAt, state, losses } = this.monitor.presence.getPresence(instance.id);
        const isJoining = state !== undefined && state.model !== "" && !state.isReady;
        return {
          id: instance.id,
          born: 0,
          address: instance.address,
          failureDomain: instance.failureDomain,
          fabricDomain: instance.fabricDomain,
          isLeaving: instance.isLeaving,
          checksOrders: instance.checksOrders,
          answeredAt: Math.max(answeredAt, earliest),
          epoch: state?.epoch ?? 0,
          isReady: state?.isReady ?? false,
          model: state?.model ?? "",
          modelVersion: state?.modelVersion ?? "",
          isLoading: this._pendingOrders.has(instance.id) || isJoining,
          losses,
        };
      });
  }

  private async _runStep(): Promise<void> {
    if (this._isStepping || this._isEnded) return;
    this._isStepping = true;
    try {
      await this._step();
    } catch (cause) {
      this._options.logger.warn({ event: "planning_step_failed", reason: String(cause) });
    } finally {
      this._isStepping = false;
    }
  }

  private async _step(): Promise<void> {
    const configuration = this._options.configurations.getNewest();
    if (configuration === undefined) return;
    await this._options.driver.confirmLeadership();
    if (this._isEnded) return;
    const now = this._options.clock.getMonotonicMs();
    this._removeExpired(now, configuration);
    if (!this.isWarm(now, configuration)) return;
    const facts = this.getFacts(now, configuration);
    this.ledger.account(now, facts, configuration);
    this._reportLosses();
    const actions = this._planner.plan(now, facts, configuration);
    await Promise.all(actions.map((action) => this._execute(action, configuration)));
  }

  private _removeExpired(now: number, configuration: Configuration): void {
    const { presenceWindow, lease } = configuration.timing;
    this.monitor.presence.update(now, presenceWindow, configuration.planning.maxWait);
    this.leases.removeExpired(now, lease);
    this.entries.removeUnleased(now, this.leases);
    this.burn.removeExpired(getMinute(this._options.clock.getWallMs()));
  }

  private _reportLosses(): void {
    for (const loss of this.ledger.getLosses()) {
      const tags = { model: loss.model, failure_domain: loss.failureDomain, cause: loss.cause };
      this._options.metrics.gauge("group_downtime_seconds", loss.groupDowntimeS, tags);
      this._options.metrics.gauge("stranded_accelerator_seconds", loss.strandedAcceleratorS, tags);
    }
  }

  private async _execute(action: Action, configuration: Configuration): Promise<void> {
    switch (action.kind) {
      case "formReplica":
        return this._formReplica(action.group, action.members, action.reason, configuration);
      case "loadInstance":
        return this._loadInstance(action);
      case "warmInstance":
        return this._warmInstance(action);
      case "serveReplica":
        return this._moveReplica(action.replica, ReplicaPhase.SERVING, REASON.whole);
      case "retireReplica":
        return this._moveReplica(action.replica, ReplicaPhase.RETIRING, action.reason);
      case "releaseReplica":
        return this._moveReplica(action.replica, ReplicaPhase.RELEASED, REASON.released);
    }
  }

  private async _formReplica(
    groupName: string,
    members: readonly InstanceFacts[],
    reason: string,
    configuration: Configuration,
  ): Promise<void> {
    const group = configuration.groups.find((candidate) => candidate.name === groupName)!;
    const model = configuration.models.find((candidate) => candidate.name === group.model)!;
    const result = await this._options.driver.propose({
      case: "formReplica",
      value: {
        $typeName: "ploverstage.v1.FormReplica",
        group: group.name,
        model: model.name,
        modelVersion: model.version,
        adapters: [...model.adapters],
        members: members.map((member) => ({
          $typeName: "ploverstage.v1.ReplicaMember" as const,
          instanceId: member.id,
          born: member.born,
          address: member.address,
          failureDomain: member.failureDomain,
        })),
        fabricDomain: members[0]!.fabricDomain,
        atMs: this._options.clock.getWallMs(),
        reason,
      },
    });
    this._options.logger.info({ event: "replica_formed", group: group.name, result });
  }

  private async _moveReplica(replica: Replica, phase: ReplicaPhase, reason: string): Promise<void> {
    const result = await this._options.driver.propose({
      case: "moveReplica",
      value: {
        $typeName: "ploverstage.v1.MoveReplica",
        replicaId: replica.id,
        epoch: replica.epoch,
        phase,
        reason,
        atMs: this._options.clock.getWallMs(),
      },
    });
    const event = {
      event: "replica_moved",
      replica: replica.id,
      epoch: replica.epoch,
      phase: ReplicaPhase[phase],
    };
    this._options.logger.info({ ...event, reason, result: result?.kind });
  }

  private _loadInstance({ instance, replica, rank }: LoadInstanceAction): void {
    this._sendOrder(instance, {
      replicaId: ReplicaId(replica.id),
      epoch: replica.epoch,
      model: replica.model,
      modelVersion: replica.modelVersion,
      adapters: replica.adapters,
      members: replica.members.map((member) => member.address),
      rank,
    });
  }

  /**
   * Loads a model into an instance that belongs to no replica. The order has the instance's own epoch, so
   * that an order of any later replica is newer.
   */
  private _warmInstance({ instance, model, modelVersion, adapters }: WarmInstanceAction): void {
    const standby = { replicaId: ReplicaId(""), epoch: instance.epoch, members: [], rank: 0 };
    this._sendOrder(instance, { ...standby, model, modelVersion, adapters });
  }

  /**
   * Sends an order without waiting for the answer, so that an unresponsive instance does not delay other
   * orders.
   */
  private _sendOrder(instance: InstanceFacts, order: EngineOrder): void {
    const engine = this.monitor.getEngine(instance.id);
    if (engine === undefined) return;
    this._pendingOrders.add(instance.id);
    engine
      .sendOrder(order, ORDER_TIMEOUT_MS)
      .catch((cause: unknown) =>
        this._options.logger.warn({ event: "order_failed", instance: instance.id, reason: String(cause) }),
      )
      .finally(() => this._pendingOrders.delete(instance.id));
  }
}
