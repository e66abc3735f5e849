/**
 * Runs a consensus node over real storage and a real transport.
 *
 * One turn at a time: take what the node wants, sync it, send, apply. Proposals that
 * arrive during a sync share the next one (group commit).
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { type Clock, pause } from "../clock";
import { AbsentLeader, FullProposalQueue, UnknownProposal } from "../errors";
import {
  type ConsensusMessage,
  type HardState,
  HardStateSchema,
  type LogEntry,
  type Member,
  type Snapshot,
  SnapshotSchema,
} from "../gen/ploverstage/v1/consensus_pb";
import { type Command, CommandSchema } from "../gen/ploverstage/v1/state_pb";
import { MemberId } from "../ids";
import type { Storage } from "../log";
import { type CommandResult, StateMachine } from "../state";
import { getMember, getNextMembership, getTrimmedMembership, type MemberFacts } from "./membership";
import type { RaftNode } from "./RaftNode";
import type { ConfirmedBarrier, Ready } from "./Ready";

/** Sends messages to other members; losing some is allowed. */
export interface Transport {
  /** Queues a message for its receiver. */
  send(message: ConsensusMessage, address: string): void;
}

/** What a driver works with. */
export interface ConsensusDriverOptions {
  readonly node: RaftNode;
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly storage: Storage;
  readonly transport: Transport;
  /**
   * Gives the address at which this process reaches a member that its log may not know yet:
   * a joiner answers the leader before it has learned who the members are.
   */
  readonly getAddress: (memberId: MemberId) => string | undefined;
  readonly clock: Clock;
  /** Voters wanted at the most; without a bound every joiner votes. */
  readonly maxVoters?: number;
  /** Called once when storage or an invariant fails: the process must stop. */
  readonly onFatal: (cause: unknown) => void;
}

interface PendingProposal {
  readonly index: number;
  readonly term: number;
  readonly resolve: (result: CommandResult | undefined) => void;
  readonly reject: (error: unknown) => void;
}

interface PendingBarrier {
  readonly term: number;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

const TICK_MS = 20;
const MAX_PENDING_PROPOSALS = 10_000;
/** A snapshot is taken once this many entries were applied since the last one. */
const SNAPSHOT_ENTRIES = 2_000;
/** Entries kept in memory behind a snapshot for members that lag a little. */
const KEPT_ENTRIES = 500;

/** A member of the agreed state at work. */
export class ConsensusDriver {
  /** The pure protocol. */
  readonly node: RaftNode;
  private readonly _storage: Storage;
  private readonly _transport: Transport;
  private readonly _getAddress: (memberId: MemberId) => string | undefined;
  private readonly _clock: Clock;
  private readonly _maxVoters: number | undefined;
  private readonly _onFatal: (cause: unknown) => void;
  private readonly _stateListeners: (() => void)[] = [];
  private _machine: StateMachine;
  private _hardState: HardState;
  private _snapshotIndex: number;
  private _timer: NodeJS.Timeout | undefined;
  private _isPumping = false;
  private _isStopped = false;
  private _proposals = new Map<number, PendingProposal>();
  private _barriers = new Map<number, PendingBarrier>();
  private _newBarriers: PendingBarrier[] = [];

  /**
   * @param options - Node, storage, transport, clock, and what to do on a fatal failure.
   */
  constructor(options: ConsensusDriverOptions) {
    this.node = options.node;
    this._storage = options.storage;
    this._transport = options.transport;
    this._getAddress = options.getAddress;
    this._clock = options.clock;
    this._maxVoters = options.maxVoters;
    this._onFatal = options.onFatal;
    this._hardState = options.hardState;
    this._snapshotIndex = options.snapshot?.index ?? 0;
    this._machine = new StateMachine(getStateBytes(options.snapshot));
  }

  /** Gets the state as applied here. */
  get machine(): StateMachine {
    return this._machine;
  }

  /** Checks whether this member leads and has committed in its term. */
  isLeader(): boolean {
    return this.node.isEstablished();
  }

  /** Gets the address of the leader as known here, empty when unknown. */
  getLeaderAddress(): string {
    return getMember(this.node.membership, this.node.leaderId)?.address ?? "";
  }

  /**
   * Gets when this follower heard its leader last, as long as it has applied all that leaders told it was committed.
   * @returns Monotonic milliseconds; `undefined` while it lacks any of that, or knows no leader.
   */
  getCaughtUpContactAt(): number | undefined {
    const isCaughtUp = this._machine.appliedIndex >= this.node.toldCommitIndex;
    return isCaughtUp ? this.node.getLeaderContactAt() : undefined;
  }

  /** Adds a listener that is called after each change of the state: an applied entry, or a snapshot in its place. */
  addStateListener(listener: () => void): void {
    this._stateListeners.push(listener);
  }

  /** Starts ticking. */
  start(): void {
    this._timer = setInterval(() => this._tick(), TICK_MS);
  }

