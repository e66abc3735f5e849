/**
 * Runs several members in one process under a schedule of failures, with checks after each step.
 *
 * The members are real `RaftNode`s and `StateMachine`s. Disks, network and time are simulated, so that writes
 * can be lost before their sync and messages can be late, lost, duplicated and reordered.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import type { Ready } from "../../src/consensus";
import {
  createMembership,
  getRepairedMembership,
  getVoters,
  JoinQueue,
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
import { type Command, CommandSchema, ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { type CommandResult, StateMachine } from "../../src/state";
import { createIncarnation } from "../support/createIncarnation";

/** One step of a schedule. Indexes are reduced modulo the number of members or messages. */
export type Step =
  | { readonly kind: "advance"; readonly ms: number }
  | { readonly kind: "settle"; readonly rounds: number }
  | { readonly kind: "deliver" | "drop" | "double"; readonly at: number }
  | { readonly kind: "propose"; readonly member: number; readonly choice: number }
  | {
      readonly kind: "read" | "transfer" | "snapshot" | "restart" | "wipe" | "join" | "pause" | "resume";
      readonly member: number;
    }
  | { readonly kind: "crash"; readonly member: number; readonly isSynced: boolean }
  | { readonly kind: "cut" | "heal"; readonly from: number; readonly to: number };

/** Injected defects, which the checks must detect. */
export type Defect = "none" | "answersBeforeSync" | "smallQuorum" | "readsWithoutConfirming";

/** The failure of an invariant check. */
export class Violation extends Error {}

const TIMING = { heartbeatMs: 50, electionMinMs: 200, electionMaxMs: 400 };
const RETAINED_ENTRIES = 3;
const MAX_MESSAGES = 400;

/** A node whose quorum is one member too small. */
class SmallQuorumNode extends RaftNode {
  protected override getQuorumSize(): number {
    return Math.max(1, super.getQuorumSize() - 1);
  }
}

interface Disk {
  readonly id: string;
  hardState: HardState;
  snapshot: Snapshot | undefined;
  entries: LogEntry[];
}

interface Read {
  readonly committedBefore: number;
}

/** One member. Its disk survives a crash, but not a wipe. */
interface Host {
  readonly name: string;
  disk: Disk;
  node: RaftNode | undefined;
  machine: StateMachine;
  incarnation: number;
  isPaused: boolean;
  reads: Map<number, Read>;
}

/** The members and the network between them. */
export class ConsensusModel {
  private readonly _defect: Defect;
  private readonly _hosts: Host[];
  private readonly _cutLinks = new Set<string>();
  private readonly _leaders = new Map<number, string>();
  private readonly _committed = new Map<number, string>();
  private readonly _acceptedVersions = new Map<number, string>();
  private readonly _wipedIds = new Set<string>();
  private _messages: ConsensusMessage[] = [];
  private _now = 0;
  private _nextSeed = 1;
  private _proposalCount = 0;
  /** Number of committed entries; an entry that several members apply counts once. */
  committedCount = 0;
  /** Number of log entries sent to each member; an entry that is sent again counts again. */
  readonly sentEntries = [] as number[];

  constructor(size: number, defect: Defect = "none") {
    this._defect = defect;
    const members = Array.from({ length: size }, (_, i) => createMember(`m${i}`, 0));
    this._hosts = members.map((member) => this._createHost(member, createMembership(members)));
  }

  /** Executes one step, then checks all invariants. */
  run(step: Step): void {
    this._execute(step);
    this._check();
  }

  /** Ends all failures, then checks that no committed entry is missing and that commands still commit. */
  finish(): void {
    this._cutLinks.clear();
    for (const host of this._hosts) {
      host.isPaused = false;
      if (host.node === undefined) this._start(host);
    }
    for (let i = 0; i < 200; i++) {
      this._deliverRounds(1);
      this._join();
    }
    this._check();
    const leader = this._getLeader();
    if (leader === undefined) throw new Violation("no leader after all failures have ended");
    const before = this.committedCount;
    this._propose(leader, 0);
    this._deliverRounds(20);
    this._check();
    if (this.committedCount === before)
      throw new Violation("no command is committed after all failures have ended");
    this._checkAllApplied();
  }

