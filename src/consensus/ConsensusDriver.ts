/**
 * Runs a consensus node over real storage and a real transport.
 *
 * The driver processes one `Ready` at a time: it syncs the writes, sends the messages, then applies the
 * committed entries. Proposals that arrive during a sync share the next one (group commit).
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
import { JoinQueue } from "./JoinQueue";
import { getMember, getRepairedMembership, isVoter, type MembershipContext } from "./membership";
import type { RaftNode } from "./RaftNode";
import type { ConfirmedBarrier, Ready } from "./Ready";

/** Sends messages to other members. Message loss is allowed. */
export interface Transport {
  /** Queues a message for its recipient. */
  send(message: ConsensusMessage, address: string): void;
}

export interface ConsensusDriverOptions {
  readonly node: RaftNode;
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly storage: Storage;
  readonly transport: Transport;
  /**
   * Gets the address of a member that may be missing from the local log: a joining member responds to the
   * leader before it has received the membership.
   */
  readonly getAddress: (memberId: MemberId) => string | undefined;
  readonly clock: Clock;
  /** Upper limit on voters; without a limit every joining member becomes a voter. */
  readonly maxVoters?: number;
  /** Called once when storage or an invariant fails. The process must stop then. */
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
/** Number of entries applied since the last snapshot that triggers the next one. */
const SNAPSHOT_ENTRIES = 2_000;
/** Entries retained in memory behind a snapshot, for members that lag slightly. */
const RETAINED_ENTRIES = 500;

/** Runs one consensus member: storage, messages, proposals and reads. */
export class ConsensusDriver {
  /** The Raft protocol without I/O. */
  readonly node: RaftNode;
  private readonly _storage: Storage;
  private readonly _transport: Transport;
  private readonly _getAddress: (memberId: MemberId) => string | undefined;
  private readonly _clock: Clock;
  private readonly _maxVoters: number | undefined;
  private readonly _onFatal: (cause: unknown) => void;
  private readonly _stateListeners: (() => void)[] = [];
  private readonly _joins = new JoinQueue();
  private _machine: StateMachine;
  private _hardState: HardState;
  private _snapshotIndex: number;
  private _timer: NodeJS.Timeout | undefined;
  private _isPumping = false;
  private _isStopped = false;
  private _proposals = new Map<number, PendingProposal>();
  private _barriers = new Map<number, PendingBarrier>();
  private _newBarriers: PendingBarrier[] = [];

  /** @param options - Node, storage, transport, clock and the callback for fatal failures. */
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

  /** Gets the state machine with all entries that this member has applied. */
  get machine(): StateMachine {
    return this._machine;
  }

  /** Checks whether this member is the leader and has committed an entry in its term. */
  isLeader(): boolean {
    return this.node.isEstablished();
  }

  /** Gets the leader's address, or an empty string while the leader is unknown. */
  getLeaderAddress(): string {
    return getMember(this.node.membership, this.node.leaderId)?.address ?? "";
  }

  /**
   * Gets when this follower last received a message from its leader, provided that it has applied every entry
   * that leaders have reported as committed.
   * @returns Monotonic milliseconds; `undefined` while committed entries are missing or the leader is
   * unknown.
   */
  getCaughtUpContactAt(): number | undefined {
    const isCaughtUp = this._machine.appliedIndex >= this.node.leaderCommitIndex;
    return isCaughtUp ? this.node.getLeaderContactAt() : undefined;
  }

  /** Adds a listener that is called after each state change: an applied entry or an installed snapshot. */
  addStateListener(listener: () => void): void {
    this._stateListeners.push(listener);
  }

  /** Starts the tick timer. */
  start(): void {
    this._timer = setInterval(() => this._tick(), TICK_MS);
  }

  /**
   * Transfers leadership before a planned stop, so that the other members do not have to wait for their
   * election timeout.
   * @param maxWaitMs - Maximum wait for a successor, milliseconds.
   */
  async transferLeadership(maxWaitMs: number): Promise<void> {
    if (!this.node.transferLeadership()) return;
    this._pump();
    const endAt = this._clock.getMonotonicMs() + maxWaitMs;
    while (this.node.role === "leader" && this._clock.getMonotonicMs() < endAt) {
      await pause(TICK_MS);
    }
  }

  /** Stops the tick timer and closes the storage. Pending proposals are rejected with `UnknownProposal`. */
  async stop(): Promise<void> {
    this._isStopped = true;
    clearInterval(this._timer);
    this._rejectAll();
    while (this._isPumping) await new Promise((resolve) => setImmediate(resolve));
    await this._storage.close();
  }

  /** Processes messages from another member. */
  deliver(messages: readonly ConsensusMessage[]): void {
    if (this._isStopped) return;
    this._failOnError(() => {
      for (const message of messages) this.node.receive(this._clock.getMonotonicMs(), message);
    });
    this._pump();
  }

  /**
   * Proposes a command and waits until this member has applied it.
   * @throws AbsentLeader - When this member is not the leader; nothing was proposed.
   * @throws UnknownProposal - When this member loses its leadership before the command is applied.
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
   * Waits until a majority has confirmed, after this call, that this member is the leader, and until the
   * entries committed at that time are applied.
   * @throws AbsentLeader
   */
  confirmLeadership(): Promise<void> {
    return new Promise((resolve, reject) => {
      this._newBarriers.push({ term: this.node.term, resolve, reject });
      // Calls in the same event loop iteration share one round of messages.
      if (this._newBarriers.length === 1) setImmediate(() => this._startBarriers());
    });
  }

