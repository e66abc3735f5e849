/**
 * Keeps the replicas in the state that the planner computes: each step runs the planner once and executes its
 * decisions through the log and by orders to instances.
 *
 * A controller exists only while this process leads. It receives all data on instances from their reports.
 */
import { type Clock, type EventLoopLag, pause } from "../clock";
import type { ConsensusDriver } from "../consensus";
import type { RouteTable } from "../declaration";
import { PlaceState } from "../gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { getIncarnationKey, type IncarnationKey } from "../ids";
import type { Logger, Metrics } from "../metrics";
import { type Action, type InstanceFacts, REASON } from "../planner";
import type { HeartbeatMonitor } from "./HeartbeatMonitor";
import { IdentityChecks } from "./IdentityChecks";
import type {
  InstanceOrder,
  InstanceOrders,
  InstanceStatus,
  OrderOutcome,
  OrderReceiver,
} from "./InstanceOrders";
import type { InstanceRegistry } from "./InstanceRegistry";
import { LeaveConfirmations, type OccupiedPlace } from "./LeaveConfirmations";
import type { LoadLimit } from "./LoadLimiter";
import { createLoadLimit } from "./loadLimits";
import { OrderDispatcher } from "./OrderDispatcher";
import { OrphanHeads } from "./OrphanHeads";
import { PlanningFactsSource, READY_STATES } from "./PlanningFactsSource";
import { PresenceSuspicions } from "./PresenceSuspicions";
import { LOADED_VERSION } from "./planningConfiguration";
import { type ClosingTimes, type EndReason, LEFT_OUTCOMES, ReplicaCloser } from "./ReplicaCloser";
import {
  divideReplicas,
  type EngineService,
  getEngineServices,
  type PlanningTimes,
  ServicePlanner,
} from "./ServicePlanner";

/** Times and limits of replica control, milliseconds. */
export interface ReplicaTimes extends ClosingTimes, PlanningTimes {}

export interface ReplicaControllerOptions {
  readonly driver: ConsensusDriver;
  readonly registry: InstanceRegistry;
  readonly hearing: HeartbeatMonitor;
  readonly orders: InstanceOrders;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Measures how late the timers of this process run. */
  readonly lag: EventLoopLag;
  /** Whether this process was started together with the whole system, for the first time. */
  readonly isFirstStart: boolean;
  readonly getTimes: () => ReplicaTimes;
  readonly getRoutes: () => RouteTable | undefined;
}

/** Minimum interval between two probes of the members of one replica. */
const PROBE_INTERVAL_MS = 1_000;
const PROBE_TIMEOUT_MS = 250;
/**
 * Interval and maximum number of questions for the place of an instance that has left a replica. An answer
 * shows the place of some hundred milliseconds ago.
 */
const PLACE_QUERY_INTERVAL_MS = 120;
const MAX_PLACE_QUERIES = 4;
/** Maximum number of consecutive probes of an instance whose last report is still too recent to suspect it. */
const MAX_PROBES = 4;
/** An instance whose last report is more recent than this counts as present, whatever a probe returns. */
const MIN_REPORT_AGE_MS = 600;
/** A process whose timers run this late cannot tell which instances are unresponsive. */
const MAX_TIMER_LAG_MS = 120;

/** Controls the replicas of one leadership term. */
export class ReplicaController {
  private readonly _options: ReplicaControllerOptions;
  private readonly _planners = new Map<string, ServicePlanner>();
  private readonly _closer: ReplicaCloser;
  private readonly _dispatcher: OrderDispatcher;
  private readonly _facts: PlanningFactsSource;
  private readonly _suspicions = new PresenceSuspicions();
  private readonly _identities: IdentityChecks;
  private readonly _orphanHeads: OrphanHeads;
  private readonly _leaveConfirmations: LeaveConfirmations;
  private readonly _probedAt = new Map<string, number>();
  /** Incarnations that are being asked for their places. */
  private readonly _placeQueries = new Set<IncarnationKey>();
  private _isStepping = false;

