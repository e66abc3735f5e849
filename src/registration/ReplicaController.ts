/**
 * Keeps replicas as the planner wants them: one run of planning a tick, its decisions
 * carried out through the log and by orders to instances.
 *
 * Held only while leading. What it knows of instances are their reports.
 */
import type { Clock, LoopLag } from "../clock";
import type { ConsensusDriver } from "../consensus";
import type { DeclaredService, EngineProfile, RouteTable } from "../declaration";
import { PlaceState } from "../gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { InstanceId } from "../ids";
import type { Logger } from "../metrics";
import {
  type Action,
  ImmediateRepair,
  type InstanceFacts,
  Planner,
  type PlanningConfiguration,
  type PlanningFacts,
  REASON,
} from "../planner";
import type { InstanceOrder, InstanceOrders, OrderOutcome, OrderReceiver } from "./InstanceOrders";
import type { InstanceRegistry, RegisteredInstance } from "./InstanceRegistry";
import { LoadLimiter } from "./LoadLimiter";
import { PresenceDoubts } from "./PresenceDoubts";
import { type ClosingTimes, ReplicaCloser } from "./ReplicaCloser";
import { sizeGroups } from "./sizeGroups";

/** Times and bounds of the replicas' control, milliseconds. */
export interface ReplicaTimes extends ClosingTimes {
  /** An instance silent for so long is absent. */
  readonly presenceMs: number;
  /** Window of the weight store's limit on loads, and how far it may be overrun. */
  readonly loadWindowMs: number;
  readonly loadOverrun: number;
  /** Instances kept free in each fabric domain for repairs. */
  readonly reserve: number;
}

/** What a controller works with. */
export interface ReplicaControllerOptions {
  readonly driver: ConsensusDriver;
  readonly registry: InstanceRegistry;
  readonly orders: InstanceOrders;
  readonly clock: Clock;
  readonly logger: Logger;
  /** How late this process runs. */
  readonly lag: LoopLag;
  readonly getTimes: () => ReplicaTimes;
  readonly getRoutes: () => RouteTable | undefined;
}

/** An order without a clear answer is sent again after this time. */
const RESEND_MS = 700;
/** A load ordered ahead of need is taken as held from its order on, for so long at most. */
const STAGING_MS = 40_000;
const NEVER = Number.NEGATIVE_INFINITY;
const LOADED_VERSION = "1";
/** Some loads more than run at full speed, so that the weight store is not idle between two. */
const LOAD_OVERLAP = 4 / 3;
/** A replica's members are asked for a sign of life no more often than this. */
const PROBE_PAUSE_MS = 1_000;
const PROBE_TIMEOUT_MS = 400;
/** An instance that reported so lately is there, whatever a probe came to. */
const MIN_SILENCE_MS = 900;
/** A process that runs its timers so late can't tell who is silent. */
const MAX_LAG_MS = 120;
const READY_STATES: ReadonlySet<PlaceState> = new Set([PlaceState.READY, PlaceState.OPEN]);

interface Staging {
  readonly model: string;
  readonly until: number;
}

/** Controls the replicas of one term. */
export class ReplicaController {
  private readonly _options: ReplicaControllerOptions;
  private readonly _planner = new Planner(new ImmediateRepair(true));
  private readonly _closer: ReplicaCloser;
  private readonly _limiter = new LoadLimiter();
  /** When an order of this content was sent to this instance last. */
  private readonly _sentAt = new Map<string, number>();
  private readonly _busy = new Set<string>();
  private readonly _staging = new Map<string, Staging>();
  private readonly _doubts = new PresenceDoubts();
  private readonly _probedAt = new Map<string, number>();
  private readonly _startedAt: number;
  private _sizing = "";
  private _isStepping = false;

  /**
   * @param options - Driver, registry, orders and times.
   */
  constructor(options: ReplicaControllerOptions) {
    this._options = options;
    this._startedAt = options.clock.getMonotonicMs();
    this._closer = new ReplicaCloser(options.registry);
  }

