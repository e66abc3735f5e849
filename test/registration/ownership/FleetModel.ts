/**
 * Simulates instances, control processes and the faults between them.
 *
 * Leaders, relays and the state machine are the production code. Instances follow the rules of replicas
 * (`InstanceModel`). Reports are delayed and arrive after their sender has ended, relays send all reports
 * that they hold to a new leader, and orders fail with given probabilities (`OrderModel`). Leaders are
 * killed, and some continue for a time before they notice that they were deposed.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { vi } from "vitest";
import { type ConsensusDriver, SeededRandom } from "../../../src/consensus";
import { type LogEntry, LogEntrySchema } from "../../../src/gen/ploverstage/v1/consensus_pb";
import {
  type InstanceReport,
  InstanceReportSchema,
  PlaceState,
  ReportRequestSchema,
  SuspicionSchema,
} from "../../../src/gen/ploverstage/v1/fleet_pb";
import { type Command, CommandSchema, ReplicaPhase } from "../../../src/gen/ploverstage/v1/state_pb";
import { NoopMetrics } from "../../../src/metrics";
import { REASON } from "../../../src/planner/Planner";
import { EntryRoster } from "../../../src/registration/EntryRoster";
import { FleetLeadership } from "../../../src/registration/FleetLeadership";
import { ReportRelay } from "../../../src/registration/ReportRelay";
import { StateMachine } from "../../../src/state";
import { createMeter } from "../../support/createMeter";
import { type Host, INSTANCE_TIMES, InstanceModel, type Place } from "./InstanceModel";
import { OrderModel } from "./OrderModel";
import { OverloadModel } from "./OverloadModel";

interface ControlProcess {
  readonly name: string;
  readonly relay: ReportRelay;
  leadership: FleetLeadership | undefined;
  /** When the current call to the leader completes or is abandoned. */
  callEndsAt: number;
}

interface DelayedCall {
  readonly at: number;
  readonly run: () => void;
}

/** How simulated instances start and what they check. */
export interface FleetOptions {
  /** Whether instances refuse orders with an outdated fencing token. */
  readonly checksFences?: boolean;
  /** Whether a restarted instance keeps its id. */
  readonly keepsIds?: boolean;
  /** Whether a restarted instance sometimes listens at another address. */
  readonly changesAddress?: boolean;
  /** Whether the clocks of hosts are sometimes set back, so that a later incarnation looks older. */
  readonly setsClocksBack?: boolean;
  /** A deliberate defect: no instance reports its start time. */
  readonly omitsStartTimes?: boolean;
}

/** How far a clock is set back, milliseconds. */
const CLOCK_STEP_MS = 3_600_000;

/**
 * The sequence numbers of the first incarnations start here, so that a later incarnation, which counts from
 * 1, is far behind.
 */
const FIRST_SEQUENCE = 500;
const SERVICE = "s";
const MODEL = "m";
const REPLICA_SIZE = 3;
const DOMAINS = ["f", "g"];
const HOSTS_PER_DOMAIN = 7;
const CONTROL_PROCESSES = ["c0", "c1", "c2"];
const TICK_MS = 20;
const REPORT_MS = 1_200;
const RELAY_MS = 400;
const PRESENCE_MS = 3_600;

/** A fleet of instances and control processes under faults. */
export class FleetModel {
  /**
   * Replicas retired for an absent instance although all their instances were running, reachable and in their
   * places.
   */
  readonly retiredHealthy: string[] = [];
  /** Orders to the simulated instances, with their faults. */
  readonly orders: OrderModel;
  /** Decides when the leader processes the calls that it receives. */
  readonly overload: OverloadModel;
  private readonly _random: SeededRandom;
  private readonly _hosts: readonly Host[];
  private readonly _instances: InstanceModel[] = [];
  private readonly _controlProcesses: readonly ControlProcess[];
  private readonly _log: LogEntry[] = [];
  private readonly _partitionedUntil = new Map<string, number>();
  private _delayed: DelayedCall[] = [];
  private _now = 100_000;
  private _term = 0;
  private _incarnationCount = 0;

