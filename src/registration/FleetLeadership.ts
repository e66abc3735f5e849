/** The part of a control process with registered instances that exists only while the process leads. */

import { create } from "@bufbuild/protobuf";
import type { Clock, EventLoopLag } from "../clock";
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
import { getIncarnationKey, type Incarnation } from "../ids";
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

export interface FleetLeadershipOptions {
  readonly driver: ConsensusDriver;
  readonly orders: InstanceOrders;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly meter: WorkMeter;
  /** Measures the event loop lag of this process. */
  readonly lag: EventLoopLag;
  /** Whether this process takes part in the first start of the whole system. */
  readonly isFirstStart: boolean;
  readonly getTimes: () => ReplicaTimes;
  readonly getRoutes: () => RouteTable | undefined;
  /** The entries that watch this process. */
  readonly entries: EntryRoster;
  /** Called when the view may have changed, and when the term ends. */
  readonly onChange: () => void;
}

/** Interval at which the leadership checks whether planning is due, milliseconds. */
const PLANNING_CHECK_MS = 20;
/**
 * Time after its last report for which an instance of a plain service stays a target, milliseconds: entries
 * detect a failed instance sooner.
 */
const TARGET_EXPIRY_MS = 20_000;

/** Work of this process as the leader during one term. */
export class FleetLeadership {
  readonly term: number;
  /** The view that this leader publishes. */
  readonly view = new FleetView();
  private readonly _options: FleetLeadershipOptions;
  private readonly _registry: InstanceRegistry;
  private readonly _controller: ReplicaController;
  private readonly _committed: CommittedFacts;
  private readonly _relays = new RelayRoster();
  private readonly _crashes: CrashRegistry;
  private readonly _planningInterval: PlanningSchedule;
  private readonly _hearing: HeartbeatMonitor;
  private _timer: NodeJS.Timeout | undefined;
  private _isEnded = false;

  /**
   * @param options - Driver, orders, clock and times.
   */
  constructor(options: FleetLeadershipOptions) {
    this._options = options;
    this._committed = new CommittedFacts(() => options.driver.machine);
    this.term = options.driver.node.term;
    const now = options.clock.getMonotonicMs();
    this._hearing = new HeartbeatMonitor(now);
    this._planningInterval = new PlanningSchedule(now);
    this._crashes = new CrashRegistry(options);
    const listener = {
      onConflict: (conflict: AddressConflict) => this._logConflict(conflict),
      onEnd: (life: Incarnation, ground: IncarnationEndReason) => this._logIncarnationEnd(life, ground),
    };
    this._registry = new InstanceRegistry(listener, (instanceId) => this._getCommittedStartTime(instanceId));
    this._controller = new ReplicaController({
      ...options,
      registry: this._registry,
      hearing: this._hearing,
    });
  }

  /** Gets whether the term has ended. */
  get isEnded(): boolean {
    return this._isEnded;
  }

  /** Starts planning and publishing. */
  start(): void {
    this._publish();
    this._timer = setInterval(() => void this._runStep(), PLANNING_CHECK_MS);
  }

  /** Stops planning and publishing. */
  end(): void {
    this._isEnded = true;
    clearInterval(this._timer);
    this._options.onChange();
  }

  /** Applies reports of instances; resolves once the departures among them are committed. */
  async addReports(reports: readonly InstanceReport[]): Promise<void> {
    const now = this._options.clock.getMonotonicMs();
    const { machine } = this._options.driver;
    const departing: Incarnation[] = [];
    this._options.meter.measure("reports", reports.length, () => {
      for (const report of reports) {
        if (report.deregistered || report.leaving) departing.push(this._getDepartingIncarnation(report));
        if (report.deregistered) continue;
        this._addReport(now, report);
      }
    });
    const incarnations = departing.filter((life) => !machine.hasDeparted(life));
    if (incarnations.length === 0) return;
    await this._options.driver.propose({
      case: "recordDepartures",
      value: {
        $typeName: "ploverstage.v1.RecordDepartures",
        lives: incarnations.map((life) => create(InstanceLifeSchema, life)),
        atMs: this._options.clock.getWallMs(),
      },
    });
    this._options.logger.info({
      event: "departures_recorded",
      instances: incarnations.map(getIncarnationKey),
    });
    this._publish();
  }