  constructor(options: ReplicaControllerOptions) {
    this._options = options;
    const { registry, hearing, driver } = options;
    this._closer = new ReplicaCloser(registry);
    this._identities = new IdentityChecks(options);
    this._orphanHeads = new OrphanHeads(registry, () => driver.machine, hearing.startedAt);
    this._leaveConfirmations = new LeaveConfirmations(registry, () => driver.machine);
    this._dispatcher = new OrderDispatcher({
      ...options,
      term: driver.node.term,
      onEnd: (life) => registry.markEnded(life),
      getLoadLimit: () => this._getLoadLimit(),
    });
    this._facts = new PlanningFactsSource({
      machine: () => driver.machine,
      registry,
      dispatcher: this._dispatcher,
      suspicions: this._suspicions,
      hearing,
    });
  }

  /** Gets a number that increases whenever an instance is suspected, proven to be free or an order completes. */
  get revision(): number {
    return this._suspicions.revision + this._dispatcher.completedCount + this._leaveConfirmations.revision;
  }

  /**
   * Runs the planner once and starts to execute its decisions. Does nothing while an earlier run is in
   * progress.
   * @returns The computing time in milliseconds, without the time spent waiting.
   */
  async step(): Promise<number> {
    if (this._isStepping) return 0;
    this._isStepping = true;
    const { clock } = this._options;
    const startedAt = clock.getMonotonicMs();
    try {
      const actions = this._decide(startedAt);
      const computedMs = clock.getMonotonicMs() - startedAt;
      await Promise.all(actions.map((action) => this._execute(action)));
      return computedMs;
    } finally {
      this._isStepping = false;
    }
  }

  /** Checks whether a replica accepts requests now, according to the reports of its instances. */
  isOpen(now: number, replica: Replica): boolean {
    const head = this._getPlaceState(replica, replica.members[0]!.instanceId);
    if (replica.phase !== ReplicaPhase.SERVING || head !== PlaceState.OPEN) return false;
    return replica.members.every((member) => this._isPresent(now, member.instanceId));
  }

  /**
   * Probes the members of a replica that an entry reported as stalled.
   * @returns Whether probes were sent. `false` if the replica was probed less than 1 s ago or is not serving.
   */
  checkReplica(replicaId: string): boolean {
    const now = this._options.clock.getMonotonicMs();
    const replica = this._options.driver.machine.getReplica(replicaId);
    if (replica?.phase !== ReplicaPhase.SERVING) return false;
    if (now - (this._probedAt.get(replicaId) ?? Number.NEGATIVE_INFINITY) < PROBE_INTERVAL_MS) return false;
    this._probedAt.set(replicaId, now);
    for (const member of replica.members) void this._probeMember(replica, member);
    return true;
  }

  private async _probeMember(replica: Replica, member: OrderReceiver): Promise<void> {
    const { orders, clock, logger, lag } = this._options;
    for (let probe = 0; probe < MAX_PROBES; probe++) {
      const sentAt = clock.getMonotonicMs();
      const outcome = await orders.probe(this._resolveReceiver(member), PROBE_TIMEOUT_MS);
      if (outcome === "present") return;
      const isCertain = outcome === "absent" || lag.getWorstMs() < MAX_TIMER_LAG_MS;
      if (!isCertain) return;
      // The last report is too recent: probe again now instead of after the next suspicion.
      if (this._getUnreportedMs(member.instanceId) < MIN_REPORT_AGE_MS) continue;
      this._suspicions.addSuspicion(sentAt, member.instanceId);
      logger.info({ event: "instance_doubted", instance: member.instanceId, replica: replica.id, outcome });
      return;
    }
  }

  /**
   * Gets the time without a report from an instance in this term. The time before the term began does not
   * count, since this leader received no reports then.
   */
  private _getUnreportedMs(instanceId: string): number {
    const { clock, hearing, registry } = this._options;
    const reportedAt = registry.getInstance(instanceId)?.reportedAt ?? hearing.startedAt;
    return clock.getMonotonicMs() - Math.max(reportedAt, hearing.startedAt);
  }

  private _getReportAgeMs(instanceId: string): number {
    const reportedAt = this._options.registry.getInstance(instanceId)?.reportedAt;
    return this._options.clock.getMonotonicMs() - (reportedAt ?? Number.NEGATIVE_INFINITY);
  }

  private _isPresent(now: number, instanceId: string): boolean {
    const instance = this._options.registry.getInstance(instanceId);
    if (instance === undefined || this._suspicions.isSuspected(instanceId, instance.reportedAt)) return false;
    const unreportedMs = this._options.hearing.getMsWithoutHeartbeat(now, instance.reportedAt);
    return unreportedMs <= this._options.getTimes().presenceMs;
  }

