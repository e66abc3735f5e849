/**
 * Simulates consensus members through a series of failures and a recovery period.
 *
 * The members are real `RaftNode`s, and product code decides which members join, are replaced or count as
 * failed. Machines, disks, links and time are simulated. Machines join through a few configured seeds. They
 * are killed, paused, wiped, partitioned, or replaced by empty machines under another name.
 */
import { create } from "@bufbuild/protobuf";
import {
  createMembership,
  DEFAULT_TIMING,
  getMember,
  getRepairedMembership,
  getVoterCount,
  getVoters,
  JoinQueue,
  type MembershipContext,
  RaftNode,
  SeededRandom,
} from "../../src/consensus";
import {
  type ConsensusMessage,
  type HardState,
  HardStateSchema,
  type LogEntry,
  type Member,
  MemberSchema,
  type Membership,
  type Snapshot,
  SnapshotSchema,
} from "../../src/gen/ploverstage/v1/consensus_pb";
import { hasLeaderOrElection, JoinTimeout } from "../../src/membership/member";

/** Failures and changes that the simulation can inject. */
export const FAILURES = [
  "killLeader",
  "killAny",
  "killAll",
  "freezeLeader",
  "wipe",
  "replace",
  "cutLeader",
  "cutLeaderOneWay",
  "cutAny",
  "split",
  "add",
] as const;
export type Failure = (typeof FAILURES)[number];

/** Delay of messages at their recipients, and the time for which a new leader computes, milliseconds. */
export interface Load {
  readonly receiveDelays: readonly [number, number];
  readonly startupMs: number;
}

interface Disk {
  readonly id: string;
  hardState: HardState;
  snapshot: Snapshot | undefined;
  entries: LogEntry[];
}

interface Machine {
  readonly name: string;
  disk: Disk;
  node: RaftNode | undefined;
  /** Time until which the machine computes or is paused. */
  busyUntil: number;
  isLeader: boolean;
  joinTimeout: JoinTimeout;
  joins: JoinQueue;
  nextJoinAt: number;
  /** Names of the machines configured as seeds when the machine started. */
  seeds: readonly string[];
}

interface Delivery {
  readonly dueAt: number;
  readonly message: ConsensusMessage;
}

interface Loss {
  readonly name: string;
  readonly until: number;
}

interface TimedAction {
  readonly dueAt: number;
  readonly run: () => void;
}

const TICK_MS = 20;
const BOOTSTRAP_MEMBERS = 3;
const TOLERATED_LOSSES = 2;
const JOIN_INTERVAL_MS = 300;
/** A machine that has returned counts as lost for this long. */
const RECOVERY_MS = 6_000;
const MAX_MACHINES = 9;

/** Machines and the links between them. */
export class FailureSeries {
  readonly machines: Machine[] = [];
  /** The injected failures, for the report. */
  readonly history: string[] = [];
  /** Violated invariants. */
  readonly violations: string[] = [];
  private readonly _random: SeededRandom;
  private readonly _seed: number;
  private readonly _cutLinkNames = new Set<string>();
  private readonly _leaders = new Map<number, string>();
  private _deliveries: Delivery[] = [];
  private _actions: TimedAction[] = [];
  private _losses: Loss[] = [];
  private _now = 0;
  private _nodeCount = 0;
  private _nameCount = 0;
  private _load: Load;

  constructor(size: number, seed: number, load: Load) {
    this._seed = seed;
    this._random = new SeededRandom(seed);
    this._load = load;
    const names = Array.from({ length: size }, () => this._createName());
    const bootstrapMembership = createMembership(
      names.slice(0, BOOTSTRAP_MEMBERS).map((name) => createMember(name, 0)),
    );
    for (const name of names)
      this._addMachine(
        name,
        bootstrapMembership.members.some((m) => m.name === name) ? bootstrapMembership : undefined,
      );
  }

  /** Gets the current simulated time, milliseconds. */
  get now(): number {
    return this._now;
  }

  /** Gets the established leader with the newest term. */
  getLeader(): RaftNode | undefined {
    return this._getLeaderMachine()?.node;
  }

  /** Changes the load of the machines. */
  setLoad(load: Load): void {
    this._load = load;
  }

  /** Advances the simulated time. */
  run(milliseconds: number): void {
    const endAt = this._now + milliseconds;
    for (; this._now < endAt; this._now += TICK_MS) this._step();
  }

