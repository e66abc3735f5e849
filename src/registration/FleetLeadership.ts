/** Everything that a control process with registered instances holds only while it leads. */

import { create } from "@bufbuild/protobuf";
import type { Clock, LoopLag } from "../clock";
import { type ConsensusDriver, getVoters } from "../consensus";
import type { RouteTable } from "../declaration";
import {
  type InstanceReport,
  PlaceState,
  type ReportRequest,
  type Suspicion,
  type Target,
  TargetSchema,
} from "../gen/ploverstage/v1/fleet_pb";
import {
  type CrashRecord,
  InstanceLifeSchema,
  type Replica,
  ReplicaPhase,
} from "../gen/ploverstage/v1/state_pb";
import { getLifeKey, type Life } from "../ids";
import type { Logger, Metrics, WorkMeter } from "../metrics";
import { CommittedFacts } from "./CommittedFacts";
import { CrashRegistry } from "./CrashRegistry";
import { type EntryRoster, sortEntries } from "./EntryRoster";
import { FleetView } from "./FleetView";
import { HeartbeatMonitor } from "./HeartbeatMonitor";
import type { InstanceOrders } from "./InstanceOrders";
import {
  type AddressConflict,
  type IncarnationEndReason,
  InstanceRegistry,
  type RegisteredInstance,
} from "./InstanceRegistry";
import { PlanningSchedule } from "./PlanningSchedule";
import { RelayRoster } from "./RelayRoster";
import { ReplicaController, type ReplicaTimes } from "./ReplicaController";

/** What a leadership works with. */
export interface FleetLeadershipOptions {
  readonly driver: ConsensusDriver;
  readonly orders: InstanceOrders;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly meter: WorkMeter;
  /** How late this process runs. */
  readonly lag: LoopLag;
  /** Whether this process was started with the whole system, for the first time. */
  readonly isFirstStart: boolean;
  readonly getTimes: () => ReplicaTimes;
  readonly getRoutes: () => RouteTable | undefined;
  /** The entries that watch this process. */
  readonly entries: EntryRoster;
  /** Called when watchers may be told something, and when the term ends. */
  readonly onChange: () => void;
}

/** How often it is asked whether planning is due. */
const STEP_MS = 20;
/** A plain service's instance stays a target that long after its last report: entries find out sooner. */
const SILENT_TARGET_MS = 20_000;

/** One term of leadership at work. */
export class FleetLeadership {
  /** The term that it belongs to. */
  readonly term: number;
  /** What watchers are told. */
  readonly view = new FleetView();
  private readonly _options: FleetLeadershipOptions;
  private readonly _registry: InstanceRegistry;
  private readonly _controller: ReplicaController;
  private readonly _agreed: CommittedFacts;
  private readonly _relays = new RelayRoster();
  private readonly _crashes: CrashRegistry;
  private readonly _pace: PlanningSchedule;
  private readonly _hearing: HeartbeatMonitor;
  private _timer: NodeJS.Timeout | undefined;
  private _isEnded = false;

  /**
   * @param options - Driver, orders, clock and times.
   */
  constructor(options: FleetLeadershipOptions) {
    this._options = options;
    this._agreed = new CommittedFacts(() => options.driver.machine);
    this.term = options.driver.node.term;
    const now = options.clock.getMonotonicMs();
    this._hearing = new HeartbeatMonitor(now);
    this._pace = new PlanningSchedule(now);
    this._crashes = new CrashRegistry(options);
    const listener = {
      onConflict: (conflict: AddressConflict) => this._logConflict(conflict),
      onEnd: (life: Life, ground: IncarnationEndReason) => this._logEnd(life, ground),
    };
    this._registry = new InstanceRegistry(listener, (instanceId) => this._getAgreedBorn(instanceId));
    this._controller = new ReplicaController({
      ...options,
      registry: this._registry,
      hearing: this._hearing,
    });
  }