  /** Gets the members' terms; 0 for a member that is down. */
  getTerms(): number[] {
    return this._hosts.map((host) => host.node?.term ?? 0);
  }

  /** Gets the names of the members that have the leader role in the newest term. */
  getLeaderNames(): string[] {
    const term = Math.max(...this.getTerms());
    return this._hosts
      .filter((host) => host.node?.role === "leader" && host.node.term === term)
      .map((host) => host.name);
  }

  private _execute(step: Step): void {
    switch (step.kind) {
      case "advance":
        this._advance(step.ms);
        break;
      case "settle":
        this._deliverRounds(step.rounds);
        break;
      case "deliver":
        this._deliverAt(step.at, true);
        break;
      case "double":
        this._deliverAt(step.at, false);
        break;
      case "drop":
        if (this._messages.length > 0) this._messages.splice(step.at % this._messages.length, 1);
        break;
      case "propose":
        // Most proposals go to the leader, because others are rejected.
        this._propose(this._getProposer(step.member), step.choice);
        break;
      case "read":
        this._read(this._getHost(step.member));
        break;
      case "transfer": {
        const host = this._getHost(step.member);
        host.node?.transferLeadership();
        this._pump(host);
        break;
      }
      case "snapshot":
        this._snapshot(this._getHost(step.member));
        break;
      case "crash":
        this._crash(this._getHost(step.member), step.isSynced);
        break;
      case "restart": {
        const host = this._getHost(step.member);
        if (host.node === undefined) this._start(host);
        break;
      }
      case "wipe":
        this._wipe(this._getHost(step.member));
        break;
      case "join":
        this._join();
        break;
      case "pause":
        this._getHost(step.member).isPaused = true;
        break;
      case "resume":
        this._getHost(step.member).isPaused = false;
        break;
      case "cut":
        this._cutLinks.add(this._getLink(step.from, step.to));
        break;
      case "heal":
        this._cutLinks.delete(this._getLink(step.from, step.to));
    }
  }

  private _getHost(at: number): Host {
    return this._hosts[at % this._hosts.length]!;
  }

  private _getProposer(member: number): Host {
    return (member > 0 ? this._getLeader() : undefined) ?? this._getHost(member);
  }

  private _getLink(from: number, to: number): string {
    return `${this._getHost(from).name}>${this._getHost(to).name}`;
  }

  private _createHost(member: Member, membership: Membership): Host {
    const snapshot = create(SnapshotSchema, { membership });
    const disk = { id: member.id, hardState: create(HardStateSchema), snapshot, entries: [] };
    const host: Host = {
      name: member.name,
      disk,
      node: undefined,
      machine: new StateMachine(),
      incarnation: 0,
      isPaused: false,
      reads: new Map(),
    };
    this._start(host);
    return host;
  }

  private _start(host: Host): void {
    const { disk } = host;
    const options = {
      id: disk.id,
      membership: createMembership([]),
      hardState: disk.hardState,
      snapshot: disk.snapshot,
      entries: disk.entries.filter((entry) => entry.index > (disk.snapshot?.index ?? 0)),
      timing: TIMING,
      random: new SeededRandom(this._nextSeed++),
      now: this._now,
    };
    host.node = this._defect === "smallQuorum" ? new SmallQuorumNode(options) : new RaftNode(options);
    host.machine = createMachine(disk.snapshot);
    host.reads = new Map();
  }

  private _advance(ms: number): void {
    this._now += ms;
    for (const host of this._hosts) {
      if (host.isPaused) continue;
      host.node?.tick(this._now);
      this._pump(host);
    }
  }