  private readonly _options: FleetOptions;

  /**
   * Requires fake timers.
   * @param seed - Seeds all random draws.
   * @param options - How instances start and what they check.
   */
  constructor(seed: number, options: FleetOptions = {}) {
    this._options = options;
    this._random = new SeededRandom(seed);
    this.overload = new OverloadModel(this._random);
    this.orders = new OrderModel({
      random: this._random,
      getNow: () => this._now,
      getListener: (address) => this._getListener(address),
      getIncarnations: (id) => this._instances.filter((instance) => instance.id === id),
      runAfter: (milliseconds, run) => this._runAfter(milliseconds, run),
      onPlaceLeft: (place, instanceId) => this._loseMember(place, instanceId),
    });
    this._hosts = DOMAINS.flatMap((fabricDomain) =>
      Array.from({ length: HOSTS_PER_DOMAIN }, (_, i) => ({
        name: `${fabricDomain}${i}`,
        address: `${fabricDomain}${i}:1`,
        fabricDomain,
        clockErrorMs: 0,
        staged: undefined,
      })),
    );
    this._controlProcesses = CONTROL_PROCESSES.map((name) => ({
      name,
      relay: new ReportRelay(),
      leadership: undefined,
      callEndsAt: 0,
    }));
    for (const host of this._hosts) this._startIncarnation(host).sequence = FIRST_SEQUENCE;
    this._startLeadership(this._controlProcesses[0]!);
  }

  /** Counts the replicas that accept requests and have not lost a member. */
  countServing(): number {
    const heads = this._instances.filter(({ place, isAlive }) => isAlive && place?.state === PlaceState.OPEN);
    return heads.filter(({ place }) => place!.brokenAt === undefined).length;
  }

  /** Advances the simulated time. */
  async run(milliseconds: number): Promise<void> {
    for (const endAt = this._now + milliseconds; this._now < endAt; ) {
      this._now += TICK_MS;
      this._runDelayed();
      for (const instance of this._instances) instance.advance(this._now);
      this._endPartitions();
      await this._relayReports();
      await vi.advanceTimersByTimeAsync(TICK_MS);
    }
  }

  /** Kills the leader. Another control process leads after the election time. */
  async killLeader(electionMs: number): Promise<void> {
    const killed = this._controlProcesses.find(({ leadership }) => leadership !== undefined);
    this._endLeadership(killed);
    await this.run(electionMs);
    const others = this._controlProcesses.filter((controller) => controller !== killed);
    this._startLeadership(this._draw(others));
  }

  /**
   * Deposes the leader by a partition. Another control process leads at once, while the deposed leader
   * continues until it notices.
   */
  deposeLeader(noticeMs: number): void {
    const deposed = this._controlProcesses.find(({ leadership }) => leadership !== undefined)!;
    const { leadership } = deposed;
    deposed.leadership = undefined;
    this._runAfter(noticeMs, () => leadership?.end());
    this._startLeadership(this._draw(this._controlProcesses.filter((controller) => controller !== deposed)));
  }

  /** Draws a duration, milliseconds. */
  drawTime(shortestMs: number, longestMs: number): number {
    return shortestMs + this._drawNumber(longestMs - shortestMs);
  }

  /** Reports replicas as stalled to the leader, as entries do. */
  suspect(count: number): void {
    const leader = this._controlProcesses.find(({ leadership }) => leadership !== undefined)?.leadership;
    const heads = this._instances.filter(({ isAlive, place }) => isAlive && place?.state === PlaceState.OPEN);
    for (let i = 0; i < count && heads.length > 0; i++) {
      const { id, place } = this._draw(heads);
      const suspicion = { targetId: place!.replicaId, instanceId: id, unreachable: false };
      leader?.addSuspicions([create(SuspicionSchema, suspicion)]);
    }
  }