  /** Gets whether the term is over. */
  get isEnded(): boolean {
    return this._isEnded;
  }

  /** Starts planning and publishing. */
  start(): void {
    this._publish();
    this._timer = setInterval(() => void this._step(), STEP_MS);
  }

  /** Ends planning and publishing. */
  end(): void {
    this._isEnded = true;
    clearInterval(this._timer);
    this._options.onChange();
  }

  /** Takes reports of instances over; resolves once departures among them are agreed. */
  async addReports(reports: readonly InstanceReport[]): Promise<void> {
    const now = this._options.clock.getMonotonicMs();
    const { machine } = this._options.driver;
    const departing: Life[] = [];
    this._options.meter.measure("reports", reports.length, () => {
      for (const report of reports) {
        if (report.deregistered || report.leaving) departing.push(this._getLeavingLife(report));
        if (report.deregistered) continue;
        this._addReport(now, report);
      }
    });
    const lives = departing.filter((life) => !machine.hasDeparted(life));
    if (lives.length === 0) return;
    await this._options.driver.propose({
      case: "recordDepartures",
      value: {
        $typeName: "ploverstage.v1.RecordDepartures",
        lives: lives.map((life) => create(InstanceLifeSchema, life)),
        atMs: this._options.clock.getWallMs(),
      },
    });
    this._options.logger.info({ event: "departures_recorded", instances: lives.map(getLifeKey) });
    this._publish();
  }

  /** Who deregisters may give nothing but its id: it is the life that is known under it. */
  private _getLeavingLife({ instanceId, born }: InstanceReport): Life {
    const knownBorn = this._registry.getInstance(instanceId)?.report.born ?? 0;
    return { instanceId, born: born === 0 ? knownBorn : born };
  }

  /** An older life may be heard first in a term: what was agreed tells that a newer one has begun. */
  private _getAgreedBorn(instanceId: string): number {
    const replicas = this._options.driver.machine.getReplicas();
    const lives = replicas.flatMap(({ members }) =>
      members.filter((member) => member.instanceId === instanceId),
    );
    return Math.max(0, ...lives.map(({ born }) => born));
  }

  private _logEnd({ instanceId, born }: Life, ground: IncarnationEndReason): void {
    this._options.metrics.increment("instance_lives_ended", 1, { ground });
    this._options.logger.info({ event: "life_ended", instance: instanceId, born, ground });
  }

  /**
   * Takes over what another control process heard; resolves once departures in it are agreed.
   * @returns Instances that this leader has to be told of in full.
   */
  async addRelayedReports({
    relayAddress,
    reports,
    signs,
    entries,
    suspicions,
  }: ReportRequest): Promise<string[]> {
    const now = this._options.clock.getMonotonicMs();
    if (relayAddress !== "") this._relays.addReport(now, relayAddress, entries?.entries);
    const unknown = signs
      .filter((sign) => this._registry.addHeartbeat(now - sign.ageMs, sign) === "unknown")
      .map((sign) => sign.instanceId);
    this.addSuspicions(suspicions);
    await this.addReports(reports);
    if (entries !== undefined) this._publish();
    return unknown;
  }

  /**
   * Chooses the process that an instance is to send its next reports to.
   * @returns `undefined` when there is no other one.
   */
  chooseRelay(instanceId: string): string | undefined {
    return this._relays.chooseRelay(this._options.clock.getMonotonicMs(), instanceId);
  }

  /** Publishes what was just agreed on. */
  publish(): void {
    this._publish();
  }

  /** Notes what entries saw of targets. */
  addSuspicions(suspicions: readonly Suspicion[]): void {
    for (const { targetId, instanceId, unreachable } of suspicions) {
      if (!this._controller.checkReplica(targetId)) continue;
      this._options.logger.info({
        event: "target_suspected",
        target: targetId,
        instance: instanceId,
        unreachable,
      });
    }
  }