  private _decide(now: number): Action[] {
    const services = this._getEngineServices();
    if (services.length === 0) return [];
    const { driver, getTimes } = this._options;
    const times = getTimes();
    for (const replica of this._orphanHeads.getReplicas()) this._removeOrphanHead(replica);
    const replicas = driver.machine.getReplicas();
    this._identities.checkIncarnations(now);
    this._identities.checkConflicts(
      now,
      replicas.flatMap(({ members }) => members),
      new Set(services.map(({ name }) => name)),
    );
    const retiring = replicas.filter((replica) => replica.phase === ReplicaPhase.RETIRING);
    this._closer.setRetiring(now, retiring, (replica) => replica.reason !== REASON.lost);
    for (const replica of retiring) this._closeReplica(now, replica);
    for (const replica of replicas) this._openIfReady(replica);
    const ended = new Set(
      retiring
        .filter((replica) => this._wasNeverOpened(replica) || this._closer.hasEnded(now, replica, times))
        .map((replica) => replica.id),
    );
    const byService = divideReplicas(services, replicas);
    return services.flatMap((service) =>
      this._getPlanner(service.name).plan(now, service, byService.get(service.name)!, ended, times),
    );
  }

  private _getEngineServices(): EngineService[] {
    return getEngineServices(this._options.getRoutes()?.declaration.services ?? []);
  }

  private _getPlanner(service: string): ServicePlanner {
    let planner = this._planners.get(service);
    if (planner === undefined) {
      planner = new ServicePlanner({ ...this._options, facts: this._facts });
      this._planners.set(service, planner);
    }
    return planner;
  }