  /**
   * Proposes a command, again after each change of leader, and advances time until it is committed.
   * @returns The time that this took, milliseconds; `undefined` if no command was committed in time.
   */
  measureCommit(maxMs: number): number | undefined {
    const startedAt = this._now;
    let proposed: { readonly node: RaftNode; readonly term: number; readonly index: number } | undefined;
    while (this._now - startedAt < maxMs) {
      const leader = this.getLeader();
      const isLost = proposed !== undefined && (leader !== proposed.node || leader.term !== proposed.term);
      if (leader !== undefined && (proposed === undefined || isLost)) {
        const index = leader.addCommand(this._now, new Uint8Array([1]));
        proposed = index === undefined ? undefined : { node: leader, term: leader.term, index };
      }
      this.run(TICK_MS);
      if (
        proposed !== undefined &&
        proposed.node.term === proposed.term &&
        proposed.node.commitIndex >= proposed.index
      )
        return this._now - startedAt;
    }
    return undefined;
  }

  /** Injects a failure for some time. Skips it if it would take down too many machines at the same time. */
  inject(failure: Failure, forMs: number): void {
    if (this._inject(failure, forMs)) this.history.push(`${this._now} ${failure} ${forMs}`);
  }

  /** Ends all failures. */
  endFailures(): void {
    const actions = this._actions;
    this._actions = [];
    for (const { run } of actions) run();
    this._cutLinkNames.clear();
  }

  private _inject(failure: Failure, forMs: number): boolean {
    switch (failure) {
      case "killLeader":
        return this._kill(this._getLeaderMachine(), forMs);
      case "killAny":
        return this._kill(this._pick(), forMs);
      case "killAll":
        for (const machine of this.machines) this._stop(machine, Math.min(forMs, 1_000), false);
        return true;
      case "freezeLeader":
        return this._pause(this._getLeaderMachine(), forMs);
      case "wipe":
        return this._wipe(this._pick(), forMs);
      case "replace":
        return this._replace(this._pick(), forMs);
      case "cutLeader":
        return this._isolate(this._getLeaderMachine(), forMs, "both");
      case "cutLeaderOneWay":
        return this._isolate(this._getLeaderMachine(), forMs, "from");
      case "cutAny":
        return this._isolate(this._pick(), forMs, "both");
      case "split":
        return this._split(forMs);
      case "add":
        if (this.machines.length >= MAX_MACHINES) return false;
        this._addMachine(this._createName(), undefined);
        return true;
    }
  }

  private _kill(machine: Machine | undefined, forMs: number): boolean {
    if (machine === undefined || !this._addLoss(machine, forMs)) return false;
    this._stop(machine, forMs, false);
    return true;
  }

  private _pause(machine: Machine | undefined, forMs: number): boolean {
    if (machine === undefined || !this._addLoss(machine, forMs)) return false;
    machine.busyUntil = Number.POSITIVE_INFINITY;
    this._schedule(forMs, () => {
      machine.busyUntil = this._now;
    });
    return true;
  }

  private _wipe(machine: Machine | undefined, forMs: number): boolean {
    if (machine === undefined || !this._addLoss(machine, forMs)) return false;
    this._stop(machine, forMs, true);
    return true;
  }

  private _replace(machine: Machine | undefined, forMs: number): boolean {
    if (machine === undefined || !this._addLoss(machine, forMs)) return false;
    this.machines.splice(this.machines.indexOf(machine), 1);
    machine.node = undefined;
    this._schedule(forMs, () => this._addMachine(this._createName(), undefined));
    return true;
  }

  private _isolate(machine: Machine | undefined, forMs: number, ways: "both" | "from"): boolean {
    if (machine === undefined || !this._addLoss(machine, forMs)) return false;
    const links = this.machines
      .filter((other) => other !== machine)
      .flatMap((other) => {
        const from = `${machine.name}>${other.name}`;
        return ways === "both" ? [from, `${other.name}>${machine.name}`] : [from];
      });
    this._cutLinks(links, forMs);
    return true;
  }

  private _split(forMs: number): boolean {
    const leader = this._getLeaderMachine();
    const others = this.machines.filter((machine) => machine !== leader);
    const half = new Set([
      leader,
      ...this._shuffle(others).slice(0, Math.ceil(this.machines.length / 2) - 1),
    ]);
    const links = this.machines.flatMap((a) =>
      this.machines.filter((b) => half.has(a) !== half.has(b)).map((b) => `${a.name}>${b.name}`),
    );
    this._cutLinks(links, forMs);
    return true;
  }

  private _cutLinks(links: readonly string[], forMs: number): void {
    for (const link of links) this._cutLinkNames.add(link);
    this._schedule(forMs, () => {
      for (const link of links) this._cutLinkNames.delete(link);
    });
  }

  /**
   * Records the loss of a machine if the limit on simultaneous losses allows it. A replaced machine counts as
   * lost until another one has taken its place.
   */
  private _addLoss(machine: Machine, forMs: number): boolean {
    this._losses = this._losses.filter(({ until }) => until > this._now);
    if (this._losses.length >= TOLERATED_LOSSES || this._losses.some(({ name }) => name === machine.name))
      return false;
    this._losses.push({ name: machine.name, until: this._now + forMs + RECOVERY_MS });
    return true;
  }