  /** Delivers all messages in flight, round after round, with 30 ms between rounds. */
  private _deliverRounds(rounds: number): void {
    for (let i = 0; i < rounds; i++) {
      this._advance(30);
      const waiting = this._messages;
      this._messages = [];
      for (const message of waiting) this._deliver(message);
    }
  }

  private _deliverAt(at: number, isRemoved: boolean): void {
    if (this._messages.length === 0) return;
    const index = at % this._messages.length;
    const message = this._messages[index]!;
    if (isRemoved) this._messages.splice(index, 1);
    this._deliver(message);
  }

  private _deliver(message: ConsensusMessage): void {
    const host = this._hosts.find((candidate) => candidate.disk.id === message.to);
    const from = this._hosts.find((candidate) => candidate.disk.id === message.from);
    if (host?.node === undefined || from === undefined) return;
    if (this._cutLinks.has(`${from.name}>${host.name}`)) return;
    // Messages to a paused member wait in its sockets.
    if (host.isPaused) {
      this._send([message]);
      return;
    }
    host.node.receive(this._now, message);
    this._pump(host);
  }

  private _countEntries({ to, body }: ConsensusMessage): void {
    if (body.case !== "appendRequest") return;
    const member = this._hosts.findIndex((host) => host.disk.id === to);
    this.sentEntries[member] = (this.sentEntries[member] ?? 0) + body.value.entries.length;
  }

  private _send(messages: readonly ConsensusMessage[]): void {
    this._messages.push(...messages);
    if (this._messages.length > MAX_MESSAGES) this._messages = this._messages.slice(-MAX_MESSAGES);
  }

  private _pump(host: Host): void {
    while (host.node?.hasReady()) this._processReady(host, host.node.takeReady());
  }

  private _processReady(host: Host, ready: Ready): void {
    for (const message of ready.immediateMessages) this._countEntries(message);
    this._send(ready.immediateMessages);
    this._persist(host, ready);
    this._finishReady(host, ready);
  }

  private _finishReady(host: Host, ready: Ready): void {
    for (const message of ready.durableMessages) {
      if (message.to === host.disk.id) host.node!.receive(this._now, message);
      else this._send([message]);
    }
    for (const entry of ready.committed) this._apply(host, entry);
    for (const { id, readIndex } of ready.confirmed) this._checkRead(host, id, readIndex);
  }

  private _persist(host: Host, ready: Ready): void {
    if (ready.hardState !== undefined) host.disk.hardState = ready.hardState;
    if (ready.snapshot !== undefined) {
      host.disk.snapshot = ready.snapshot;
      host.disk.entries = [];
      host.machine = createMachine(ready.snapshot);
    }
    for (const entry of ready.entries) {
      host.disk.entries = host.disk.entries.filter((known) => known.index < entry.index);
      host.disk.entries.push(entry);
    }
    host.node!.setDurable(ready);
  }

  /** Crashes a member while it processes a `Ready`: messages that depend on the sync are not sent. */
  private _crash(host: Host, isSynced: boolean): void {
    const { node } = host;
    if (node === undefined) return;
    node.tick(this._now);
    if (node.hasReady()) {
      const ready = node.takeReady();
      this._send(ready.immediateMessages);
      if (isSynced) this._persist(host, ready);
      else if (this._defect === "answersBeforeSync") this._send(ready.durableMessages);
    }
    host.node = undefined;
  }

  /**
   * Delivers one message, then crashes and restarts the member. With the defect `answersBeforeSync`, the
   * response is sent before its write is synced, and the crash loses the write.
   */
  private _receiveThenCrash(host: Host): void {
    const at = this._messages.findIndex((message) => message.to === host.disk.id);
    const message = this._messages[at];
    if (host.node === undefined || message === undefined) return;
    this._messages.splice(at, 1);
    host.node.receive(this._now, message);
    this._crash(host, false);
    this._start(host);
  }

