/**
 * Members of the agreement through a series of troubles, and what is left of them once it is calm.
 *
 * A test of our own code: members are the real `RaftNode`; who is let in, replaced or taken for gone is
 * decided by the product's functions. Machines, disks, links and time are simulated. Machines join from a
 * few that they were told of, are killed, frozen, wiped, cut off, replaced by empty ones elsewhere.
 */
import { create } from "@bufbuild/protobuf";
import {
  createMembership,
  DEFAULT_TIMING,
  getNextMembership,
  getTrimmedMembership,
  getVoterCount,
  getVoters,
  isVoter,
  type MemberFacts,
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
import { JoinTimeout } from "../../src/membership/member";

/** What befalls machines. */
export const TROUBLES = [
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
export type Trouble = (typeof TROUBLES)[number];

/** How long messages wait at their receivers, and for how long a member computes once it leads, milliseconds. */
export interface Load {
  readonly waits: readonly [number, number];
  readonly firstWork: number;
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
  /** It computes or stands still until then. */
  busyUntil: number;
  leads: boolean;
  patience: JoinTimeout;
  asksAt: number;
  /** Names of the machines that it was told of when it started. */
  seeds: readonly string[];
}

interface Delivery {
  readonly at: number;
  readonly message: ConsensusMessage;
}

interface Loss {
  readonly name: string;
  readonly until: number;
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

const TICK_MS = 20;
const FOUNDERS = 3;
const LOSSES_BORNE = 2;
const JOIN_PAUSE_MS = 300;
/** A machine that is back counts as lost for so long. */
const CATCH_UP_MS = 6_000;
const MAX_MACHINES = 9;

/** Machines and the links between them. */
export class MemberSeries {
  readonly machines: Machine[] = [];
  /** What happened, for a report. */
  readonly history: string[] = [];
  /** What must never be, and was. */
  readonly violations: string[] = [];
  private readonly _random: SeededRandom;
  private readonly _seed: number;
  private readonly _cut = new Set<string>();
  private readonly _leaders = new Map<number, string>();
  private _deliveries: Delivery[] = [];
  private _events: Event[] = [];
  private _losses: Loss[] = [];
  private _now = 0;
  private _nodes = 0;
  private _names = 0;
  private _load: Load;

  constructor(size: number, seed: number, load: Load) {
    this._seed = seed;
    this._random = new SeededRandom(seed);
    this._load = load;
    const names = Array.from({ length: size }, () => this._createName());
    const founders = createMembership(names.slice(0, FOUNDERS).map((name) => createMember(name, 0)));
    for (const name of names)
      this._addMachine(name, founders.members.some((m) => m.name === name) ? founders : undefined);
  }

  /** Gets the present time, simulated milliseconds. */
  get now(): number {
    return this._now;
  }

  /** Gets the member that leads and has committed in its term, the one of the newest term. */
  getLeader(): RaftNode | undefined {
    return this._getLeading()?.node;
  }

  /** Changes how busy machines are. */
  setLoad(load: Load): void {
    this._load = load;
  }

  /** Lets simulated time pass. */
  run(milliseconds: number): void {
    const endAt = this._now + milliseconds;
    for (; this._now < endAt; this._now += TICK_MS) this._step();
  }

  /**
   * Lets time pass until an order proposed meanwhile is agreed on.
   * @returns After how long, milliseconds; `undefined` if not within the time.
   */
  findAgreement(maxMs: number): number | undefined {
    const startedAt = this._now;
    let asked: { readonly node: RaftNode; readonly term: number; readonly index: number } | undefined;
    while (this._now - startedAt < maxMs) {
      const leader = this.getLeader();
      const isLost = asked !== undefined && (leader !== asked.node || leader.term !== asked.term);
      if (leader !== undefined && (asked === undefined || isLost)) {
        const index = leader.addCommand(this._now, new Uint8Array([1]));
        asked = index === undefined ? undefined : { node: leader, term: leader.term, index };
      }
      this.run(TICK_MS);
      if (asked !== undefined && asked.node.term === asked.term && asked.node.commitIndex >= asked.index)
        return this._now - startedAt;
    }
    return undefined;
  }

  /** Begins a trouble that is over after some time; one that would lose too many machines at once is left out. */
  begin(trouble: Trouble, forMs: number): void {
    if (this._begin(trouble, forMs)) this.history.push(`${this._now} ${trouble} ${forMs}`);
  }

  /** Ends all that was begun. */
  calm(): void {
    const events = this._events;
    this._events = [];
    for (const { run } of events) run();
    this._cut.clear();
  }

  private _begin(trouble: Trouble, forMs: number): boolean {
    switch (trouble) {
      case "killLeader":
        return this._kill(this._getLeading(), forMs);
      case "killAny":
        return this._kill(this._pick(), forMs);
      case "killAll":
        for (const machine of this.machines) this._stop(machine, Math.min(forMs, 1_000), false);
        return true;
      case "freezeLeader":
        return this._freeze(this._getLeading(), forMs);
      case "wipe":
        return this._wipe(this._pick(), forMs);
      case "replace":
        return this._replace(this._pick(), forMs);
      case "cutLeader":
        return this._isolate(this._getLeading(), forMs, "both");
      case "cutLeaderOneWay":
        return this._isolate(this._getLeading(), forMs, "from");
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
    if (machine === undefined || !this._lose(machine, forMs)) return false;
    this._stop(machine, forMs, false);
    return true;
  }

  private _freeze(machine: Machine | undefined, forMs: number): boolean {
    if (machine === undefined || !this._lose(machine, forMs)) return false;
    machine.busyUntil = Number.POSITIVE_INFINITY;
    this._schedule(forMs, () => {
      machine.busyUntil = this._now;
    });
    return true;
  }

  private _wipe(machine: Machine | undefined, forMs: number): boolean {
    if (machine === undefined || !this._lose(machine, forMs)) return false;
    this._stop(machine, forMs, true);
    return true;
  }

  private _replace(machine: Machine | undefined, forMs: number): boolean {
    if (machine === undefined || !this._lose(machine, forMs)) return false;
    this.machines.splice(this.machines.indexOf(machine), 1);
    machine.node = undefined;
    this._schedule(forMs, () => this._addMachine(this._createName(), undefined));
    return true;
  }

  private _isolate(machine: Machine | undefined, forMs: number, ways: "both" | "from"): boolean {
    if (machine === undefined || !this._lose(machine, forMs)) return false;
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
    const leader = this._getLeading();
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
    for (const link of links) this._cut.add(link);
    this._schedule(forMs, () => {
      for (const link of links) this._cut.delete(link);
    });
  }

  /** Checks whether a machine may be lost now, and counts it as lost; one that is gone counts until another has taken its place. */
  private _lose(machine: Machine, forMs: number): boolean {
    this._losses = this._losses.filter(({ until }) => until > this._now);
    if (this._losses.length >= LOSSES_BORNE || this._losses.some(({ name }) => name === machine.name))
      return false;
    this._losses.push({ name: machine.name, until: this._now + forMs + CATCH_UP_MS });
    return true;
  }

  private _stop(machine: Machine, forMs: number, losesDisk: boolean): void {
    machine.node = undefined;
    machine.leads = false;
    if (losesDisk) machine.disk = createDisk(createMember(machine.name, this._nodes + 1).id);
    this._schedule(forMs, () => {
      if (machine.node === undefined && this.machines.includes(machine)) this._start(machine);
    });
  }

  private _schedule(afterMs: number, run: () => void): void {
    this._events.push({ at: this._now + afterMs, run });
  }

  private _createName(): string {
    return `m${this._names++}`;
  }

  private _addMachine(name: string, founders: Membership | undefined): Machine {
    const disk = createDisk(createMember(name, 0).id);
    if (founders !== undefined) disk.snapshot = create(SnapshotSchema, { membership: founders });
    const machine: Machine = {
      name,
      disk,
      node: undefined,
      busyUntil: 0,
      leads: false,
      patience: new JoinTimeout(),
      asksAt: 0,
      seeds: [],
    };
    this.machines.push(machine);
    this._start(machine);
    return machine;
  }

  private _start(machine: Machine): void {
    const { disk } = machine;
    this._nodes += 1;
    machine.node = new RaftNode({
      id: disk.id,
      membership: createMembership([]),
      hardState: disk.hardState,
      snapshot: disk.snapshot,
      entries: disk.entries,
      timing: DEFAULT_TIMING,
      random: new SeededRandom(this._seed * 1_000 + this._nodes),
      now: this._now,
    });
    machine.busyUntil = this._now;
    machine.leads = false;
    machine.patience = new JoinTimeout();
    machine.seeds = this.machines.slice(0, FOUNDERS).map(({ name }) => name);
  }

  private _getLeading(): Machine | undefined {
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
    const due = this._events.filter((event) => event.at <= this._now);
    this._events = this._events.filter((event) => event.at > this._now);
    for (const { run } of due) run();
    for (const machine of this.machines) {
      if (machine.node === undefined || machine.busyUntil > this._now) continue;
      this._receive(machine, machine.node);
      machine.node.tick(this._now);
      this._trim(machine.node);
      this._askToJoin(machine, machine.node);
      this._work(machine, machine.node);
      this._follow(machine, machine.node);
    }
  }

  private _receive(machine: Machine, node: RaftNode): void {
    const isDue = ({ at, message }: Delivery) => at <= this._now && message.to === machine.disk.id;
    const due = this._deliveries.filter(isDue);
    if (due.length === 0) return;
    this._deliveries = this._deliveries.filter((delivery) => !isDue(delivery));
    for (const { message } of due) node.receive(this._now, message);
  }

  private _work(machine: Machine, node: RaftNode): void {
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
    const last = ready.entries.at(-1);
    if (last !== undefined) node.setDurable(last.index, last.term);
  }

  private _send(from: Machine, message: ConsensusMessage): void {
    const to = this.machines.find(({ disk }) => disk.id === message.to);
    if (to === undefined || this._cut.has(`${from.name}>${to.name}`)) return;
    const [shortest, longest] = this._load.waits;
    const waitMs = shortest + this._random.next() * (longest - shortest);
    this._deliveries.push({ at: this._now + waitMs, message });
  }

  private _follow(machine: Machine, node: RaftNode): void {
    const leads = node.isEstablished();
    if (leads && !machine.leads) {
      machine.busyUntil = this._now + this._load.firstWork;
      this._addLeader(node);
    }
    machine.leads = leads;
  }

  private _addLeader({ id, term }: RaftNode): void {
    const known = this._leaders.get(term) ?? id;
    this._leaders.set(term, id);
    if (known !== id) this.violations.push(`term ${term} has two leaders, ${known} and ${id}`);
  }

  /** Notes each entry that members committed differently. */
  checkLogs(): void {
    const terms = new Map<number, number>();
    for (const { node } of this.machines) {
      for (const { index, term } of node?.log.getEntries(node.log.firstIndex, node.commitIndex) ?? []) {
        if (index > node!.commitIndex) break;
        const known = terms.get(index) ?? term;
        terms.set(index, term);
        if (known !== term) this.violations.push(`entry ${index} is of terms ${known} and ${term}`);
      }
    }
  }

  private _askToJoin(machine: Machine, node: RaftNode): void {
    if (this._now < machine.asksAt) return;
    machine.asksAt = this._now + JOIN_PAUSE_MS;
    const votes = isVoter(node.membership, node.id);
    const isSettling = node.leaderId !== "" || node.isElecting(this._now);
    if (!machine.patience.isExpired(this._now, votes, isSettling)) return;
    const leader = this._findLeader(machine);
    if (leader?.node === undefined || !leader.node.isEstablished() || leader.busyUntil > this._now) return;
    this._letIn(leader.node, createMember(machine.name, machine.disk.id));
    this._work(leader, leader.node);
  }

  /** A machine asks those that it was told of; they name the leader that they know. */
  private _findLeader(machine: Machine): Machine | undefined {
    const canReach = (other: Machine) =>
      other.node !== undefined &&
      other.busyUntil <= this._now &&
      !this._cut.has(`${machine.name}>${other.name}`) &&
      !this._cut.has(`${other.name}>${machine.name}`);
    const asked = this.machines.filter((other) => machine.seeds.includes(other.name) && canReach(other));
    const named = [...asked, machine].map(({ node }) => node!.leaderId).filter((id) => id !== "");
    return this.machines
      .filter(canReach)
      .find(({ disk, node }) => named.includes(disk.id) && node!.isEstablished());
  }

  private _letIn(leader: RaftNode, joiner: Member): void {
    const isCaughtUp = leader.getProgress(joiner.id)?.isCaughtUp(leader.commitIndex) === true;
    const next = getNextMembership(leader.membership, joiner, { ...this._getFacts(leader), isCaughtUp });
    if (next !== undefined) leader.addMembership(this._now, next);
  }

  private _getFacts(leader: RaftNode): MemberFacts {
    const quorumContactAt = leader.getQuorumContactAt(this._now);
    return {
      maxVoters: getVoterCount(LOSSES_BORNE),
      leaderId: leader.id,
      isGone: (id) => id !== leader.id && leader.getProgress(id)?.isGone(quorumContactAt) === true,
      isForgotten: (id) => leader.getProgress(id)?.isForgotten(quorumContactAt) === true,
    };
  }

  private _trim(leader: RaftNode): void {
    if (!leader.isEstablished()) return;
    const next = getTrimmedMembership(leader.membership, this._getFacts(leader));
    if (next !== undefined) leader.addMembership(this._now, next);
  }

  /** Gets what each machine is and believes. */
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

  /** Gets the voters of the newest leader's log that no machine runs. */
  getGoneVoters(): string[] {
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
