/**
 * Instances, control processes and what goes wrong between them, in simulated time.
 *
 * A test of our own code: leaders, relays and the agreed state are the product's; the instances keep
 * the rules of replicas (`InstanceModel`). Reports are held up and arrive after their sender has
 * ended, relays tell a new leader all that they hold, orders fail as they may (`OrderModel`); leaders
 * are killed, and some go on for a while without knowing that they were deposed.
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
import { SilentMetrics } from "../../../src/metrics";
import { REASON } from "../../../src/planner/Planner";
import { EntryRoster } from "../../../src/registration/EntryRoster";
import { FleetLeadership } from "../../../src/registration/FleetLeadership";
import { ReportRelay } from "../../../src/registration/ReportRelay";
import { StateMachine } from "../../../src/state";
import { createMeter } from "../../support/createMeter";
import { type Host, INSTANCE_TIMES, InstanceModel, type Place } from "./InstanceModel";
import { OrderModel } from "./OrderModel";
import { OverloadModel } from "./OverloadModel";

interface Controller {
  readonly name: string;
  readonly relay: ReportRelay;
  leadership: FleetLeadership | undefined;
  /** Until when a call that tells the leader something is under way. */
  tellsUntil: number;
}

interface Delayed {
  readonly at: number;
  readonly run: () => void;
}

/** How instances of a model start and what they check. */
export interface FleetOptions {
  /** Whether instances refuse orders with an outdated fencing token. */
  readonly checksFences?: boolean;
  /** Whether an instance starts again under its id. */
  readonly keepsIds?: boolean;
  /** Whether an instance that starts again listens elsewhere now and then. */
  readonly moves?: boolean;
  /** Whether hosts' clocks are set back now and then, so that a later life looks older. */
  readonly setsClocksBack?: boolean;
  /** A defect on purpose: no instance tells when it started. */
  readonly hidesStarts?: boolean;
}

/** How far clocks are set back, milliseconds. */
const CLOCK_STEP_MS = 3_600_000;

/** Instances have reported for a while: a later life that counts from 1 is far behind. */
const FIRST_COUNT = 500;
const SERVICE = "s";
const MODEL = "m";
const REPLICA_SIZE = 3;
const DOMAINS = ["f", "g"];
const HOSTS_PER_DOMAIN = 7;
const CONTROLLERS = ["c0", "c1", "c2"];
const TICK_MS = 20;
const REPORT_MS = 1_200;
const RELAY_MS = 400;
const PRESENCE_MS = 3_600;

/** A fleet under trouble. */
export class FleetModel {
  /** Replicas given up for an absent instance while all their instances ran, were reached and had their places. */
  readonly givenUp: string[] = [];
  /** Orders to its instances, and what happens to them. */
  readonly orders: OrderModel;
  /** When the leader takes what is told to it. */
  readonly overload: OverloadModel;
  private readonly _random: SeededRandom;
  private readonly _hosts: readonly Host[];
  private readonly _instances: InstanceModel[] = [];
  private readonly _controllers: readonly Controller[];
  private readonly _log: LogEntry[] = [];
  private readonly _cutUntil = new Map<string, number>();
  private _delayed: Delayed[] = [];
  private _now = 100_000;
  private _term = 0;
  private _lives = 0;

  private readonly _options: FleetOptions;

  /**
   * Needs fake timers.
   * @param seed - Of everything that is drawn.
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
      getLives: (id) => this._instances.filter((instance) => instance.id === id),
      runAfter: (milliseconds, run) => this._after(milliseconds, run),
      onPlaceGivenUp: (place, instanceId) => this._loseMember(place, instanceId),
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
    this._controllers = CONTROLLERS.map((name) => ({
      name,
      relay: new ReportRelay(),
      leadership: undefined,
      tellsUntil: 0,
    }));
    for (const host of this._hosts) this._startLife(host).sequence = FIRST_COUNT;
    this._lead(this._controllers[0]!);
  }

  /** Gets how many replicas take requests and are whole. */
  countServing(): number {
    const heads = this._instances.filter(({ place, isAlive }) => isAlive && place?.state === PlaceState.OPEN);
    return heads.filter(({ place }) => place!.brokenAt === undefined).length;
  }

  /** Lets time pass. */
  async run(milliseconds: number): Promise<void> {
    for (const endAt = this._now + milliseconds; this._now < endAt; ) {
      this._now += TICK_MS;
      this._runDelayed();
      for (const instance of this._instances) instance.advance(this._now);
      this._endCuts();
      await this._relayReports();
      await vi.advanceTimersByTimeAsync(TICK_MS);
    }
  }

  /** The leader is killed; another one leads once the others have elected it. */
  async killLeader(electionMs: number): Promise<void> {
    const killed = this._controllers.find(({ leadership }) => leadership !== undefined);
    this._endLeadership(killed);
    await this.run(electionMs);
    const others = this._controllers.filter((controller) => controller !== killed);
    this._lead(this._draw(others));
  }