  /** Crashes the head of one replica in each fabric domain permanently. */
  crashHeads(): void {
    for (const domain of DOMAINS) {
      const heads = this._instances.filter(
        ({ host, isAlive, place }) =>
          host.fabricDomain === domain && isAlive && place?.state === PlaceState.OPEN,
      );
      this._crash(this._draw(heads), Number.POSITIVE_INFINITY);
    }
  }

  /** Crashes an instance, which restarts on its host. */
  restartInstance(restartMs: number): void {
    const instance = this._drawRunning();
    if (instance !== undefined) this._crash(instance, restartMs);
  }

  /**
   * Partitions a share of the instances from control. Half of them crash during the partition and restart on
   * their hosts. Half of the reports sent during the partition arrive after it has ended.
   */
  partition(share: number, durationMs: number): void {
    for (const instance of this._instances.filter(({ isAlive }) => isAlive)) {
      if (this._random.next() >= share) continue;
      instance.isPartitioned = true;
      this._partitionedUntil.set(instance.host.name, this._now + durationMs);
      const crashes = this._random.next() < 0.5;
      if (crashes)
        this._runAfter(this._random.next() * durationMs, () => this._crash(instance, durationMs / 2));
    }
  }

  /** Ends all leaderships. */
  end(): void {
    for (const controller of this._controlProcesses) this._endLeadership(controller);
  }

  /** Draws an integer below a bound. */
  private _drawNumber(bound: number): number {
    return Math.floor(this._random.next() * bound);
  }

  private _draw<T>(items: readonly T[]): T {
    return items[this._drawNumber(items.length)]!;
  }

  private _drawRunning(): InstanceModel | undefined {
    return this._draw(this._instances.filter(({ isAlive }) => isAlive));
  }

  private _runAfter(milliseconds: number, run: () => void): void {
    this._delayed.push({ at: this._now + milliseconds, run });
  }

  private _runDelayed(): void {
    const due = this._delayed.filter(({ at }) => at <= this._now);
    this._delayed = this._delayed.filter(({ at }) => at > this._now);
    for (const { run } of due) run();
  }

  private _startIncarnation(host: Host): InstanceModel {
    const { keepsIds, checksFences = false, omitsStartTimes } = this._options;
    this._incarnationCount += 1;
    const incarnation = {
      instanceId: keepsIds ? host.name : `${host.name}-${this._incarnationCount}`,
      born: omitsStartTimes ? 0 : this._now + host.clockErrorMs,
    };
    const instance = new InstanceModel(incarnation, host, checksFences);
    this._instances.push(instance);
    const until = this._partitionedUntil.get(host.name) ?? 0;
    instance.isPartitioned = until > this._now;
    this._runAfter(this._drawNumber(REPORT_MS / 4), () => this._reportPeriodically(instance));
    return instance;
  }

  private _crash(instance: InstanceModel, restartMs: number): void {
    if (!instance.isAlive) return;
    instance.isAlive = false;
    const { place, host } = instance;
    if (place !== undefined) this._loseMember(place, instance.id);
    this._runAfter(restartMs, () => {
      this._changeHost(host);
      this._startIncarnation(host);
    });
  }

  /** Draws which attributes of a host change when its instance restarts. */
  private _changeHost(host: Host): void {
    const { changesAddress, setsClocksBack } = this._options;
    if (changesAddress && this._random.next() < 0.5) host.address = `${host.name}:${this._incarnationCount}`;
    if (setsClocksBack && this._random.next() < 0.5) host.clockErrorMs -= CLOCK_STEP_MS;
  }

  private _endPartitions(): void {
    for (const [name, until] of this._partitionedUntil) {
      if (until > this._now) continue;
      this._partitionedUntil.delete(name);
      for (const instance of this._instances) {
        if (instance.host.name === name) instance.isPartitioned = false;
      }
    }
  }