  private _stop(machine: Machine, forMs: number, losesDisk: boolean): void {
    machine.node = undefined;
    machine.isLeader = false;
    if (losesDisk) machine.disk = createDisk(createMember(machine.name, this._nodeCount + 1).id);
    this._schedule(forMs, () => {
      if (machine.node === undefined && this.machines.includes(machine)) this._start(machine);
    });
  }

  private _schedule(afterMs: number, run: () => void): void {
    this._actions.push({ dueAt: this._now + afterMs, run });
  }

  private _createName(): string {
    return `m${this._nameCount++}`;
  }

  private _addMachine(name: string, bootstrapMembership: Membership | undefined): Machine {
    const disk = createDisk(createMember(name, 0).id);
    if (bootstrapMembership !== undefined)
      disk.snapshot = create(SnapshotSchema, { membership: bootstrapMembership });
    const machine: Machine = {
      name,
      disk,
      node: undefined,
      busyUntil: 0,
      isLeader: false,
      joinTimeout: new JoinTimeout(),
      joins: new JoinQueue(),
      nextJoinAt: 0,
      seeds: [],
    };
    this.machines.push(machine);
    this._start(machine);
    return machine;
  }

  private _start(machine: Machine): void {
    const { disk } = machine;
    this._nodeCount += 1;
    machine.node = new RaftNode({
      id: disk.id,
      membership: createMembership([]),
      hardState: disk.hardState,
      snapshot: disk.snapshot,
      entries: disk.entries,
      timing: DEFAULT_TIMING,
      random: new SeededRandom(this._seed * 1_000 + this._nodeCount),
      now: this._now,
    });
    machine.busyUntil = this._now;
    machine.isLeader = false;
    machine.joinTimeout = new JoinTimeout();
    machine.joins = new JoinQueue();
    machine.seeds = this.machines.slice(0, BOOTSTRAP_MEMBERS).map(({ name }) => name);
  }

  private _getLeaderMachine(): Machine | undefined {
    const leading = this.machines.filter(({ node }) => node?.isEstablished());
    return leading.sort((a, b) => b.node!.term - a.node!.term)[0];
  }

  private _pick(): Machine | undefined {
    return this._shuffle(this.machines)[0];
  }

  private _shuffle<T>(items: readonly T[]): T[] {
    return items
      .map((item) => ({ item, rank: this._random.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ item }) => item);
  }

  private _step(): void {
    const due = this._actions.filter((action) => action.dueAt <= this._now);
    this._actions = this._actions.filter((action) => action.dueAt > this._now);
    for (const { run } of due) run();
    for (const machine of this.machines) {
      if (machine.node === undefined || machine.busyUntil > this._now) continue;
      this._receive(machine, machine.node);
      machine.node.tick(this._now);
      this._repair(machine, machine.node);
      this._requestJoin(machine, machine.node);
      this._processReady(machine, machine.node);
      this._trackLeadership(machine, machine.node);
    }
  }

  private _receive(machine: Machine, node: RaftNode): void {
    const isDue = ({ dueAt, message }: Delivery) => dueAt <= this._now && message.to === machine.disk.id;
    const due = this._deliveries.filter(isDue);
    if (due.length === 0) return;
    this._deliveries = this._deliveries.filter((delivery) => !isDue(delivery));
    for (const { message } of due) node.receive(this._now, message);
  }

  private _processReady(machine: Machine, node: RaftNode): void {
    while (node.hasReady()) {
      const ready = node.takeReady();
      this._persist(machine.disk, node, ready);
      for (const message of [...ready.immediateMessages, ...ready.durableMessages]) {
        if (message.to === node.id) node.receive(this._now, message);
        else this._send(machine, message);
      }
    }
  }

  private _persist(
    disk: Disk,
    node: RaftNode,
    ready: { hardState: HardState | undefined; snapshot: Snapshot | undefined; entries: readonly LogEntry[] },
  ): void {
    if (ready.hardState !== undefined) disk.hardState = ready.hardState;
    if (ready.snapshot !== undefined) {
      disk.snapshot = ready.snapshot;
      disk.entries = [];
    }
    for (const entry of ready.entries) {
      disk.entries = disk.entries.filter((known) => known.index < entry.index);
      disk.entries.push(entry);
    }
    node.setDurable(ready);
  }

  private _send(from: Machine, message: ConsensusMessage): void {
    const to = this.machines.find(({ disk }) => disk.id === message.to);
    if (to === undefined || this._cutLinkNames.has(`${from.name}>${to.name}`)) return;
    const [shortest, longest] = this._load.receiveDelays;
    const waitMs = shortest + this._random.next() * (longest - shortest);
    this._deliveries.push({ dueAt: this._now + waitMs, message });
  }