  /** The leader is cut off; another one leads while it goes on for a while, not knowing. */
  deposeLeader(unawareMs: number): void {
    const deposed = this._controllers.find(({ leadership }) => leadership !== undefined)!;
    const { leadership } = deposed;
    deposed.leadership = undefined;
    this._after(unawareMs, () => leadership?.end());
    this._lead(this._draw(this._controllers.filter((controller) => controller !== deposed)));
  }

  /** Draws how long something lasts, milliseconds. */
  drawTime(shortestMs: number, longestMs: number): number {
    return shortestMs + this._drawNumber(longestMs - shortestMs);
  }

  /** Entries take replicas for standing still, and tell the leader. */
  suspect(count: number): void {
    const leader = this._controllers.find(({ leadership }) => leadership !== undefined)?.leadership;
    const heads = this._instances.filter(({ isAlive, place }) => isAlive && place?.state === PlaceState.OPEN);
    for (let i = 0; i < count && heads.length > 0; i++) {
      const { id, place } = this._draw(heads);
      const suspicion = { targetId: place!.replicaId, instanceId: id, unreachable: false };
      leader?.addSuspicions([create(SuspicionSchema, suspicion)]);
    }
  }

  /** In each fabric domain the head of a replica crashes for good. */
  loseHeads(): void {
    for (const domain of DOMAINS) {
      const heads = this._instances.filter(
        ({ host, isAlive, place }) =>
          host.fabricDomain === domain && isAlive && place?.state === PlaceState.OPEN,
      );
      this._crash(this._draw(heads), Number.POSITIVE_INFINITY);
    }
  }

  /** An instance crashes and starts again at its address. */
  restart(restartMs: number): void {
    const instance = this._drawRunning();
    if (instance !== undefined) this._crash(instance, restartMs);
  }

  /**
   * Instances are cut off from control, some of them crash behind the cut and start again at their
   * addresses; what they sent before arrives when the cut is over.
   */
  cut(share: number, forMs: number): void {
    for (const instance of this._instances.filter(({ isAlive }) => isAlive)) {
      if (this._random.next() >= share) continue;
      instance.isCut = true;
      this._cutUntil.set(instance.host.name, this._now + forMs);
      const crashes = this._random.next() < 0.5;
      if (crashes) this._after(this._random.next() * forMs, () => this._crash(instance, forMs / 2));
    }
  }

  /** Ends everything. */
  end(): void {
    for (const controller of this._controllers) this._endLeadership(controller);
  }

  /** Draws a whole number below a bound. */
  private _drawNumber(bound: number): number {
    return Math.floor(this._random.next() * bound);
  }

  private _draw<T>(items: readonly T[]): T {
    return items[this._drawNumber(items.length)]!;
  }

  private _drawRunning(): InstanceModel | undefined {
    return this._draw(this._instances.filter(({ isAlive }) => isAlive));
  }

  private _after(milliseconds: number, run: () => void): void {
    this._delayed.push({ at: this._now + milliseconds, run });
  }

  private _runDelayed(): void {
    const due = this._delayed.filter(({ at }) => at <= this._now);
    this._delayed = this._delayed.filter(({ at }) => at > this._now);
    for (const { run } of due) run();
  }

  private _startLife(host: Host): InstanceModel {
    const { keepsIds, checksFences = false, hidesStarts } = this._options;
    this._lives += 1;
    const life = {
      instanceId: keepsIds ? host.name : `${host.name}-${this._lives}`,
      born: hidesStarts ? 0 : this._now + host.clockErrorMs,
    };
    const instance = new InstanceModel(life, host, checksFences);
    this._instances.push(instance);
    const until = this._cutUntil.get(host.name) ?? 0;
    instance.isCut = until > this._now;
    this._after(this._drawNumber(REPORT_MS / 4), () => this._reportAndGoOn(instance));
    return instance;
  }

  private _crash(instance: InstanceModel, restartMs: number): void {
    if (!instance.isAlive) return;
    instance.isAlive = false;
    const { place, host } = instance;
    if (place !== undefined) this._loseMember(place, instance.id);
    this._after(restartMs, () => {
      this._changeHost(host);
      this._startLife(host);
    });
  }

  /** What may be different when an instance starts again. */
  private _changeHost(host: Host): void {
    const { moves, setsClocksBack } = this._options;
    if (moves && this._random.next() < 0.5) host.address = `${host.name}:${this._lives}`;
    if (setsClocksBack && this._random.next() < 0.5) host.clockErrorMs -= CLOCK_STEP_MS;
  }

  private _endCuts(): void {
    for (const [name, until] of this._cutUntil) {
      if (until > this._now) continue;
      this._cutUntil.delete(name);
      for (const instance of this._instances) {
        if (instance.host.name === name) instance.isCut = false;
      }
    }
  }