  /** Takes over what an entry saw of requests under which instances ended; resolves once it is agreed on. */
  async addCrashes(records: readonly CrashRecord[]): Promise<void> {
    await this._crashes.addRecords(records);
    const before = this.view.revision;
    // At once, and without the rest of the view: the request comes again within a fraction of a second.
    this._crashes.publish(this.view);
    if (this.view.revision !== before) this._options.onChange();
  }

  private _logConflict({ address, claimants }: AddressConflict): void {
    const now = this._options.clock.getMonotonicMs();
    this._options.logger.info({
      event: "address_conflict",
      address,
      claimants: claimants.map(({ report, sequence, reportedAt }) => ({
        instance: report.instanceId,
        sequence,
        reported_ms_ago: Math.round(now - reportedAt),
      })),
    });
  }

  /**
   * What was heard before the usual silence says less than the agreed state: the instance may have taken
   * a place since and report it to another process. It counts as unheard, so that its replica stands
   * until it has been silent for long enough.
   */
  private _addReport(now: number, report: InstanceReport): void {
    if (report.ageMs > this._options.getTimes().presenceMs) return;
    const before = this._registry.getInstance(report.instanceId)?.report;
    const outcome = this._registry.addReport(now - report.ageMs, report);
    if (outcome === "older") this._options.metrics.increment("instance_reports_older", 1);
    if (outcome === "taken" && before !== undefined) this._logUnexpectedPlace(before, report);
  }

  /**
   * An order that was given up on may be carried out seconds later: it shows in an instance that takes
   * a place in a replica whose instances have been released.
   */
  private _logUnexpectedPlace(before: InstanceReport, { instanceId, sequence, place }: InstanceReport): void {
    if (place === undefined) return;
    const { replicaId: replica, epoch, state } = place;
    if (before.place?.replicaId === replica && before.place.epoch === epoch) return;
    if (this._options.driver.machine.getReplica(replica)?.phase !== ReplicaPhase.RELEASED) return;
    this._options.logger.warn({
      event: "place_unexpected",
      instance: instanceId,
      sequence,
      replica,
      state: PlaceState[state],
    });
  }

  private async _step(): Promise<void> {
    const startedAt = this._options.clock.getMonotonicMs();
    void this._releaseRequests(startedAt);
    if (!this._pace.isDue(startedAt, this._getPlanningInputs())) return;
    this._pace.addStart();
    this._registry.removeExpired(startedAt, this._options.getTimes().presenceMs);
    this._updateHearing(startedAt);
    const plannedMs = await this._plan();
    const publishingAt = this._options.clock.getMonotonicMs();
    if (!this._isEnded) this._publish();
    const endedAt = this._options.clock.getMonotonicMs();
    this._options.meter.addWork("plan", this._registry.getInstances().length, plannedMs);
    this._options.meter.addWork("publish", this.view.targetCount, endedAt - publishingAt);
    this._pace.addEnd(endedAt, plannedMs + endedAt - publishingAt);
  }

  /** What changes whenever there may be something new to decide. */
  private _getPlanningInputs(): string {
    const { driver, entries } = this._options;
    const revisions = [this._registry.revision, this._controller.revision, entries.revision];
    return [driver.node.commitIndex, ...revisions].join();
  }

  private async _releaseRequests(now: number): Promise<void> {
    try {
      await this._crashes.releaseDueRequests(now);
    } catch (cause) {
      // They are looked for again a moment later, here or by the next leader.
      this._options.logger.warn({ event: "requests_not_released", reason: String(cause) });
    }
  }

  /** Gives how long planning computed, milliseconds. */
  private async _plan(): Promise<number> {
    try {
      return await this._controller.step();
    } catch (cause) {
      this._options.logger.warn({ event: "planning_failed", reason: String(cause) });
      return 0;
    }
  }