  private _wipe(host: Host): void {
    if (this._defect === "answersBeforeSync") {
      this._receiveThenCrash(host);
      return;
    }
    const survives = this._hosts.every((other) => {
      const voters = getVoters(other.node?.membership ?? createMembership([]));
      const lost = voters.filter((voter) => this._wipedIds.has(voter.id) || voter.id === host.disk.id).length;
      return lost <= Math.floor((voters.length - 1) / 2);
    });
    const isVoting =
      host.node !== undefined && getVoters(host.node.membership).some((v) => v.id === host.disk.id);
    if (!survives || !isVoting) return;
    this._wipedIds.add(host.disk.id);
    host.incarnation += 1;
    const id = createMember(host.name, host.incarnation).id;
    host.disk = { id, hardState: create(HardStateSchema), snapshot: undefined, entries: [] };
    this._start(host);
  }

  /** Performs the next join step for each host that is not a voter. */
  private _join(): void {
    const leader = this._getLeader();
    if (leader?.node === undefined || !leader.node.isEstablished() || leader.isPaused) return;
    const { node } = leader;
    for (const host of this._hosts) {
      const joins = new JoinQueue();
      joins.add(this._now, createMember(host.name, host.incarnation));
      const isReady = (id: string) => (node.getProgress(id)?.matchIndex ?? -1) >= node.commitIndex;
      const next =
        joins.getNextMembership(this._now, node.membership) ??
        getRepairedMembership(node.membership, { isReady });
      if (next !== undefined) node.addMembership(this._now, next);
      this._pump(leader);
    }
  }

  private _getLeader(): Host | undefined {
    const leaders = this._hosts.filter((host) => host.node?.role === "leader");
    return leaders.sort((a, b) => b.node!.term - a.node!.term)[0];
  }

  private _propose(host: Host, choice: number): void {
    if (host.node === undefined || host.isPaused) return;
    this._proposalCount += 1;
    host.node.addCommand(this._now, createCommand(host.machine, this._proposalCount, choice));
    this._pump(host);
  }

  private _read(host: Host): void {
    if (host.node === undefined || host.isPaused) return;
    const committedBefore = Math.max(0, ...this._committed.keys());
    if (this._defect === "readsWithoutConfirming" && host.node.role === "leader") {
      this._throwIfStale(host.node.commitIndex, committedBefore);
      return;
    }
    const id = host.node.addBarrier(this._now);
    if (id !== undefined) host.reads.set(id, { committedBefore });
    this._pump(host);
  }

  private _checkRead(host: Host, id: number, readIndex: number): void {
    const read = host.reads.get(id);
    host.reads.delete(id);
    if (read !== undefined) this._throwIfStale(readIndex, read.committedBefore);
  }

  private _throwIfStale(readIndex: number, committedBefore: number): void {
    if (readIndex < committedBefore) {
      throw new Violation(
        `a read at index ${readIndex} misses entry ${committedBefore}, which was applied before the read started`,
      );
    }
  }

  private _snapshot(host: Host): void {
    const { node, disk } = host;
    const index = host.machine.appliedIndex;
    if (node === undefined || index <= (disk.snapshot?.index ?? 0)) return;
    const snapshot = create(SnapshotSchema, {
      index,
      term: node.log.getTerm(index)!,
      membership: node.log.getMembership(index),
      state: host.machine.encode(),
    });
    disk.snapshot = snapshot;
    disk.entries = disk.entries.filter((entry) => entry.index > index);
    node.setSnapshot(snapshot, RETAINED_ENTRIES);
  }

  private _apply(host: Host, entry: LogEntry): void {
    const content = describeEntry(entry);
    const known = this._committed.get(entry.index);
    if (known !== undefined && known !== content) {
      throw new Violation(
        `entry ${entry.index} is ${content} on ${host.name}, but was committed as ${known}`,
      );
    }
    if (known === undefined) this.committedCount += 1;
    this._committed.set(entry.index, content);
    const result = host.machine.apply(entry);
    this._recordAcceptedVersion(entry, result);
  }