  /** A head that loses a member stalls, then breaks. */
  private _loseMember(place: Place, lostId: string): void {
    const head = this._getRunning(place.members[0]!);
    const isOwn = head?.place?.replicaId === place.replicaId && head.place.epoch === place.epoch;
    if (isOwn && head.id !== lostId) head.loseMember(this._now);
  }

  private _reportAndGoOn(instance: InstanceModel): void {
    if (!instance.isAlive) return;
    const report = this._createReport(instance);
    const until = this._cutUntil.get(instance.host.name);
    if (until === undefined) this._deliver(report);
    // What a partition holds up may arrive when it is over, though its sender has ended.
    else if (this._random.next() < 0.5) {
      this._after(until - this._now + this._drawNumber(REPORT_MS), () => this._deliver(report));
    }
    this._after(REPORT_MS, () => this._reportAndGoOn(instance));
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
    const controller = this._draw(this._controllers);
    const { leadership } = controller;
    if (leadership !== undefined) this._reach(leadership, () => void leadership.addReports([report]));
    else controller.relay.addReport(this._now, report);
  }

  /** A leader takes a call once it gets round to it, if it still leads by then. */
  private _reach(leadership: FleetLeadership, call: () => void): void {
    const waitMs = this.overload.getWaitMs(this._now);
    if (waitMs === 0) call();
    else this._after(waitMs, () => (leadership.isEnded ? undefined : call()));
  }

  /** What is new is passed on at once, the rest now and then. */
  private async _relayReports(): Promise<void> {
    const leader = this._controllers.find(({ leadership }) => leadership !== undefined);
    if (leader?.leadership === undefined) return;
    for (const controller of this._controllers) {
      if (controller.tellsUntil > this._now) continue;
      if (!controller.relay.hasUpdates() && this._now % RELAY_MS !== 0) continue;
      await this._tell(controller, leader);
    }
  }

  /** A call that the leader does not answer in time is given up: its batch is put back and told again. */
  private async _tell(controller: Controller, leader: Controller): Promise<void> {
    const { name, relay } = controller;
    const leadership = leader.leadership!;
    const batch = relay.takeBatch(this._now, 40);
    const request = create(ReportRequestSchema, {
      relayAddress: name === leader.name ? "" : name,
      reports: [...batch.reports],
      signs: [...batch.signs],
    });
    const waitMs = name === leader.name ? 0 : this.overload.getWaitMs(this._now);
    const { patienceMs } = this.overload.times;
    if (waitMs === 0) {
      relay.addAnswer(leadership.term, await leadership.addRelayedReports(request));
      return;
    }
    if (waitMs <= patienceMs || this.overload.isTakenAnyway()) {
      this._after(waitMs, () =>
        leadership.isEnded ? undefined : void leadership.addRelayedReports(request),
      );
    }
    controller.tellsUntil = this._now + Math.min(waitMs, patienceMs);
    this._after(Math.min(waitMs, patienceMs), () => relay.restoreBatch(batch));
  }

  private _endLeadership(controller: Controller | undefined): void {
    controller?.leadership?.end();
    if (controller !== undefined) controller.leadership = undefined;
  }

  private _lead(controller: Controller): void {
    this._term += 1;
    const clock = { getMonotonicMs: () => this._now, getWallMs: () => this._now };
    controller.leadership = new FleetLeadership({
      driver: this._createDriver(controller),
      orders: this.orders,
      clock,
      logger: { info: () => {}, warn: () => {} } as never,
      metrics: new SilentMetrics(),
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

  /** What a leader was told of the log; one that was deposed is told no more, and its proposals stay open. */
  private _createDriver(controller: Controller): ConsensusDriver {
    const term = this._term;
    const machine = new StateMachine();
    for (const entry of this._log) machine.apply(entry);
    const members = CONTROLLERS.map((name) => ({ id: name, name, address: `${name}:1`, learner: false }));
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

  /** Notes replicas that are given up though nothing is wrong with them. */
  private _checkMove({ case: kind, value }: Command["body"], machine: StateMachine): void {
    if (kind !== "moveReplica" || value.phase !== ReplicaPhase.RETIRING || value.reason !== REASON.lost)
      return;
    const replica = machine.getReplica(value.replicaId);
    if (replica?.phase !== ReplicaPhase.SERVING) return;
    const isWell = replica.members.every(({ instanceId }) => {
      const instance = this._getRunning(instanceId);
      const isIn = instance?.place?.replicaId === replica.id && instance.place.epoch === replica.epoch;
      return instance?.isAlive && !instance.isCut && isIn && instance.place?.state !== PlaceState.BROKEN;
    });
    if (isWell) this.givenUp.push(`${replica.id} at ${this._now}`);
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