  /** Plans once and begins what was decided; a run while another goes on does nothing. */
  async step(): Promise<void> {
    if (this._isStepping) return;
    this._isStepping = true;
    try {
      await this._step(this._options.clock.getMonotonicMs());
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

  /** Asks the members of a replica that an entry saw stand still for a sign of life. */
  checkReplica(replicaId: string): void {
    const now = this._options.clock.getMonotonicMs();
    const replica = this._options.driver.machine.getReplica(replicaId);
    if (replica?.phase !== ReplicaPhase.SERVING) return;
    if (now - (this._probedAt.get(replicaId) ?? Number.NEGATIVE_INFINITY) < PROBE_PAUSE_MS) return;
    this._probedAt.set(replicaId, now);
    for (const member of replica.members) void this._probeMember(replica, member);
  }

  private async _probeMember(replica: Replica, member: OrderReceiver): Promise<void> {
    const { orders, clock, logger } = this._options;
    const sentAt = clock.getMonotonicMs();
    const outcome = await orders.probe(member, PROBE_TIMEOUT_MS);
    if (outcome === "present") return;
    const reportedAt = this._options.registry.getInstance(member.instanceId)?.reportedAt;
    const silentMs = clock.getMonotonicMs() - (reportedAt ?? Number.NEGATIVE_INFINITY);
    const isCertain = outcome === "absent" || this._options.lag.getWorstMs() < MAX_LAG_MS;
    if (!isCertain || silentMs < MIN_SILENCE_MS) return;
    this._doubts.addDoubt(sentAt, member.instanceId);
    logger.info({ event: "instance_doubted", instance: member.instanceId, replica: replica.id, outcome });
  }

  private _isPresent(now: number, instanceId: string): boolean {
    const instance = this._options.registry.getInstance(instanceId);
    if (instance === undefined || this._doubts.isDoubted(instanceId, instance.reportedAt)) return false;
    return now - instance.reportedAt <= this._options.getTimes().presenceMs;
  }

  private async _step(now: number): Promise<void> {
    const service = this._getEngineService();
    if (service?.engine === undefined) return;
    const { driver, getTimes } = this._options;
    const times = getTimes();
    const replicas = driver.machine.getReplicas();
    const retiring = replicas.filter((replica) => replica.phase === ReplicaPhase.RETIRING);
    this._closer.setRetiring(now, retiring, (replica) => replica.reason !== REASON.lost);
    for (const replica of retiring) this._closeReplica(now, replica);
    for (const replica of replicas) this._openIfReady(now, replica);
    const over = new Set(
      retiring
        .filter((replica) => this._wasNeverOpened(replica) || this._closer.isOver(now, replica, times))
        .map((replica) => replica.id),
    );
    const facts = this._createFacts(now, service, replicas, over);
    const actions = this._planner.plan(now, facts, this._createConfiguration(now, service.engine, facts));
    await Promise.all(actions.map((action) => this._act(now, action)));
  }

  /** One service of a declaration has engines whose instances form replicas. */
  private _getEngineService(): DeclaredService | undefined {
    return this._options.getRoutes()?.declaration.services.find((service) => service.engine !== undefined);
  }

  private _createFacts(
    now: number,
    service: DeclaredService,
    replicas: readonly Replica[],
    over: ReadonlySet<string>,
  ): PlanningFacts {
    const instances = this._options.registry
      .getInstances()
      .filter((instance) => instance.report.service === service.name)
      .map((instance) => this._createInstanceFacts(now, instance, replicas));
    instances.push(...this._createUnheardFacts(replicas));
    return {
      instances,
      replicas,
      isClear: true,
      retiredInForce: over,
      drained: over,
      inFlight: new Map(),
      absences: [],
    };
  }

  /**
   * Members that have not reported in this term are taken for there, as they were agreed
   * on, until they have been silent for as long as any other.
   */
  private _createUnheardFacts(replicas: readonly Replica[]): InstanceFacts[] {
    const { registry, driver } = this._options;
    return replicas.flatMap((replica) => {
      const unheard = replica.members.filter((member) => {
        const { instanceId } = member;
        return registry.getInstance(instanceId) === undefined && !registry.isGone(instanceId);
      });
      return unheard.map((member) => ({
        id: InstanceId(member.instanceId),
        address: member.address,
        failureDomain: member.failureDomain,
        fabricDomain: replica.fabricDomain,
        isLeaving: driver.machine.hasDeparted(member.instanceId),
        checksOrders: true,
        answeredAt: this._doubts.isDoubted(member.instanceId, this._startedAt) ? NEVER : this._startedAt,
        epoch: replica.epoch,
        // Only what served was seen whole.
        isReady: replica.phase === ReplicaPhase.SERVING,
        model: replica.model,
        modelVersion: LOADED_VERSION,
        isLoading: true,
        losses: [],
      }));
    });
  }

  private _createInstanceFacts(
    now: number,
    { report, reportedAt }: RegisteredInstance,
    replicas: readonly Replica[],
  ): InstanceFacts {
    const { instanceId, place } = report;
    const staging = this._staging.get(instanceId);
    const isStaging =
      staging !== undefined && staging.until > now && !report.stagedModels.includes(staging.model);
    const model = report.stagedModels[0] ?? "";
    const isJoining =
      place?.state === PlaceState.JOINING && replicas.some((replica) => replica.id === place.replicaId);
    return {
      id: InstanceId(instanceId),
      address: report.address,
      failureDomain: report.failureDomain,
      fabricDomain: report.fabricDomain,
      isLeaving: report.leaving || this._options.driver.machine.hasDeparted(instanceId),
      checksOrders: true,
      answeredAt: this._doubts.isDoubted(instanceId, reportedAt) ? NEVER : reportedAt,
      epoch: place?.epoch ?? 0,
      isReady: place !== undefined && READY_STATES.has(place.state),
      model,
      modelVersion: model === "" ? "" : LOADED_VERSION,
      isLoading: this._busy.has(instanceId) || isJoining || isStaging,
      stagingModel: isStaging ? staging.model : undefined,
      losses: [],
    };
  }

  private _createConfiguration(
    now: number,
    engine: EngineProfile,
    facts: PlanningFacts,
  ): PlanningConfiguration {
    const { presenceMs, reserve } = this._options.getTimes();
    const instancesByDomain = new Map<string, number>();
    for (const instance of facts.instances) {
      if (instance.isLeaving || now - instance.answeredAt > presenceMs) continue;
      const count = instancesByDomain.get(instance.fabricDomain) ?? 0;
      instancesByDomain.set(instance.fabricDomain, count + 1);
    }
    const servingByModel = new Map<string, number>();
    for (const replica of facts.replicas) {
      if (replica.phase === ReplicaPhase.RETIRING) continue;
      servingByModel.set(replica.model, (servingByModel.get(replica.model) ?? 0) + 1);
    }
    const warmModels = getWarmModels(now, engine, facts, presenceMs);
    const { groups, modelByDomain } = sizeGroups({
      engine,
      presentModels: getPresentModels(facts.replicas),
      instancesByDomain,
      reserve,
      servingByModel,
      warmModels,
    });
    this._logSizing({
      replicas: Object.fromEntries(groups.map((group) => [group.model, group.replicas])),
      instances: Object.fromEntries(instancesByDomain),
      models: Object.fromEntries(modelByDomain),
    });
    return {
      models: engine.models.map((model) => ({
        name: model.name,
        version: LOADED_VERSION,
        adapters: [],
        load: model.loadMs,
        acceleratorsPerInstance: 1,
      })),
      // Instances come and go: a replica that serves is kept although fewer are wanted now.
      groups: groups.map((group) => ({
        ...group,
        replicas: Math.max(group.replicas, servingByModel.get(group.model) ?? 0),
      })),
      planning: { reserve: 0, maxWait: 1, flapLosses: Number.MAX_SAFE_INTEGER, flapWindow: 1 },
      weightStore: { concurrentLoads: Math.ceil(engine.concurrentLoads * LOAD_OVERLAP) },
      timing: { presenceWindow: presenceMs, lease: 0 },
      stagesFirst: true,
      modelByDomain,
    };
  }

  /** One line for each change of what is wanted. */
  private _logSizing(sizing: object): void {
    const text = JSON.stringify(sizing);
    if (text === this._sizing) return;
    this._sizing = text;
    this._options.logger.info({ event: "groups_sized", ...sizing });
  }

  private async _act(now: number, action: Action): Promise<void> {
    switch (action.kind) {
      case "formReplica":
        return this._formReplica(action.group, action.members, action.reason);
      case "loadInstance":
        return this._joinInstance(now, action.replica, action.instance);
      case "warmInstance":
        // Its answer may take long, and nothing else waits for it.
        void this._stageInstance(now, action.instance, action.model);
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
    const models = this._getEngineService()?.engine?.models ?? [];
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
    this._options.logger.info({ event: "replica_formed", replica, model: model.name, instances, reason });
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
    const places = replica.members.map((member) => this._describePlace(replica, member.instanceId));
    this._options.logger.info({
      event: "replica_moved",
      replica: replica.id,
      phase: ReplicaPhase[phase],
      reason,
      places,
    });
  }

  private _describePlace(replica: Replica, instanceId: string): string {
    const now = this._options.clock.getMonotonicMs();
    const instance = this._options.registry.getInstance(instanceId);
    if (instance === undefined) return `${instanceId}: unknown`;
    const state = PlaceState[this._getPlace(replica, instanceId) ?? PlaceState.UNSPECIFIED];
    return `${instanceId}: ${state}, reported ${Math.round(now - instance.reportedAt)} ms ago`;
  }

  private async _joinInstance(now: number, replica: Replica, instance: InstanceFacts): Promise<void> {
    const members = replica.members.map((member) => member.instanceId);
    const { id: replicaId, epoch, model } = replica;
    const isHeld = instance.model === model;
    const order: InstanceOrder = { kind: "join", replicaId, epoch, model, members };
    if (!this._isDue(now, instance.id, order)) return;
    if (!isHeld && !this._takeLoad(now)) return;
    this._sendLater({ instanceId: instance.id, address: instance.address }, order);
  }

  private async _stageInstance(now: number, instance: InstanceFacts, model: string): Promise<void> {
    const order: InstanceOrder = { kind: "stage", model };
    if (!this._isDue(now, instance.id, order) || !this._takeLoad(now)) return;
    this._staging.set(instance.id, { model, until: now + STAGING_MS });
    const outcome = await this._send({ instanceId: instance.id, address: instance.address }, order);
    if (outcome !== "begun" && outcome !== "done") this._staging.delete(instance.id);
  }

  /** The head is opened only after every member was seen ready in this epoch. */
  private _openIfReady(now: number, replica: Replica): void {
    if (replica.phase !== ReplicaPhase.SERVING) return;
    const head = replica.members[0]!;
    if (this._getPlace(replica, head.instanceId) !== PlaceState.READY) return;
    const isWhole = replica.members.every((member) => {
      const place = this._getPlace(replica, member.instanceId);
      return place !== undefined && READY_STATES.has(place);
    });
    const order: InstanceOrder = { kind: "open", replicaId: replica.id, epoch: replica.epoch };
    if (isWhole && this._isDue(now, head.instanceId, order)) this._sendLater(head, order);
  }

  /** A replica that never served was never ordered to open. */
  private _wasNeverOpened(replica: Replica): boolean {
    return replica.servedAtIndex === 0;
  }

  private _closeReplica(now: number, replica: Replica): void {
    if (this._wasNeverOpened(replica)) return;
    const due = this._closer.getDueOrder(now, replica, this._options.getTimes());
    if (due === undefined || !this._isDue(now, due.receiver.instanceId, due.order)) return;
    void this._send(due.receiver, due.order).then((outcome) =>
      this._closer.addOutcome(this._options.clock.getMonotonicMs(), replica, due, outcome),
    );
  }

  private _getPlace(replica: Replica, instanceId: string): PlaceState | undefined {
    const place = this._options.registry.getInstance(instanceId)?.report.place;
    const isOwn = place?.replicaId === replica.id && place.epoch === replica.epoch;
    return isOwn ? place.state : undefined;
  }

  private _isDue(now: number, instanceId: string, order: InstanceOrder): boolean {
    if (this._busy.has(instanceId)) return false;
    return now - (this._sentAt.get(getOrderKey(instanceId, order)) ?? Number.NEGATIVE_INFINITY) >= RESEND_MS;
  }

  private _takeLoad(now: number): boolean {
    const { loadWindowMs, loadOverrun } = this._options.getTimes();
    const perSecond = this._getEngineService()?.engine?.loadsPerSecond ?? 0;
    const loads = Math.max(1, Math.floor((perSecond * loadWindowMs * loadOverrun) / 1_000));
    return this._limiter.takeLoad(now, { loads, windowMs: loadWindowMs });
  }

  private _sendLater(receiver: OrderReceiver, order: InstanceOrder): void {
    void this._send(receiver, order);
  }

  private async _send(receiver: OrderReceiver, order: InstanceOrder): Promise<OrderOutcome> {
    const { clock, orders, logger } = this._options;
    this._busy.add(receiver.instanceId);
    const sentAt = clock.getMonotonicMs();
    this._sentAt.set(getOrderKey(receiver.instanceId, order), sentAt);
    const outcome = await orders.send(receiver, order);
    this._busy.delete(receiver.instanceId);
    const tookMs = Math.round(clock.getMonotonicMs() - sentAt);
    logger.info({ event: "order_sent", instance: receiver.instanceId, order, outcome, took_ms: tookMs });
    return outcome;
  }
}

/** Gets the model of most replicas in each fabric domain that are not retiring. */
function getPresentModels(replicas: readonly Replica[]): Map<string, string> {
  const counts = new Map<string, Map<string, number>>();
  for (const { fabricDomain, model, phase } of replicas) {
    if (phase === ReplicaPhase.RETIRING) continue;
    const models = counts.get(fabricDomain) ?? new Map<string, number>();
    counts.set(fabricDomain, models.set(model, (models.get(model) ?? 0) + 1));
  }
  const getMost = (models: ReadonlyMap<string, number>) => [...models].sort((a, b) => b[1] - a[1])[0]![0];
  return new Map([...counts].map(([domain, models]) => [domain, getMost(models)]));
}

/** Gets models that enough free instances of one fabric domain hold. */
function getWarmModels(
  now: number,
  engine: EngineProfile,
  facts: PlanningFacts,
  presenceMs: number,
): Set<string> {
  const held = new Set(
    facts.replicas.flatMap((replica) => replica.members.map((member) => member.instanceId)),
  );
  const counts = new Map<string, number>();
  for (const instance of facts.instances) {
    const isAway = now - instance.answeredAt > presenceMs || instance.isLeaving || instance.isLoading;
    if (held.has(instance.id) || isAway) continue;
    const key = `${instance.fabricDomain}/${instance.model}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const sizes = new Map(engine.models.map((model) => [model.name, model.instancesPerReplica]));
  const warm = [...counts]
    .map(([key, count]) => ({ model: key.slice(key.indexOf("/") + 1), count }))
    .filter(({ model, count }) => count >= (sizes.get(model) ?? Number.POSITIVE_INFINITY));
  return new Set(warm.map(({ model }) => model));
}

function getOrderKey(instanceId: string, order: InstanceOrder): string {
  const about = order.kind === "stage" ? order.model : `${order.replicaId}/${order.epoch}`;
  return `${instanceId}/${order.kind}/${about}`;
}
