/**
 * Keeps replicas as the planner wants them: one run of planning a tick, its decisions
 * carried out through the log and by orders to instances.
 *
 * Held only while leading. What it knows of instances are their reports.
 */
import type { Clock, EventLoopLag } from "../clock";
import type { ConsensusDriver } from "../consensus";
import type { RouteTable } from "../declaration";
import { PlaceState } from "../gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { Logger, Metrics } from "../metrics";
import { type Action, type InstanceFacts, REASON } from "../planner";
import type { HeartbeatMonitor } from "./HeartbeatMonitor";
import { IdentityChecks } from "./IdentityChecks";
import type { InstanceOrder, InstanceOrders, OrderOutcome, OrderReceiver } from "./InstanceOrders";
import type { InstanceRegistry } from "./InstanceRegistry";
import { GivenUpPlaces, type HeldPlace } from "./LeaveConfirmations";
import type { LoadLimit } from "./LoadLimiter";
import { createLoadLimit } from "./loadLimits";
import { OrderDispatcher } from "./OrderDispatcher";
import { StrayHeads } from "./OrphanHeads";
import { PlanningFactsSource, READY_STATES } from "./PlanningFactsSource";
import { PresenceSuspicions } from "./PresenceSuspicions";
import { LOADED_VERSION } from "./planningConfiguration";
import { type ClosingTimes, type EndGround, LEFT_OUTCOMES, ReplicaCloser } from "./ReplicaCloser";
import {
  divideReplicas,
  type EngineService,
  getEngineServices,
  type PlanningTimes,
  ServicePlanner,
} from "./ServicePlanner";

/** Times and bounds of the replicas' control, milliseconds. */
export interface ReplicaTimes extends ClosingTimes, PlanningTimes {}

/** What a controller works with. */
export interface ReplicaControllerOptions {
  readonly driver: ConsensusDriver;
  readonly registry: InstanceRegistry;
  readonly hearing: HeartbeatMonitor;
  readonly orders: InstanceOrders;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** How late this process runs. */
  readonly lag: EventLoopLag;
  /** Whether this process was started with the whole system, for the first time. */
  readonly isFirstStart: boolean;
  readonly getTimes: () => ReplicaTimes;
  readonly getRoutes: () => RouteTable | undefined;
}

/** A replica's members are asked for a sign of life no more often than this. */
const PROBE_PAUSE_MS = 1_000;
const PROBE_TIMEOUT_MS = 250;
/** Probes, one after the other, until an instance has been silent for long enough. */
const MAX_PROBES = 4;
/** An instance that reported so lately is there, whatever a probe came to. */
const MIN_SILENCE_MS = 600;
/** A process that runs its timers so late can't tell who is silent. */
const MAX_LAG_MS = 120;

/** Controls the replicas of one term. */
export class ReplicaController {
  private readonly _options: ReplicaControllerOptions;
  private readonly _planners = new Map<string, ServicePlanner>();
  private readonly _closer: ReplicaCloser;
  private readonly _dispatcher: OrderDispatcher;
  private readonly _facts: PlanningFactsSource;
  private readonly _doubts = new PresenceSuspicions();
  private readonly _identities: IdentityChecks;
  private readonly _strays: StrayHeads;
  private readonly _givenUp: GivenUpPlaces;
  private readonly _probedAt = new Map<string, number>();
  private _isStepping = false;