  private _recordAcceptedVersion(entry: LogEntry, result: CommandResult | undefined): void {
    if (result?.kind !== "acceptedConfiguration") return;
    const known = this._acceptedVersions.get(result.version);
    const content = describeEntry(entry);
    if (known !== undefined && known !== content) {
      throw new Violation(`version ${result.version} was accepted twice: ${known} and ${content}`);
    }
    this._acceptedVersions.set(result.version, content);
  }

  private _check(): void {
    for (const host of this._hosts) {
      this._checkLeader(host);
      checkReplicas(host);
    }
  }

  private _checkLeader(host: Host): void {
    if (host.node?.role !== "leader") return;
    const known = this._leaders.get(host.node.term);
    if (known !== undefined && known !== host.disk.id) {
      throw new Violation(`term ${host.node.term} has two leaders, ${known} and ${host.disk.id}`);
    }
    this._leaders.set(host.node.term, host.disk.id);
  }

  private _checkAllApplied(): void {
    const last = Math.max(...this._committed.keys());
    for (const host of this._hosts) {
      if (host.machine.appliedIndex < last) {
        throw new Violation(
          `${host.name} applied only entries up to ${host.machine.appliedIndex} of ${last} after all failures have ended`,
        );
      }
    }
    const states = new Set(this._hosts.map((host) => Buffer.from(host.machine.encode()).toString("hex")));
    if (states.size !== 1) throw new Violation("the members' states differ after all failures have ended");
  }
}

function checkReplicas(host: Host): void {
  const holders = new Map<string, string>();
  for (const replica of host.machine.getReplicas()) {
    for (const member of replica.members) {
      const known = holders.get(member.instanceId);
      if (known !== undefined)
        throw new Violation(`${member.instanceId} is a member of replicas ${known} and ${replica.id}`);
      holders.set(member.instanceId, replica.id);
    }
  }
}

function createMachine(snapshot: Snapshot | undefined): StateMachine {
  return new StateMachine(snapshot === undefined || snapshot.state.length === 0 ? undefined : snapshot.state);
}

function createMember(name: string, incarnation: number): Member {
  return create(MemberSchema, { id: `${name}.${incarnation}`, name, address: name });
}

function describeEntry(entry: LogEntry): string {
  const body =
    entry.body.case === "command" ? Buffer.from(entry.body.value).toString("hex") : entry.body.case;
  return `${entry.term}:${body}`;
}

const INSTANCES = 5;

/** Creates a configuration or replica command from the proposer's view of the state. */
function createCommand(machine: StateMachine, number: number, choice: number): Uint8Array {
  const replicas = machine.getReplicas();
  const replica = replicas[choice % Math.max(1, replicas.length)];
  const body = ((): Command["body"] => {
    if (choice % 3 === 0) {
      const baseVersion = machine.getConfiguration()?.version ?? 0;
      const change = { changeId: `c${number}`, baseVersion, operator: "o", text: `t${number}`, atMs: number };
      return { case: "setConfiguration", value: { $typeName: "ploverstage.v1.SetConfiguration", ...change } };
    }
    if (choice % 3 === 1 || replica === undefined) {
      const members = [choice, choice + 1].map((i) => ({
        $typeName: "ploverstage.v1.ReplicaMember" as const,
        ...createIncarnation(`i${i % INSTANCES}`),
        address: "",
        failureDomain: "",
      }));
      const form = {
        group: "g",
        model: "m",
        modelVersion: "1",
        adapters: [],
        fabricDomain: "f",
        reason: "",
        members,
      };
      return {
        case: "formReplica",
        value: { $typeName: "ploverstage.v1.FormReplica", ...form, atMs: number },
      };
    }
    const phase = replica.phase === ReplicaPhase.FORMING ? ReplicaPhase.SERVING : ReplicaPhase.RELEASED;
    const move = { replicaId: replica.id, epoch: replica.epoch, phase, reason: "", atMs: number };
    return { case: "moveReplica", value: { $typeName: "ploverstage.v1.MoveReplica", ...move } };
  })();
  return toBinary(CommandSchema, create(CommandSchema, { body }));
}