  /** Marks the lost member on the head of its replica, which then stalls and later breaks. */
  private _loseMember(place: Place, lostId: string): void {
    const head = this._getRunning(place.members[0]!);
    const isOwn = head?.place?.replicaId === place.replicaId && head.place.epoch === place.epoch;
    if (isOwn && head.id !== lostId) head.loseMember(this._now);
  }

  private _reportPeriodically(instance: InstanceModel): void {
    if (!instance.isAlive) return;
    const report = this._createReport(instance);
    const until = this._partitionedUntil.get(instance.host.name);
    if (until === undefined) this._deliver(report);
    // Reports that a partition delayed may arrive after it has ended, even if their sender has ended.
    else if (this._random.next() < 0.5) {
      this._runAfter(until - this._now + this._drawNumber(REPORT_MS), () => this._deliver(report));
    }
    this._runAfter(REPORT_MS, () => this._reportPeriodically(instance));
  }

  private _createReport(instance: InstanceModel): InstanceReport {
    const { id, host, place } = instance;
    instance.sequence += 1;
    return create(InstanceReportSchema, {
      instanceId: id,
      born: instance.born,
      sequence: instance.sequence,
      service: SERVICE,
      address: instance.address,
      failureDomain: "d",
      fabricDomain: host.fabricDomain,
      slots: 4,
      stagedModels: host.staged === undefined ? [] : [host.staged],
      place:
        place === undefined
          ? undefined
          : {
              replicaId: place.replicaId,
              epoch: place.epoch,
              rank: place.members.indexOf(id),
              state: place.state,
            },
    });
  }

  private _deliver(report: InstanceReport): void {
    const controller = this._draw(this._controlProcesses);
    const { leadership } = controller;
    if (leadership !== undefined) this._callLeader(leadership, () => void leadership.addReports([report]));
    else controller.relay.addReport(this._now, report);
  }

  /** Passes a call to the leader once it processes calls again, if it still leads then. */
  private _callLeader(leadership: FleetLeadership, call: () => void): void {
    const waitMs = this.overload.getWaitMs(this._now);
    if (waitMs === 0) call();
    else this._runAfter(waitMs, () => (leadership.isEnded ? undefined : call()));
  }

  /** Relays updates at once, and all other reports every 400 ms. */
  private async _relayReports(): Promise<void> {
    const leader = this._controlProcesses.find(({ leadership }) => leadership !== undefined);
    if (leader?.leadership === undefined) return;
    for (const controller of this._controlProcesses) {
      if (controller.callEndsAt > this._now) continue;
      if (!controller.relay.hasUpdates() && this._now % RELAY_MS !== 0) continue;
      await this._sendBatch(controller, leader);
    }
  }

  /**
   * Sends a batch to the leader. A call that the leader does not answer within the timeout is abandoned: its
   * batch is restored and sent again.
   */
  private async _sendBatch(controller: ControlProcess, leader: ControlProcess): Promise<void> {
    const { name, relay } = controller;
    const leadership = leader.leadership!;
    const batch = relay.takeBatch(this._now, 40);
    const request = create(ReportRequestSchema, {
      relayAddress: name === leader.name ? "" : name,
      reports: [...batch.reports],
      signs: [...batch.signs],
    });
    const waitMs = name === leader.name ? 0 : this.overload.getWaitMs(this._now);
    const { timeoutMs } = this.overload.times;
    if (waitMs === 0) {
      relay.addAnswer(leadership.term, await leadership.addRelayedReports(request));
      return;
    }
    if (waitMs <= timeoutMs || this.overload.drawsExecution()) {
      this._runAfter(waitMs, () =>
        leadership.isEnded ? undefined : void leadership.addRelayedReports(request),
      );
    }
    controller.callEndsAt = this._now + Math.min(waitMs, timeoutMs);
    this._runAfter(Math.min(waitMs, timeoutMs), () => relay.restoreBatch(batch));
  }