  /**
   * Accepts the request of a process to join: it becomes a learner as soon as no other change is pending, and
   * a voter when it has caught up and a vote is free.
   * @returns Whether the process is already a voter.
   * @throws AbsentLeader
   */
  addJoiningMember(joiningMember: Member): boolean {
    if (!this.isLeader()) throw this._createAbsentLeader();
    const now = this._clock.getMonotonicMs();
    this._joins.add(now, joiningMember);
    this._repairMembership(now);
    this._pump();
    return isVoter(this.node.membership, joiningMember.id);
  }

  private _getMembershipContext(now: number): MembershipContext {
    const quorumContactAt = this.node.getQuorumContactAt(now);
    return {
      maxVoters: this._maxVoters,
      leaderId: this.node.id,
      isUnresponsive: (id) =>
        id !== this.node.id && this.node.getProgress(id)?.isUnresponsive(quorumContactAt) === true,
      isExpired: (id) => this.node.getProgress(id)?.isExpired(quorumContactAt) === true,
      isReady: (id) => this._isReadyToVote(id, quorumContactAt),
    };
  }

  private _isReadyToVote(memberId: string, quorumContactAt: number): boolean {
    const progress = this.node.getProgress(memberId);
    if (progress === undefined) return false;
    return progress.isCaughtUp(this.node.commitIndex) && progress.isPresent(quorumContactAt);
  }

  private _repairMembership(now: number): void {
    if (!this.isLeader()) {
      this._joins.clear();
      return;
    }
    const { membership } = this.node;
    const next =
      this._joins.getNextMembership(now, membership) ??
      getRepairedMembership(membership, this._getMembershipContext(now));
    if (next !== undefined) this.node.addMembership(now, next);
  }

  private _createAbsentLeader(): AbsentLeader {
    return new AbsentLeader({ leaderAddress: this.getLeaderAddress() });
  }

  private _tick(): void {
    const now = this._clock.getMonotonicMs();
    this._failOnError(() => {
      this.node.tick(now);
      this._repairMembership(now);
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

  private _failOnError(action: () => void): void {
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
    if (this._isStopped) return;
    this._processImmediate();
    if (this._isPumping) return;
    this._isPumping = true;
    this._processPending()
      .catch((cause: unknown) => this._fail(cause))
      .finally(() => {
        this._isPumping = false;
      });
  }

  /** Sends the messages and resolves the reads that do not depend on the sync that may be in progress. */
  private _processImmediate(): void {
    this._sendAll(this.node.takeImmediateMessages());
    const reads = this.node.takeConfirmedReads(this._machine.appliedIndex);
    for (const confirmed of reads) this._resolveBarrier(confirmed);
  }

  private async _processPending(): Promise<void> {
    while (!this._isStopped && this.node.hasReady()) await this._processReady(this.node.takeReady());
    this._rejectOutdated();
  }

  private async _processReady(ready: Ready): Promise<void> {
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
      this._notifyStateListeners();
    } else if (ready.hardState !== undefined || ready.entries.length > 0) {
      await this._storage.writeBatch({ hardState: ready.hardState, entries: ready.entries });
    }
    this.node.setDurable(ready);
  }

  private _sendAll(messages: readonly ConsensusMessage[]): void {
    for (const message of messages) {
      if (message.to === this.node.id) this.node.receive(this._clock.getMonotonicMs(), message);
      else this._send(message);
    }
  }

  private _send(message: ConsensusMessage): void {
    const loggedAddress = getMember(this.node.membership, message.to)?.address;
    const address = this._getAddress(MemberId(message.to)) ?? loggedAddress;
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
    this._notifyStateListeners();
  }

  private _notifyStateListeners(): void {
    for (const listener of this._stateListeners) listener();
  }

  private _resolveBarrier(confirmed: ConfirmedBarrier): void {
    const barrier = this._barriers.get(confirmed.id);
    this._barriers.delete(confirmed.id);
    barrier?.resolve();
  }

  /** Rejects barriers and proposals whose leadership has ended. */
  private _rejectOutdated(): void {
    const isLeader = this.node.role === "leader";
    for (const [id, barrier] of this._barriers) {
      if (isLeader && barrier.term === this.node.term) continue;
      this._barriers.delete(id);
      barrier.reject(this._createAbsentLeader());
    }
    for (const proposal of this._proposals.values()) {
      if (isLeader && proposal.term === this.node.term) continue;
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
    // Entries that the node has accepted but not yet written are written with their own `Ready`.
    const tail = this.node.log.getEntries(index + 1, Number.MAX_SAFE_INTEGER);
    await this._storage.writeSnapshot(snapshot, this._getHardState(), tail);
    this._snapshotIndex = index;
    this.node.setSnapshot(snapshot, RETAINED_ENTRIES);
  }

  private _getHardState(): HardState {
    return create(HardStateSchema, { term: this._hardState.term, vote: this._hardState.vote });
  }
}

function getStateBytes(snapshot: Snapshot | undefined): Uint8Array | undefined {
  return snapshot === undefined || snapshot.state.length === 0 ? undefined : snapshot.state;
}