  /**
   * Gets the incarnation that departs. An instance may deregister with its id alone: then it is the
   * incarnation registered under that id.
   */
  private _getDepartingIncarnation({ instanceId, born }: InstanceReport): Incarnation {
    const registeredBorn = this._registry.getInstance(instanceId)?.report.born ?? 0;
    return { instanceId, born: born === 0 ? registeredBorn : born };
  }

  /**
   * Gets the start time of the newest committed incarnation of an instance, 0 without one. The first report
   * in a term may come from an older incarnation; the committed state shows that a newer one has started.
   */
  private _getCommittedStartTime(instanceId: string): number {
    const replicas = this._options.driver.machine.getReplicas();
    const incarnations = replicas.flatMap(({ members }) =>
      members.filter((member) => member.instanceId === instanceId),
    );
    return Math.max(0, ...incarnations.map(({ born }) => born));
  }

  private _logIncarnationEnd({ instanceId, born }: Incarnation, cause: IncarnationEndReason): void {
    this._options.metrics.increment("instance_lives_ended", 1, { ground: cause });
    this._options.logger.info({ event: "life_ended", instance: instanceId, born, ground: cause });
  }

  /**
   * Applies what another control process received; resolves once the departures among it are committed.
   * @returns Ids of the instances whose full reports this leader needs.
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
    const unknownInstanceIds = signs
      .filter((sign) => this._registry.addHeartbeat(now - sign.ageMs, sign) === "unknown")
      .map((sign) => sign.instanceId);
    this.addSuspicions(suspicions);
    await this.addReports(reports);
    if (entries !== undefined) this._publish();
    return unknownInstanceIds;
  }

  /**
   * Chooses the control process to which an instance sends its next reports.
   * @returns `undefined` when no other control process is active.
   */
  chooseRelay(instanceId: string): string | undefined {
    return this._relays.chooseRelay(this._options.clock.getMonotonicMs(), instanceId);
  }

  /** Publishes newly committed state. */
  publish(): void {
    this._publish();
  }

  /** Applies suspicions of targets that entries reported. */
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