  /**
   * Hands the lead over before a planned stop, so that the others need not miss it first.
   * @param totalMs - The longest time to wait for a successor.
   */
  async transferLeadership(totalMs: number): Promise<void> {
    if (!this.node.transferLeadership()) return;
    this._pump();
    const endAt = this._clock.getMonotonicMs() + totalMs;
    while (this.node.role === "leader" && this._clock.getMonotonicMs() < endAt) {
      await pause(TICK_MS);
    }
  }

  /** Stops ticking and closes the storage; waiting proposals are rejected as unknown. */
  async stop(): Promise<void> {
    this._isStopped = true;
    clearInterval(this._timer);
    this._rejectAll();
    while (this._isPumping) await new Promise((resolve) => setImmediate(resolve));
    await this._storage.close();
  }

  /** Takes messages from another member. */
  deliver(messages: readonly ConsensusMessage[]): void {
    if (this._isStopped) return;
    this._guard(() => {
      for (const message of messages) this.node.receive(this._clock.getMonotonicMs(), message);
    });
    this._pump();
  }

  /**
   * Proposes a command and waits until it is applied here.
   * @throws AbsentLeader - When this member doesn't lead: nothing was proposed.
   * @throws UnknownProposal - When leadership was lost meanwhile.
   * @throws FullProposalQueue
   */
  propose(body: Command["body"]): Promise<CommandResult | undefined> {
    const bytes = toBinary(CommandSchema, create(CommandSchema, { body }));
    if (this._proposals.size >= MAX_PENDING_PROPOSALS) {
      return Promise.reject(new FullProposalQueue({ limit: MAX_PENDING_PROPOSALS }));
    }
    const index = this._isStopped ? undefined : this.node.addCommand(this._clock.getMonotonicMs(), bytes);
    if (index === undefined) return Promise.reject(this._createAbsentLeader());
    return new Promise((resolve, reject) => {
      this._proposals.set(index, { index, term: this.node.term, resolve, reject });
      this._pump();
    });
  }

  /**
   * Waits until a majority confirmed, after this call, that this member leads, and
   * the state is applied as far as it was committed then.
   * @throws AbsentLeader
   */
  confirmLeadership(): Promise<void> {
    return new Promise((resolve, reject) => {
      this._newBarriers.push({ term: this.node.term, resolve, reject });
      // Calls of the same turn of the event loop share one round of messages.
      if (this._newBarriers.length === 1) setImmediate(() => this._startBarriers());
    });
  }

  /**
   * Takes the next step of letting a joiner vote.
   * @returns Whether the joiner votes already.
   * @throws AbsentLeader
   */
  addJoiningMember(joiner: Member): boolean {
    if (!this.isLeader()) throw this._createAbsentLeader();
    const now = this._clock.getMonotonicMs();
    const isCaughtUp = this.node.getProgress(joiner.id)?.isCaughtUp(this.node.commitIndex) === true;
    const facts = { ...this._getMemberFacts(now), isCaughtUp };
    const next = getNextMembership(this.node.membership, joiner, facts);
    if (next !== undefined) this.node.addMembership(now, next);
    this._pump();
    const present = getMember(this.node.membership, joiner.id);
    return present !== undefined && !present.learner;
  }

  private _getMemberFacts(now: number): MemberFacts {
    const quorumContactAt = this.node.getQuorumContactAt(now);
    return {
      maxVoters: this._maxVoters,
      leaderId: this.node.id,
      isGone: (id) => id !== this.node.id && this.node.getProgress(id)?.isGone(quorumContactAt) === true,
      isForgotten: (id) => this.node.getProgress(id)?.isForgotten(quorumContactAt) === true,
    };
  }

  private _trimMembership(now: number): void {
    if (!this.isLeader()) return;
    const next = getTrimmedMembership(this.node.membership, this._getMemberFacts(now));
    if (next !== undefined) this.node.addMembership(now, next);
  }

  private _createAbsentLeader(): AbsentLeader {
    return new AbsentLeader({ leaderAddress: this.getLeaderAddress() });
  }

  private _tick(): void {
    const now = this._clock.getMonotonicMs();
    this._guard(() => {
      this.node.tick(now);
      this._trimMembership(now);
    });
    this._pump();
  }

  private _startBarriers(): void {
    const waiting = this._newBarriers;
    this._newBarriers = [];
    const id = this._isStopped ? undefined : this.node.addBarrier(this._clock.getMonotonicMs());
    if (id === undefined) {
      for (const barrier of waiting) barrier.reject(this._createAbsentLeader());
      return;
    }
    this._barriers.set(id, {
      term: this.node.term,
      resolve: () => {
        for (const barrier of waiting) barrier.resolve();
      },
      reject: (error) => {
        for (const barrier of waiting) barrier.reject(error);
      },
    });
    this._pump();
  }