  private async _execute(action: Action): Promise<void> {
    switch (action.kind) {
      case "formReplica":
        return this._formReplica(action.group, action.members, action.reason);
      case "loadInstance":
        this._joinInstance(action.replica, action.instance);
        return;
      case "warmInstance":
        void this._dispatcher.sendLoad(getReceiver(action.instance), { kind: "stage", model: action.model });
        return;
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
  ): Promise<void> {
    const models = this._getEngineServices().flatMap((service) => service.engine.models);
    const model = models.find((candidate) => candidate.name.toLowerCase() === groupName);
    if (model === undefined) return;
    const result = await this._options.driver.propose({
      case: "formReplica",
      value: {
        $typeName: "ploverstage.v1.FormReplica",
        group: groupName,
        model: model.name,
        modelVersion: LOADED_VERSION,
        adapters: [],
        members: members.map((member) => ({
          $typeName: "ploverstage.v1.ReplicaMember",
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
    const replica = result?.kind === "changedReplica" ? result.replica.id : "";
    const instances = members.map((member) => member.id);
    const reportedMsAgo = members.map((member) => Math.round(this._getReportAgeMs(member.id)));
    this._options.logger.info({
      event: "replica_formed",
      replica,
      model: model.name,
      instances,
      reported_ms_ago: reportedMsAgo,
      reason,
    });
  }

  private async _moveReplica(replica: Replica, phase: ReplicaPhase, reason: string): Promise<void> {
    await this._options.driver.propose({
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
    if (phase === ReplicaPhase.RELEASED) {
      this._orphanHeads.addRelease(this._options.clock.getMonotonicMs(), replica.id);
    }
    const places = replica.members.map((member) => this._describePlace(replica, member.instanceId));
    this._options.metrics.increment("replica_moves", 1, { phase: ReplicaPhase[phase], reason });
    this._options.logger.info({
      event: "replica_moved",
      replica: replica.id,
      phase: ReplicaPhase[phase],
      reason,
      ground: phase === ReplicaPhase.RELEASED ? this._getReleaseReason(replica) : undefined,
      places,
    });
  }

  private _getReleaseReason(replica: Replica): EndReason | "neverOpened" | undefined {
    if (this._wasNeverOpened(replica)) return "neverOpened";
    const { clock, getTimes } = this._options;
    return this._closer.getEndReason(clock.getMonotonicMs(), replica, getTimes());
  }

  private _describePlace(replica: Replica, instanceId: string): string {
    const now = this._options.clock.getMonotonicMs();
    const instance = this._options.registry.getInstance(instanceId);
    if (instance === undefined) return `${instanceId}: unknown`;
    const state = PlaceState[this._getPlaceState(replica, instanceId) ?? PlaceState.UNSPECIFIED];
    return `${instanceId}: ${state}, reported ${Math.round(now - instance.reportedAt)} ms ago`;
  }

  /**
   * Sends a join order. An instance that may still be in another replica whose head is open has to confirm
   * first that it left it.
   */
  private _joinInstance(replica: Replica, instance: InstanceFacts): void {
    const now = this._options.clock.getMonotonicMs();
    const occupied = this._leaveConfirmations.getOccupiedPlace(now, instance.id, replica);
    if (occupied === undefined) {
      void this._sendJoin(replica, instance);
      return;
    }
    const receiver = getReceiver(instance);
    if (this._placeQueries.has(getIncarnationKey(receiver))) return;
    const hasConfirmed = this._leaveConfirmations.hasConfirmed(instance.id, occupied.epoch);
    void (hasConfirmed ? Promise.resolve(true) : this._leave(receiver, occupied))
      .then((hasLeft) => hasLeft && this._confirmAbsence(receiver, occupied))
      .then((isProven) => {
        const isForming = this._options.driver.machine.getReplica(replica.id)?.phase === ReplicaPhase.FORMING;
        if (isProven && isForming) void this._sendJoin(replica, instance);
      });
  }

  /**
   * Asks an instance that has confirmed its leave for its place, until its answer is recent enough to show
   * that it is in no replica.
   * @returns Whether the answer proves that.
   */
  private async _confirmAbsence(receiver: OrderReceiver, occupied: OccupiedPlace): Promise<boolean> {
    const key = getIncarnationKey(receiver);
    if (this._placeQueries.has(key)) return false;
    this._placeQueries.add(key);
    const { clock, logger } = this._options;
    const startedAt = clock.getMonotonicMs();
    const { isProven, queries, status } = await this._queryPlace(receiver, occupied);
    this._placeQueries.delete(key);
    logger.info({
      event: "leave_checked",
      instance: receiver.instanceId,
      replica: occupied.replicaId,
      proven: isProven,
      queries,
      place: status?.place,
      orders: status?.orderCount,
      took_ms: Math.round(clock.getMonotonicMs() - startedAt),
    });
    return isProven;
  }

  private async _queryPlace(receiver: OrderReceiver, { epoch }: OccupiedPlace) {
    const { clock } = this._options;
    let status: InstanceStatus | undefined;
    for (let queries = 1; queries <= MAX_PLACE_QUERIES; queries++) {
      status = await this._dispatcher.askStatus(receiver, PROBE_TIMEOUT_MS);
      if (status === undefined) return { isProven: false, queries, status };
      const now = clock.getMonotonicMs();
      const isProven = this._leaveConfirmations.addStatus(now, receiver.instanceId, epoch, status);
      if (isProven) return { isProven, queries, status };
      // A delayed order has made an instance that restarted join an older replica.
      if (status.place !== undefined && status.place.epoch < epoch) await this._leave(receiver, status.place);
      await pause(PLACE_QUERY_INTERVAL_MS);
    }
    // The instance is still in the replica, so it is ordered to leave again.
    this._leaveConfirmations.removeLeave(receiver.instanceId);
    return { isProven: false, queries: MAX_PLACE_QUERIES, status };
  }

  private async _sendJoin(replica: Replica, instance: InstanceFacts): Promise<void> {
    const members = replica.members.map((member) => member.instanceId);
    const { id: replicaId, epoch, model } = replica;
    const sentAt = this._options.clock.getMonotonicMs();
    const expectedOrders = this._leaveConfirmations.getOrderCount(sentAt, instance.id);
    const order: InstanceOrder = {
      kind: "join",
      replicaId,
      epoch,
      model,
      members,
      ...(expectedOrders === undefined ? {} : { expectedOrders }),
    };
    const receiver = getReceiver(instance);
    const leftAt = this._leaveConfirmations.getLeftAt(instance.id);
    const outcome = await (instance.model === model
      ? this._dispatcher.send(receiver, order)
      : this._dispatcher.sendLoad(receiver, order));
    if (outcome === "begun") this._leaveConfirmations.addBegunOrder(instance.id);
    // The instance has begun another order since it was in no replica, so it is asked again.
    if (outcome === "unfit") this._leaveConfirmations.removeAbsence(instance.id);
    if (outcome === undefined || leftAt === undefined) return;
    this._options.logger.info({
      event: "join_after_leave",
      instance: instance.id,
      replica: replicaId,
      outcome,
      left_ms_ago: Math.round(sentAt - leftAt),
    });
  }

  /** Opens the head of a serving replica once every member has reported ready in this epoch. */
  private _openIfReady(replica: Replica): void {
    if (replica.phase !== ReplicaPhase.SERVING) return;
    const head = replica.members[0]!;
    if (this._getPlaceState(replica, head.instanceId) !== PlaceState.READY) return;
    const isWhole = replica.members.every((member) => {
      const place = this._getPlaceState(replica, member.instanceId);
      return place !== undefined && READY_STATES.has(place);
    });
    const order: InstanceOrder = { kind: "open", replicaId: replica.id, epoch: replica.epoch };
    if (isWhole) void this._dispatcher.send(this._resolveReceiver(head), order);
  }

  /** A replica that never served never received an order to open. */
  private _wasNeverOpened(replica: Replica): boolean {
    return replica.servedAtIndex === 0;
  }

  private _closeReplica(now: number, replica: Replica): void {
    if (this._wasNeverOpened(replica)) return;
    const isAbsent = (instanceId: string) => !this._isPresent(now, instanceId);
    for (const due of this._closer.getDueOrders(now, replica, this._options.getTimes(), isAbsent)) {
      void this._dispatcher.send(this._resolveReceiver(due.receiver), due.order).then((outcome) => {
        if (outcome === undefined) return;
        const endedAt = this._options.clock.getMonotonicMs();
        this._closer.addOutcome(endedAt, replica, due, outcome);
        if (due.order.kind === "leave") this._addLeave(due.receiver, replica, outcome);
      });
    }
  }

  /**
   * Orders an instance to leave a replica.
   * @returns Whether the instance confirmed that it is no longer in the replica.
   */
  private async _leave(receiver: OrderReceiver, { replicaId, epoch }: OccupiedPlace): Promise<boolean> {
    const outcome = await this._dispatcher.send(receiver, { kind: "leave", replicaId, epoch });
    if (outcome === undefined) return false;
    this._addLeave(receiver, { id: replicaId, epoch }, outcome);
    return LEFT_OUTCOMES.has(outcome);
  }

  /** Orders the head of a released replica to leave again if it rejoined. */
  private _removeOrphanHead(replica: Replica): void {
    void this._leave(this._resolveReceiver(replica.members[0]!), {
      replicaId: replica.id,
      epoch: replica.epoch,
    });
  }

  private _addLeave(
    { instanceId }: OrderReceiver,
    { id, epoch }: Pick<Replica, "id" | "epoch">,
    outcome: OrderOutcome,
  ): void {
    if (!LEFT_OUTCOMES.has(outcome)) return;
    const now = this._options.clock.getMonotonicMs();
    this._leaveConfirmations.addLeave(now, instanceId, epoch);
    this._orphanHeads.addLeave(now, instanceId, id);
  }

  /**
   * Gets the limit on loads. All services load from one store, so the lowest declared limit applies. During
   * the first formation of a single service there is no limit per window; the number of concurrent first
   * loads bounds them instead.
   */
  private _getLoadLimit(): LoadLimit | undefined {
    const planners = [...this._planners.values()];
    if (planners.length === 1 && planners[0]!.isFirstFormation) return undefined;
    const limits = this._getEngineServices().map(({ engine }) =>
      createLoadLimit(engine, this._options.getTimes()),
    );
    return limits.sort((a, b) => a.loads - b.loads)[0];
  }

  /**
   * Gets the current address of an instance, which may have restarted under its id at another address since
   * it was chosen.
   */
  private _resolveReceiver(member: OrderReceiver): OrderReceiver {
    const report = this._options.registry.getInstance(member.instanceId)?.report;
    if (report === undefined) return member;
    const { instanceId, born, address } = report;
    return { instanceId, born, address };
  }

  private _getPlaceState(replica: Replica, instanceId: string): PlaceState | undefined {
    const place = this._options.registry.getInstance(instanceId)?.report.place;
    const isOwn = place?.replicaId === replica.id && place.epoch === replica.epoch;
    return isOwn ? place.state : undefined;
  }
}

function getReceiver({ id, born, address }: InstanceFacts): OrderReceiver {
  return { instanceId: id, born, address };
}