  /** Records crashes that an entry reported; resolves once they are committed. */
  async addCrashes(records: readonly CrashRecord[]): Promise<void> {
    await this._crashes.addRecords(records);
    const previousRevision = this.view.revision;
    // The records are published at once and without the rest of the view, because the caller repeats the
    // request within a fraction of a second.
    this._crashes.publish(this.view);
    if (this.view.revision !== previousRevision) this._options.onChange();
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
   * Adds a report unless it is older than the time after which an instance counts as absent. The committed
   * state is more reliable than such a report: since then the instance may have taken a place and reported it
   * to another process. The instance then counts as not reported yet, so that its replica is kept until its
   * heartbeats are missing for long enough.
   */
  private _addReport(now: number, report: InstanceReport): void {
    if (report.ageMs > this._options.getTimes().presenceMs) return;
    const previous = this._registry.getInstance(report.instanceId)?.report;
    const result = this._registry.addReport(now - report.ageMs, report);
    if (result === "older") this._options.metrics.increment("instance_reports_older", 1);
    if (result === "taken" && previous !== undefined) this._logUnexpectedPlace(previous, report);
  }

  /**
   * Logs an instance that takes a place in a replica whose instances have been released. The cause is an
   * abandoned order that was executed seconds later.
   */
  private _logUnexpectedPlace(
    previous: InstanceReport,
    { instanceId, sequence, place }: InstanceReport,
  ): void {
    if (place === undefined) return;
    const { replicaId: replica, epoch, state } = place;
    if (previous.place?.replicaId === replica && previous.place.epoch === epoch) return;
    if (this._options.driver.machine.getReplica(replica)?.phase !== ReplicaPhase.RELEASED) return;
    this._options.logger.warn({
      event: "place_unexpected",
      instance: instanceId,
      sequence,
      replica,
      state: PlaceState[state],
    });
  }

  private async _runStep(): Promise<void> {
    const startedAt = this._options.clock.getMonotonicMs();
    void this._releaseDueRequests(startedAt);
    if (!this._planningInterval.isDue(startedAt, this._getPlanningInputs())) return;
    this._planningInterval.addStart();
    this._registry.removeExpired(startedAt, this._options.getTimes().presenceMs);
    this._updateHearing(startedAt);
    const plannedMs = await this._plan();
    const publishingAt = this._options.clock.getMonotonicMs();
    if (!this._isEnded) this._publish();
    const endedAt = this._options.clock.getMonotonicMs();
    this._options.meter.addWork("plan", this._registry.getInstances().length, plannedMs);
    this._options.meter.addWork("publish", this.view.targetCount, endedAt - publishingAt);
    this._planningInterval.addEnd(endedAt, plannedMs + endedAt - publishingAt);
  }

  /** Gets a value that changes whenever there may be something new to decide. */
  private _getPlanningInputs(): string {
    const { driver, entries } = this._options;
    const revisions = [this._registry.revision, this._controller.revision, entries.revision];
    return [driver.node.commitIndex, ...revisions].join();
  }

  private async _releaseDueRequests(now: number): Promise<void> {
    try {
      await this._crashes.releaseDueRequests(now);
    } catch (cause) {
      // Due requests are released at a later step, by this leader or by the next one.
      this._options.logger.warn({ event: "requests_not_released", reason: String(cause) });
    }
  }

  /**
   * Runs the planning.
   * @returns The computing time, milliseconds; 0 when planning failed.
   */
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
    const previousRevision = this.view.revision;
    this.view.setDeclaration(driver.machine.getDeclaration());
    this._crashes.publish(this.view);
    this.view.setTargets(this._createTargets(now));
    // Watchers of a complete view have only targets that this view has published.
    if (!this.view.isComplete) this.view.removeTargets(this._committed.getEndedTargetIds());
    if (this._hearing.getObservedMs(now) > getTimes().presenceMs) this._setComplete();
    this.view.setEntries(
      sortEntries([...this._options.entries.getEntries(now), ...this._relays.getEntries(now)]),
    );
    this.view.setControlAddresses(this._getWatchAddresses());
    if (this.view.revision !== previousRevision) this._options.onChange();
  }

  private _updateHearing(now: number): void {
    const { driver, getTimes } = this._options;
    const others = driver.node.membership.members.filter((member) => member.id !== driver.node.id);
    const contacts = others.map(({ id, name }) => ({
      answeredAt: driver.node.getProgress(id)?.answeredAt ?? Number.NEGATIVE_INFINITY,
      // A member's name is the address at which instances reach it.
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

  /**
   * Gets the addresses of the control processes that entries watch: the other voters if there are any,
   * because the leader has the highest load.
   */
  private _getWatchAddresses(): string[] {
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
    // An undeclared service is not a target, because another writer may have reported it.
    const isPlain = (service: string) =>
      engineServices.has(service) && engineServices.get(service) === undefined;
    const plainTargets = this._registry
      .getInstances()
      .filter((instance) => isPlain(instance.report.service))
      .filter((instance) => this._isPlainTarget(now, instance))
      .map((instance) => createPlainTarget(instance));
    const replicaTargets = this._options.driver.machine
      .getReplicas()
      .filter((replica) => !this._hasDepartedMember(replica) && this._controller.isOpen(now, replica))
      .map((replica) => this._createReplicaTarget(replica))
      .filter((target) => target !== undefined);
    return [...plainTargets, ...replicaTargets];
  }

  private _isPlainTarget(now: number, { report, reportedAt }: RegisteredInstance): boolean {
    const hasDeparted = report.leaving || this._options.driver.machine.hasDeparted(report);
    return !hasDeparted && now - reportedAt <= TARGET_EXPIRY_MS;
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
    // Each incarnation is a separate target: what entries observed of an earlier one does not apply to it.
    id: getIncarnationKey(report),
    service: report.service,
    model: "",
    instanceId: report.instanceId,
    address: report.address,
    failureDomain: report.failureDomain,
    slots: report.slots,
  });
}