  private _guard(action: () => void): void {
    try {
      action();
    } catch (cause) {
      this._fail(cause);
    }
  }

  private _fail(cause: unknown): void {
    if (this._isStopped) return;
    this._isStopped = true;
    clearInterval(this._timer);
    this._rejectAll();
    this._onFatal(cause);
  }

  private _pump(): void {
    if (this._isPumping || this._isStopped) return;
    this._isPumping = true;
    this._runTurns()
      .catch((cause: unknown) => this._fail(cause))
      .finally(() => {
        this._isPumping = false;
      });
  }

  private async _runTurns(): Promise<void> {
    while (!this._isStopped && this.node.hasReady()) await this._runTurn(this.node.takeReady());
    this._rejectLost();
  }

  private async _runTurn(ready: Ready): Promise<void> {
    this._sendAll(ready.immediateMessages);
    await this._persist(ready);
    this._sendAll(ready.durableMessages);
    for (const entry of ready.committed) this._apply(entry);
    for (const confirmed of ready.confirmed) this._resolveBarrier(confirmed);
    await this._snapshotIfDue();
  }

  private async _persist(ready: Ready): Promise<void> {
    if (ready.hardState !== undefined) this._hardState = ready.hardState;
    if (ready.snapshot !== undefined) {
      await this._storage.writeSnapshot(ready.snapshot, this._hardState, ready.entries);
      this._snapshotIndex = ready.snapshot.index;
      this._machine = new StateMachine(getStateBytes(ready.snapshot));
      this._tellState();
    } else if (ready.hardState !== undefined || ready.entries.length > 0) {
      await this._storage.writeBatch({ hardState: ready.hardState, entries: ready.entries });
    }
    const last = ready.entries.at(-1);
    if (last !== undefined) this.node.setDurable(last.index, last.term);
  }

  private _sendAll(messages: readonly ConsensusMessage[]): void {
    for (const message of messages) {
      if (message.to === this.node.id) this.node.receive(this._clock.getMonotonicMs(), message);
      else this._send(message);
    }
  }

  private _send(message: ConsensusMessage): void {
    const known = getMember(this.node.membership, message.to)?.address;
    const address = this._getAddress(MemberId(message.to)) ?? known;
    if (address !== undefined) this._transport.send(message, address);
  }

  private _apply(entry: LogEntry): void {
    const result = this._machine.apply(entry);
    const proposal = this._proposals.get(entry.index);
    if (proposal !== undefined) {
      this._proposals.delete(entry.index);
      if (proposal.term === entry.term) proposal.resolve(result);
      else proposal.reject(this._createAbsentLeader());
    }
    this._tellState();
  }

  private _tellState(): void {
    for (const listener of this._stateListeners) listener();
  }

  private _resolveBarrier(confirmed: ConfirmedBarrier): void {
    const barrier = this._barriers.get(confirmed.id);
    this._barriers.delete(confirmed.id);
    barrier?.resolve();
  }

  /** Rejects what waited on a leadership that is over. */
  private _rejectLost(): void {
    const leads = this.node.role === "leader";
    for (const [id, barrier] of this._barriers) {
      if (leads && barrier.term === this.node.term) continue;
      this._barriers.delete(id);
      barrier.reject(this._createAbsentLeader());
    }
    for (const proposal of this._proposals.values()) {
      if (leads && proposal.term === this.node.term) continue;
      this._proposals.delete(proposal.index);
      proposal.reject(new UnknownProposal({ index: proposal.index }));
    }
  }

  private _rejectAll(): void {
    for (const proposal of this._proposals.values())
      proposal.reject(new UnknownProposal({ index: proposal.index }));
    for (const barrier of [...this._barriers.values(), ...this._newBarriers])
      barrier.reject(this._createAbsentLeader());
    this._proposals.clear();
    this._barriers.clear();
    this._newBarriers = [];
  }

  private async _snapshotIfDue(): Promise<void> {
    const index = this._machine.appliedIndex;
    if (index - this._snapshotIndex < SNAPSHOT_ENTRIES) return;
    const snapshot = create(SnapshotSchema, {
      index,
      term: this.node.log.getTerm(index) ?? 0,
      membership: this.node.log.getMembership(index),
      state: this._machine.encode(),
    });
    // Entries taken by the node but not written yet follow with their own turn.
    const tail = this.node.log.getEntries(index + 1, Number.MAX_SAFE_INTEGER);
    await this._storage.writeSnapshot(snapshot, this._getHardState(), tail);
    this._snapshotIndex = index;
    this.node.setSnapshot(snapshot, KEPT_ENTRIES);
  }

  private _getHardState(): HardState {
    return create(HardStateSchema, { term: this._hardState.term, vote: this._hardState.vote });
  }
}

function getStateBytes(snapshot: Snapshot | undefined): Uint8Array | undefined {
  return snapshot === undefined || snapshot.state.length === 0 ? undefined : snapshot.state;
}