  private _trackLeadership(machine: Machine, node: RaftNode): void {
    const isLeader = node.isEstablished();
    if (isLeader && !machine.isLeader) {
      machine.busyUntil = this._now + this._load.startupMs;
      this._addLeader(node);
    }
    machine.isLeader = isLeader;
  }

  private _addLeader({ id, term }: RaftNode): void {
    const known = this._leaders.get(term) ?? id;
    this._leaders.set(term, id);
    if (known !== id) this.violations.push(`term ${term} has two leaders, ${known} and ${id}`);
  }

  /** Records a violation for each index at which members committed different entries. */
  checkLogs(): void {
    const terms = new Map<number, number>();
    for (const { node } of this.machines) {
      for (const { index, term } of node?.log.getEntries(node.log.firstIndex, node.commitIndex) ?? []) {
        if (index > node!.commitIndex) break;
        const known = terms.get(index) ?? term;
        terms.set(index, term);
        if (known !== term)
          this.violations.push(`entry ${index} is committed with terms ${known} and ${term}`);
      }
    }
  }

  private _requestJoin(machine: Machine, node: RaftNode): void {
    if (this._now < machine.nextJoinAt) return;
    machine.nextJoinAt = this._now + JOIN_INTERVAL_MS;
    const isMember = getMember(node.membership, node.id) !== undefined;
    if (!machine.joinTimeout.isExpired(this._now, isMember, hasLeaderOrElection(this._now, node))) return;
    const leader = this._findLeader(machine);
    if (leader?.node === undefined || !leader.node.isEstablished() || leader.busyUntil > this._now) return;
    leader.joins.add(this._now, createMember(machine.name, machine.disk.id));
    this._repair(leader, leader.node);
    this._processReady(leader, leader.node);
  }

  /**
   * Finds the leader through the seeds of a machine: each seed that it can reach returns the leader that it
   * has recorded.
   */
  private _findLeader(machine: Machine): Machine | undefined {
    const canReach = (other: Machine) =>
      other.node !== undefined &&
      other.busyUntil <= this._now &&
      !this._cutLinkNames.has(`${machine.name}>${other.name}`) &&
      !this._cutLinkNames.has(`${other.name}>${machine.name}`);
    const reachableSeeds = this.machines.filter(
      (other) => machine.seeds.includes(other.name) && canReach(other),
    );
    const leaderIds = [...reachableSeeds, machine]
      .map(({ node }) => node!.leaderId)
      .filter((id) => id !== "");
    return this.machines
      .filter(canReach)
      .find(({ disk, node }) => leaderIds.includes(disk.id) && node!.isEstablished());
  }

  private _getMembershipContext(leader: RaftNode): MembershipContext {
    const quorumContactAt = leader.getQuorumContactAt(this._now);
    return {
      maxVoters: getVoterCount(TOLERATED_LOSSES),
      leaderId: leader.id,
      isUnresponsive: (id) =>
        id !== leader.id && leader.getProgress(id)?.isUnresponsive(quorumContactAt) === true,
      isExpired: (id) => leader.getProgress(id)?.isExpired(quorumContactAt) === true,
      isReady: (id) => {
        const progress = leader.getProgress(id);
        return progress?.isCaughtUp(leader.commitIndex) === true && progress.isPresent(quorumContactAt);
      },
    };
  }

  private _repair({ joins }: Machine, leader: RaftNode): void {
    if (!leader.isEstablished()) {
      joins.clear();
      return;
    }
    const next =
      joins.getNextMembership(this._now, leader.membership) ??
      getRepairedMembership(leader.membership, this._getMembershipContext(leader));
    if (next !== undefined) leader.addMembership(this._now, next);
  }

  /** Gets the state of each machine. */
  describe(): string[] {
    return this.machines.map(({ name, disk, node }) => {
      const voters =
        node === undefined
          ? ""
          : getVoters(node.membership)
              .map(({ id }) => id)
              .join();
      return `${name}: ${disk.id} ${node?.role} term ${node?.term} leader ${node?.leaderId} last ${node?.log.lastIndex}/${node?.log.lastTerm} voters ${voters}`;
    });
  }

  /** Gets the voters of the newest leader's membership that run on no machine. */
  getMissingVoters(): string[] {
    const leader = this.getLeader();
    const running = new Set(
      this.machines.filter(({ node }) => node !== undefined).map(({ disk }) => disk.id),
    );
    return getVoters(leader?.membership ?? createMembership([]))
      .map(({ id }) => id)
      .filter((id) => !running.has(id));
  }
}

function createDisk(id: string): Disk {
  return { id, hardState: create(HardStateSchema, {}), snapshot: undefined, entries: [] };
}

function createMember(name: string, idOrNumber: string | number): Member {
  const id = typeof idOrNumber === "string" ? idOrNumber : `${name}.${idOrNumber}`;
  return create(MemberSchema, { id, name, address: `${name}:1` });
}