  private _publish(): void {
    const now = this._options.clock.getMonotonicMs();
    const { driver, getTimes } = this._options;
    this._updateHearing(now);
    const before = this.view.revision;
    this.view.setDeclaration(driver.machine.getDeclaration());
    this._crashes.publish(this.view);
    this.view.setTargets(this._createTargets(now));
    // Once the view is complete, watchers hold nothing but what it told them.
    if (!this.view.isComplete) this.view.removeTargets(this._agreed.getEndedTargetIds());
    if (this._hearing.getObservedMs(now) > getTimes().presenceMs) this._setComplete();
    this.view.setEntries(
      sortEntries([...this._options.entries.getEntries(now), ...this._relays.getEntries(now)]),
    );
    this.view.setControlAddresses(this._getWatchable());
    if (this.view.revision !== before) this._options.onChange();
  }

  private _updateHearing(now: number): void {
    const { driver, getTimes } = this._options;
    const others = driver.node.membership.members.filter((member) => member.id !== driver.node.id);
    const contacts = others.map(({ id, name }) => ({
      answeredAt: driver.node.getProgress(id)?.answeredAt ?? Number.NEGATIVE_INFINITY,
      // Members are named by the address at which instances reach them.
      reportedAt: this._relays.getReportedAt(name),
    }));
    this._hearing.update(now, contacts, getTimes().presenceMs);
  }

  private _setComplete(): void {
    if (this.view.isComplete) return;
    this.view.setComplete();
    const instances = this._registry.getInstances().length;
    this._options.logger.info({
      event: "view_complete",
      term: this.term,
      instances,
      targets: this.view.targetCount,
    });
  }

  /** The leader has enough to do: entries watch the others, where there are any. */
  private _getWatchable(): string[] {
    const { node } = this._options.driver;
    const voters = getVoters(node.membership);
    const others = voters.filter((member) => member.id !== node.id);
    return (others.length > 0 ? others : voters).map((member) => member.address);
  }

  private _createTargets(now: number): Target[] {
    const engineServices = new Map(
      (this._options.getRoutes()?.declaration.services ?? []).map((service) => [
        service.name,
        service.engine,
      ]),
    );
    // A service that nobody declares is no target: the report of it may come from another writer.
    const isPlain = (service: string) =>
      engineServices.has(service) && engineServices.get(service) === undefined;
    const plain = this._registry
      .getInstances()
      .filter((instance) => isPlain(instance.report.service))
      .filter((instance) => this._isPlainTarget(now, instance))
      .map((instance) => createPlainTarget(instance));
    const replicas = this._options.driver.machine
      .getReplicas()
      .filter((replica) => !this._hasDepartedMember(replica) && this._controller.isOpen(now, replica))
      .map((replica) => this._createReplicaTarget(replica))
      .filter((target) => target !== undefined);
    return [...plain, ...replicas];
  }

  private _isPlainTarget(now: number, { report, reportedAt }: RegisteredInstance): boolean {
    const hasDeparted = report.leaving || this._options.driver.machine.hasDeparted(report);
    return !hasDeparted && now - reportedAt <= SILENT_TARGET_MS;
  }

  private _createReplicaTarget(replica: Replica): Target | undefined {
    const head = this._registry.getInstance(replica.members[0]!.instanceId)?.report;
    if (head === undefined) return undefined;
    return create(TargetSchema, {
      id: replica.id,
      service: head.service,
      model: replica.model,
      instanceId: head.instanceId,
      address: head.address,
      failureDomain: head.failureDomain,
      slots: head.slots,
    });
  }

  private _hasDepartedMember(replica: Replica): boolean {
    const { machine } = this._options.driver;
    return replica.members.some((member) => machine.hasDeparted(member));
  }
}

function createPlainTarget({ report }: RegisteredInstance): Target {
  return create(TargetSchema, {
    // Each life is a target of its own: what entries saw of an earlier one says nothing of it.
    id: getLifeKey(report),
    service: report.service,
    model: "",
    instanceId: report.instanceId,
    address: report.address,
    failureDomain: report.failureDomain,
    slots: report.slots,
  });
}