  /**
   * @param options - Driver, registry, orders and times.
   */
  constructor(options: ReplicaControllerOptions) {
    this._options = options;
    const { registry, hearing, driver } = options;
    this._closer = new ReplicaCloser(registry);
    this._identities = new IdentityChecks(options);
    this._strays = new StrayHeads(registry, () => driver.machine, hearing.startedAt);
    this._givenUp = new GivenUpPlaces(registry, () => driver.machine);
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
      doubts: this._doubts,
      hearing,
    });
  }

  /** Gets a number that rises whenever an instance was taken for lost or an order was answered. */
  get revision(): number {
    return this._doubts.revision + this._dispatcher.answerCount;
  }

  /**
   * Plans once and begins what was decided; a run while another goes on does nothing.
   * @returns How long it computed, milliseconds, without what it waited for.
   */
  async step(): Promise<number> {
    if (this._isStepping) return 0;
    this._isStepping = true;
    const { clock } = this._options;
    const startedAt = clock.getMonotonicMs();
    try {
      const actions = this._decide(startedAt);
      const computedMs = clock.getMonotonicMs() - startedAt;
      await Promise.all(actions.map((action) => this._act(action)));
      return computedMs;
    } finally {
      this._isStepping = false;
    }
  }

  /** Checks whether a replica takes requests now, as far as its instances say. */
  isOpen(now: number, replica: Replica): boolean {
    const head = this._getPlace(replica, replica.members[0]!.instanceId);
    if (replica.phase !== ReplicaPhase.SERVING || head !== PlaceState.OPEN) return false;
    return replica.members.every((member) => this._isPresent(now, member.instanceId));
  }

  /**
   * Asks the members of a replica that an entry saw stand still for a sign of life.
   * @returns Whether they are asked now; not so if they were a moment ago.
   */
  checkReplica(replicaId: string): boolean {
    const now = this._options.clock.getMonotonicMs();
    const replica = this._options.driver.machine.getReplica(replicaId);
    if (replica?.phase !== ReplicaPhase.SERVING) return false;
    if (now - (this._probedAt.get(replicaId) ?? Number.NEGATIVE_INFINITY) < PROBE_PAUSE_MS) return false;
    this._probedAt.set(replicaId, now);
    for (const member of replica.members) void this._probeMember(replica, member);
    return true;
  }

  private async _probeMember(replica: Replica, member: OrderReceiver): Promise<void> {
    const { orders, clock, logger, lag } = this._options;
    for (let probe = 0; probe < MAX_PROBES; probe++) {
      const sentAt = clock.getMonotonicMs();
      const outcome = await orders.probe(this._locate(member), PROBE_TIMEOUT_MS);
      if (outcome === "present") return;
      const isCertain = outcome === "absent" || lag.getWorstMs() < MAX_LAG_MS;
      if (!isCertain) return;
      // Too soon after its last report: it is asked once more instead of after the next suspicion.
      if (this._getUnheardMs(member.instanceId) < MIN_SILENCE_MS) continue;
      this._doubts.addSuspicion(sentAt, member.instanceId);
      logger.info({ event: "instance_doubted", instance: member.instanceId, replica: replica.id, outcome });
      return;
    }
  }

  /** Nobody can have been heard before the term began. */
  private _getUnheardMs(instanceId: string): number {
    const { clock, hearing, registry } = this._options;
    const heardAt = registry.getInstance(instanceId)?.reportedAt ?? hearing.startedAt;
    return clock.getMonotonicMs() - Math.max(heardAt, hearing.startedAt);
  }

  private _getSilentMs(instanceId: string): number {
    const reportedAt = this._options.registry.getInstance(instanceId)?.reportedAt;
    return this._options.clock.getMonotonicMs() - (reportedAt ?? Number.NEGATIVE_INFINITY);
  }

  private _isPresent(now: number, instanceId: string): boolean {
    const instance = this._options.registry.getInstance(instanceId);
    if (instance === undefined || this._doubts.isSuspected(instanceId, instance.reportedAt)) return false;
    const silentMs = this._options.hearing.getMsWithoutHeartbeat(now, instance.reportedAt);
    return silentMs <= this._options.getTimes().presenceMs;
  }

  private _decide(now: number): Action[] {
    const services = this._getEngineServices();
    if (services.length === 0) return [];
    const { driver, getTimes } = this._options;
    const times = getTimes();
    for (const replica of this._strays.getReplicas()) this._expelHead(replica);
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
    const over = new Set(
      retiring
        .filter((replica) => this._wasNeverOpened(replica) || this._closer.hasEnded(now, replica, times))
        .map((replica) => replica.id),
    );
    const byService = divideReplicas(services, replicas);
    return services.flatMap((service) =>
      this._getPlanner(service.name).plan(now, service, byService.get(service.name)!, over, times),
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

  private async _act(action: Action): Promise<void> {
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
    const reportedMsAgo = members.map((member) => Math.round(this._getSilentMs(member.id)));
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
      this._strays.addRelease(this._options.clock.getMonotonicMs(), replica.id);
    }
    const places = replica.members.map((member) => this._describePlace(replica, member.instanceId));
    this._options.metrics.increment("replica_moves", 1, { phase: ReplicaPhase[phase], reason });
    this._options.logger.info({
      event: "replica_moved",
      replica: replica.id,
      phase: ReplicaPhase[phase],
      reason,
      ground: phase === ReplicaPhase.RELEASED ? this._describeGround(replica) : undefined,
      places,
    });
  }

  private _describeGround(replica: Replica): EndGround | "neverOpened" | undefined {
    if (this._wasNeverOpened(replica)) return "neverOpened";
    const { clock, getTimes } = this._options;
    return this._closer.getEndReason(clock.getMonotonicMs(), replica, getTimes());
  }

  private _describePlace(replica: Replica, instanceId: string): string {
    const now = this._options.clock.getMonotonicMs();
    const instance = this._options.registry.getInstance(instanceId);
    if (instance === undefined) return `${instanceId}: unknown`;
    const state = PlaceState[this._getPlace(replica, instanceId) ?? PlaceState.UNSPECIFIED];
    return `${instanceId}: ${state}, reported ${Math.round(now - instance.reportedAt)} ms ago`;
  }

  /** Whoever may still be in a replica whose head takes requests answers first that it has left it. */
  private _joinInstance(replica: Replica, instance: InstanceFacts): void {
    const held = this._givenUp.getHeldPlace(instance.id, replica);
    if (held === undefined) {
      void this._sendJoin(replica, instance);
      return;
    }
    void this._leave(getReceiver(instance), held).then((hasLeft) => {
      const isWanted = this._options.driver.machine.getReplica(replica.id)?.phase === ReplicaPhase.FORMING;
      if (hasLeft && isWanted) void this._sendJoin(replica, instance);
    });
  }

  private async _sendJoin(replica: Replica, instance: InstanceFacts): Promise<void> {
    const members = replica.members.map((member) => member.instanceId);
    const { id: replicaId, epoch, model } = replica;
    const order: InstanceOrder = { kind: "join", replicaId, epoch, model, members };
    const receiver = getReceiver(instance);
    const leftAt = this._givenUp.getAnsweredAt(instance.id);
    const sentAt = this._options.clock.getMonotonicMs();
    const outcome = await (instance.model === model
      ? this._dispatcher.send(receiver, order)
      : this._dispatcher.sendLoad(receiver, order));
    if (outcome === undefined || leftAt === undefined) return;
    this._options.logger.info({
      event: "join_after_leave",
      instance: instance.id,
      replica: replicaId,
      outcome,
      left_ms_ago: Math.round(sentAt - leftAt),
    });
  }

  /** The head is opened only after every member was seen ready in this epoch. */
  private _openIfReady(replica: Replica): void {
    if (replica.phase !== ReplicaPhase.SERVING) return;
    const head = replica.members[0]!;
    if (this._getPlace(replica, head.instanceId) !== PlaceState.READY) return;
    const isWhole = replica.members.every((member) => {
      const place = this._getPlace(replica, member.instanceId);
      return place !== undefined && READY_STATES.has(place);
    });
    const order: InstanceOrder = { kind: "open", replicaId: replica.id, epoch: replica.epoch };
    if (isWhole) void this._dispatcher.send(this._locate(head), order);
  }

  /** A replica that never served was never ordered to open. */
  private _wasNeverOpened(replica: Replica): boolean {
    return replica.servedAtIndex === 0;
  }

  private _closeReplica(now: number, replica: Replica): void {
    if (this._wasNeverOpened(replica)) return;
    const isSilent = (instanceId: string) => !this._isPresent(now, instanceId);
    for (const due of this._closer.getDueOrders(now, replica, this._options.getTimes(), isSilent)) {
      void this._dispatcher.send(this._locate(due.receiver), due.order).then((outcome) => {
        if (outcome === undefined) return;
        const endedAt = this._options.clock.getMonotonicMs();
        this._closer.addOutcome(endedAt, replica, due, outcome);
        if (due.order.kind === "leave") this._noteLeave(due.receiver, replica, outcome);
      });
    }
  }

  /**
   * Has an instance leave a replica.
   * @returns Whether it answered that it is out of it.
   */
  private async _leave(receiver: OrderReceiver, { replicaId, epoch }: HeldPlace): Promise<boolean> {
    const outcome = await this._dispatcher.send(receiver, { kind: "leave", replicaId, epoch });
    if (outcome === undefined) return false;
    this._noteLeave(receiver, { id: replicaId, epoch }, outcome);
    return LEFT_OUTCOMES.has(outcome);
  }

  /** A head that is in a released replica again has to leave it again. */
  private _expelHead(replica: Replica): void {
    void this._leave(this._locate(replica.members[0]!), { replicaId: replica.id, epoch: replica.epoch });
  }

  private _noteLeave(
    { instanceId }: OrderReceiver,
    { id, epoch }: Pick<Replica, "id" | "epoch">,
    outcome: OrderOutcome,
  ): void {
    if (!LEFT_OUTCOMES.has(outcome)) return;
    const now = this._options.clock.getMonotonicMs();
    this._givenUp.addLeave(now, instanceId, epoch);
    this._strays.addLeave(now, instanceId, id);
  }

  /**
   * All services load from one store: it bears what the strictest of them declares. Only a
   * service that has it for itself bounds its first loads by their number at a time.
   */
  private _getLoadLimit(): LoadLimit | undefined {
    const planners = [...this._planners.values()];
    if (planners.length === 1 && planners[0]!.isFirstFormation) return undefined;
    const limits = this._getEngineServices().map(({ engine }) =>
      createLoadLimit(engine, this._options.getTimes()),
    );
    return limits.sort((a, b) => a.loads - b.loads)[0];
  }

  /** An instance that started again under its id may listen elsewhere than when it was chosen. */
  private _locate(member: OrderReceiver): OrderReceiver {
    const report = this._options.registry.getInstance(member.instanceId)?.report;
    if (report === undefined) return member;
    const { instanceId, born, address } = report;
    return { instanceId, born, address };
  }

  private _getPlace(replica: Replica, instanceId: string): PlaceState | undefined {
    const place = this._options.registry.getInstance(instanceId)?.report.place;
    const isOwn = place?.replicaId === replica.id && place.epoch === replica.epoch;
    return isOwn ? place.state : undefined;
  }
}

function getReceiver({ id, born, address }: InstanceFacts): OrderReceiver {
  return { instanceId: id, born, address };
}