  private _endLeadership(controller: ControlProcess | undefined): void {
    controller?.leadership?.end();
    if (controller !== undefined) controller.leadership = undefined;
  }

  private _startLeadership(controller: ControlProcess): void {
    this._term += 1;
    const clock = { getMonotonicMs: () => this._now, getWallMs: () => this._now };
    controller.leadership = new FleetLeadership({
      driver: this._createDriver(controller),
      orders: this.orders,
      clock,
      logger: { info: () => {}, warn: () => {} } as never,
      metrics: new NoopMetrics(),
      meter: createMeter(clock),
      lag: { getWorstMs: () => 0 } as never,
      isFirstStart: this._term === 1,
      getTimes: () => ({
        presenceMs: PRESENCE_MS,
        reserve: 0,
        drainMs: 2_000,
        stallMs: INSTANCE_TIMES.stallMs,
        loadWindowMs: 5_000,
        loadOverrun: 1.1,
      }),
      getRoutes: () => ({ declaration: { services: [createService()] } }) as never,
      entries: new EntryRoster(),
      onChange: () => {},
    });
    controller.leadership.start();
  }

  /**
   * Creates a driver for a leader with the log up to now. A deposed leader receives no more entries, and its
   * proposals never complete.
   */
  private _createDriver(controller: ControlProcess): ConsensusDriver {
    const term = this._term;
    const machine = new StateMachine();
    for (const entry of this._log) machine.apply(entry);
    const members = CONTROL_PROCESSES.map((name) => ({
      id: name,
      name,
      address: `${name}:1`,
      learner: false,
    }));
    const isCurrent = () => this._term === term && controller.leadership !== undefined;
    return {
      node: {
        id: controller.name,
        term,
        get commitIndex() {
          return machine.appliedIndex;
        },
        membership: { members },
        getProgress: () => ({ answeredAt: this._now }),
      },
      machine,
      propose: (body: Command["body"]) => {
        if (!isCurrent()) return new Promise(() => {});
        this._checkMove(body, machine);
        const command = toBinary(CommandSchema, create(CommandSchema, { body }));
        const index = this._log.length + 1;
        const entry = create(LogEntrySchema, { index, term, body: { case: "command", value: command } });
        this._log.push(entry);
        return Promise.resolve(machine.apply(entry));
      },
    } as unknown as ConsensusDriver;
  }

  /** Records replicas that are retired as lost although they are healthy. */
  private _checkMove({ case: kind, value }: Command["body"], machine: StateMachine): void {
    if (kind !== "moveReplica" || value.phase !== ReplicaPhase.RETIRING || value.reason !== REASON.lost)
      return;
    const replica = machine.getReplica(value.replicaId);
    if (replica?.phase !== ReplicaPhase.SERVING) return;
    const isHealthy = replica.members.every(({ instanceId }) => {
      const instance = this._getRunning(instanceId);
      const isIn = instance?.place?.replicaId === replica.id && instance.place.epoch === replica.epoch;
      return (
        instance?.isAlive && !instance.isPartitioned && isIn && instance.place?.state !== PlaceState.BROKEN
      );
    });
    if (isHealthy) this.retiredHealthy.push(`${replica.id} at ${this._now}`);
  }

  private _getListener(address: string): InstanceModel | undefined {
    return this._instances.find((instance) => instance.isAlive && instance.address === address);
  }

  private _getRunning(id: string): InstanceModel | undefined {
    return this._instances.find((instance) => instance.isAlive && instance.id === id);
  }
}

function createService() {
  const models = [
    { name: MODEL, instancesPerReplica: REPLICA_SIZE, share: 1, pace: 1, loadMs: 16_000, warmMs: 1_000 },
  ];
  return { name: SERVICE, engine: { slots: 4, models, loadsPerSecond: 4, concurrentLoads: 6 } };
}
