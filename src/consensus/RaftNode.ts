/**
 * One member of the agreed state as a deterministic state machine.
 *
 * The published Raft protocol with pre-vote, check-quorum, learners, single-member
 * changes and confirmed reads. It reads no clock, does no I/O and draws randomness
 * from an injected source: everything it wants done comes out of `takeReady`.
 */
import { create } from "@bufbuild/protobuf";
import { throwIfBroken } from "../errors";
import {
  BlankSchema,
  type ConsensusMessage,
  ConsensusMessageSchema,
  type HardState,
  HardStateSchema,
  type LogEntry,
  LogEntrySchema,
  type Membership,
  type Snapshot,
} from "../gen/ploverstage/v1/consensus_pb";
import { MemoryLog } from "./MemoryLog";
import { getMember, getQuorumSize, getVoters, isVoter } from "./membership";
import { createProgress, type Progress } from "./Progress";
import type { RandomSource } from "./RandomSource";
import type { ConfirmedBarrier, Ready } from "./Ready";
import type { Timing } from "./Timing";

/** What a member is at the moment. */
export type Role = "follower" | "preCandidate" | "candidate" | "leader";

/** What a node starts from: what its disk held, and how it is set up. */
export interface RaftNodeOptions {
  readonly id: string;
  /** Members before any entry; empty for a joiner that waits for a leader. */
  readonly membership: Membership;
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
  readonly timing: Timing;
  readonly random: RandomSource;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** A read that waits for a majority to confirm the leader. */
interface Barrier {
  readonly id: number;
  readonly round: number;
  readonly readIndex: number;
}

type MessageBody = ConsensusMessage["body"];

const MAX_ENTRIES_PER_APPEND = 512;

/** A member of the agreed state. */
export class RaftNode {
  /** This member's id. */
  readonly id: string;
  /** The log after the newest snapshot. */
  readonly log: MemoryLog;
  protected readonly timing: Timing;
  private readonly _random: RandomSource;
  private _role: Role = "follower";
  private _term: number;
  private _vote: string;
  private _leaderId = "";
  private _commitIndex: number;
  private _deliveredIndex: number;
  private _durableIndex: number;
  private _leaderContactAt: number;
  private _electionAt = 0;
  private _heartbeatAt = 0;
  private _votes = new Set<string>();
  private _progress = new Map<string, Progress>();
  private _round = 0;
  private _termStartIndex = 0;
  private _nextBarrierId = 1;
  private _barriers: Barrier[] = [];
  private _snapshot: Snapshot | undefined;
  private _immediate: ConsensusMessage[] = [];
  private _durable: ConsensusMessage[] = [];
  private _unsyncedEntries: LogEntry[] = [];
  private _unsyncedSnapshot: Snapshot | undefined;
  private _hardStateChanged = false;
  private _confirmed: ConfirmedBarrier[] = [];

  /**
   * @param options - What the disk held, timing, randomness and the present time.
   */
  constructor(options: RaftNodeOptions) {
    this.id = options.id;
    this.timing = options.timing;
    this._random = options.random;
    this.log = new MemoryLog(options.membership);
    if (options.snapshot !== undefined) this.log.setSnapshot(options.snapshot);
    for (const entry of options.entries) this.log.addEntry(entry);
    this._snapshot = options.snapshot;
    // Entries may have become durable a moment before their term did.
    this._term = Math.max(options.hardState.term, this.log.lastTerm);
    this._vote = this._term === options.hardState.term ? options.hardState.vote : "";
    this._commitIndex = options.snapshot?.index ?? 0;
    this._deliveredIndex = this._commitIndex;
    this._durableIndex = this.log.lastIndex;
    // A restarted voter does not know whom it heard last, so it waits as if it just had.
    this._leaderContactAt = options.now;
    this._resetElection(options.now);
  }

  /** Gets what this member is. */
  get role(): Role {
    return this._role;
  }

  /** Gets the current term. */
  get term(): number {
    return this._term;
  }

  /** Gets the id of the leader of this term, empty when unknown. */
  get leaderId(): string {
    return this._leaderId;
  }

  /** Gets the highest index known to be committed. */
  get commitIndex(): number {
    return this._commitIndex;
  }

  /** Gets the newest membership, committed or not. */
  get membership(): Membership {
    return this.log.getMembership();
  }

  /** Gets what the leader knows of a member. */
  getProgress(id: string): Progress | undefined {
    return this._progress.get(id);
  }

  /** Checks whether this leader has committed an entry of its own term. */
  isEstablished(): boolean {
    return this._role === "leader" && this._commitIndex >= this._termStartIndex;
  }

  /** Checks whether `takeReady` would give anything. */
  hasReady(): boolean {
    return (
      this._immediate.length > 0 ||
      this._durable.length > 0 ||
      this._unsyncedEntries.length > 0 ||
      this._unsyncedSnapshot !== undefined ||
      this._hardStateChanged ||
      this._confirmed.length > 0 ||
      this._deliveredIndex < this._commitIndex
    );
  }

  /** Takes all that is to be done; the driver must do it in the order of `Ready`. */
  takeReady(): Ready {
    const committed = this.log.getEntries(this._deliveredIndex + 1, this._commitIndex - this._deliveredIndex);
    const ready: Ready = {
      immediateMessages: this._immediate,
      snapshot: this._unsyncedSnapshot,
      hardState: this._hardStateChanged
        ? create(HardStateSchema, { term: this._term, vote: this._vote })
        : undefined,
      entries: this._unsyncedEntries,
      durableMessages: this._durable,
      committed,
      confirmed: this._confirmed,
    };
    this._immediate = [];
    this._durable = [];
    this._unsyncedEntries = [];
    this._unsyncedSnapshot = undefined;
    this._hardStateChanged = false;
    this._confirmed = [];
    this._deliveredIndex = this._commitIndex;
    return ready;
  }

  /**
   * Notes that entries up to an index are synced.
   * @param term - Term of that entry, in case the tail was replaced meanwhile.
   */
  setDurable(index: number, term: number): void {
    if (this.log.getTerm(index) !== term) return;
    this._durableIndex = Math.max(this._durableIndex, index);
    if (this._role === "leader") this._advanceCommit();
  }

  /** Forgets the log up to a saved snapshot, but for a tail that slow members may need. */
  setSnapshot(snapshot: Snapshot, keptEntries: number): void {
    this._snapshot = snapshot;
    this.log.compact(Math.min(snapshot.index, this.log.lastIndex - keptEntries));
  }

  /**
   * Lets time pass: campaigns, sends heartbeats, or steps down without a majority.
   * @param now - Monotonic milliseconds.
   */
  tick(now: number): void {
    if (this._role === "leader") {
      this._tickLeader(now);
      return;
    }
    if (now < this._electionAt) return;
    this._resetElection(now);
    if (isVoter(this.membership, this.id)) this._startPreVote(now);
  }

  /**
   * Appends a command as the leader.
   * @returns The index it will have if committed; `undefined` when not leading.
   */
  addCommand(now: number, command: Uint8Array): number | undefined {
    return this._addBody(now, { case: "command", value: command });
  }

  /**
   * Appends a change of members as the leader.
   * @returns `undefined` when not leading, or while an earlier change is not committed.
   */
  addMembership(now: number, membership: Membership): number | undefined {
    if (!this.isEstablished() || this._hasPendingMembership()) return undefined;
    const index = this._addBody(now, { case: "membership", value: membership });
    for (const member of membership.members) {
      if (!this._progress.has(member.id)) this._progress.set(member.id, createProgress(this.log.lastIndex));
    }
    return index;
  }

  /**
   * Asks the majority whether this leader still leads.
   * @returns The barrier's id, later found in `Ready.confirmed`; `undefined` when the
   * node can't answer reads: not leading, or nothing of its term committed yet.
   */
  addBarrier(now: number): number | undefined {
    if (!this.isEstablished()) return undefined;
    const id = this._nextBarrierId++;
    this._round += 1;
    this._barriers.push({ id, round: this._round, readIndex: this._commitIndex });
    this._sendAppends(now);
    this._confirmBarriers();
    return id;
  }

  /** Takes a message from another member. */
  receive(now: number, message: ConsensusMessage): void {
    if (message.to !== this.id) return;
    if (message.term > this._term && !this._acceptHigherTerm(now, message)) return;
    if (message.term < this._term) {
      this._answerLowerTerm(message);
      return;
    }
    this._dispatch(now, message);
  }

  /** Gets how many votes or answers make a majority. */
  protected getQuorumSize(): number {
    return getQuorumSize(this.membership);
  }

  private _dispatch(now: number, message: ConsensusMessage): void {
    const body = message.body;
    switch (body.case) {
      case "preVoteRequest":
        this._answerPreVote(now, message, body.value.lastIndex, body.value.lastTerm);
        return;
      case "preVoteResponse":
        this._countPreVote(now, message.from, body.value.granted, body.value.requestedTerm);
        return;
      case "voteRequest":
        this._answerVote(now, message, body.value.lastIndex, body.value.lastTerm);
        return;
      case "voteResponse":
        this._countVote(now, message.from, body.value.granted);
        return;
      case "appendRequest":
        this._followLeader(now, message.from);
        this._appendEntries(message, body.value);
        return;
      case "appendResponse":
        this._noteAppendResponse(now, message.from, body.value);
        return;
      case "snapshotRequest":
        this._followLeader(now, message.from);
        this._installSnapshot(message, body.value.snapshot!, body.value.round);
        return;
    }
  }

  private _acceptHigherTerm(now: number, message: ConsensusMessage): boolean {
    // A pre-vote asks about a term that nobody has entered yet.
    if (message.body.case === "preVoteRequest") {
      this._answerPreVote(now, message, message.body.value.lastIndex, message.body.value.lastTerm);
      return false;
    }
    // A voter that hears its leader isn't drawn into another's election.
    if (message.body.case === "voteRequest" && this._hearsLeader(now)) return false;
    this._becomeFollower(now, message.term, "");
    return true;
  }

  private _answerLowerTerm(message: ConsensusMessage): void {
    const body = message.body;
    if (body.case === "preVoteRequest") {
      this._send(this._durable, message.from, {
        case: "preVoteResponse",
        value: { $typeName: "ploverstage.v1.PreVoteResponse", granted: false, requestedTerm: message.term },
      });
    }
    if (body.case === "appendRequest" || body.case === "snapshotRequest") {
      this._sendAppendResponse(message.from, false, this.log.lastIndex, body.value.round);
    }
  }

  private _hearsLeader(now: number): boolean {
    if (this._role === "leader") return true;
    return now - this._leaderContactAt < this.timing.electionMinMs;
  }

  private _isUpToDate(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.log.lastTerm) return lastTerm > this.log.lastTerm;
    return lastIndex >= this.log.lastIndex;
  }

  private _answerPreVote(now: number, message: ConsensusMessage, lastIndex: number, lastTerm: number): void {
    const granted =
      message.term > this._term && !this._hearsLeader(now) && this._isUpToDate(lastIndex, lastTerm);
    this._send(this._durable, message.from, {
      case: "preVoteResponse",
      value: { $typeName: "ploverstage.v1.PreVoteResponse", granted, requestedTerm: message.term },
    });
  }

  private _answerVote(now: number, message: ConsensusMessage, lastIndex: number, lastTerm: number): void {
    const isFree = this._vote === "" || this._vote === message.from;
    const granted = isFree && this._role === "follower" && this._isUpToDate(lastIndex, lastTerm);
    if (granted) {
      this._vote = message.from;
      this._hardStateChanged = true;
      this._resetElection(now);
    }
    this._send(this._durable, message.from, {
      case: "voteResponse",
      value: { $typeName: "ploverstage.v1.VoteResponse", granted },
    });
  }

  private _startPreVote(now: number): void {
    this._role = "preCandidate";
    this._leaderId = "";
    this._votes = new Set([this.id]);
    this._sendVoteRequests("preVoteRequest", this._term + 1);
    if (this._hasMajority(this._votes)) this._startCampaign(now);
  }

  private _countPreVote(now: number, from: string, granted: boolean, requestedTerm: number): void {
    if (this._role !== "preCandidate" || requestedTerm !== this._term + 1 || !granted) return;
    this._votes.add(from);
    if (this._hasMajority(this._votes)) this._startCampaign(now);
  }

  private _startCampaign(now: number): void {
    this._role = "candidate";
    this._term += 1;
    this._vote = this.id;
    this._hardStateChanged = true;
    this._votes = new Set();
    this._resetElection(now);
    this._sendVoteRequests("voteRequest", this._term);
    // Its own vote travels like the others', so that it counts only once it is synced.
    this._send(
      this._durable,
      this.id,
      { case: "voteResponse", value: { $typeName: "ploverstage.v1.VoteResponse", granted: true } },
      this._term,
    );
  }

  private _countVote(now: number, from: string, granted: boolean): void {
    if (this._role !== "candidate" || !granted) return;
    this._votes.add(from);
    if (this._hasMajority(this._votes)) this._becomeLeader(now);
  }

  private _hasMajority(ids: ReadonlySet<string>): boolean {
    const count = getVoters(this.membership).filter((member) => ids.has(member.id)).length;
    return count >= this.getQuorumSize();
  }

  private _sendVoteRequests(kind: "preVoteRequest" | "voteRequest", term: number): void {
    const last = { lastIndex: this.log.lastIndex, lastTerm: this.log.lastTerm };
    const body: MessageBody =
      kind === "voteRequest"
        ? { case: kind, value: { $typeName: "ploverstage.v1.VoteRequest", ...last } }
        : { case: kind, value: { $typeName: "ploverstage.v1.PreVoteRequest", ...last } };
    for (const member of getVoters(this.membership)) {
      if (member.id !== this.id) this._send(this._durable, member.id, body, term);
    }
  }

  private _becomeFollower(now: number, term: number, leaderId: string): void {
    if (term > this._term) {
      this._term = term;
      this._vote = "";
      this._hardStateChanged = true;
    }
    this._role = "follower";
    this._leaderId = leaderId;
    this._barriers = [];
    this._resetElection(now);
  }

  private _followLeader(now: number, leaderId: string): void {
    throwIfBroken(this._role !== "leader", "one leader a term", { term: this._term, leaderId });
    this._becomeFollower(now, this._term, leaderId);
    this._leaderContactAt = now;
  }

  private _becomeLeader(now: number): void {
    this._role = "leader";
    this._leaderId = this.id;
    this._barriers = [];
    this._progress = new Map();
    for (const member of this.membership.members) {
      this._progress.set(member.id, createProgress(this.log.lastIndex));
      this._progress.get(member.id)!.answeredAt = now;
    }
    this._termStartIndex = this.log.lastIndex + 1;
    this._addBody(now, { case: "blank", value: create(BlankSchema) });
  }

  private _addBody(now: number, body: LogEntry["body"]): number | undefined {
    if (this._role !== "leader") return undefined;
    const entry = create(LogEntrySchema, { index: this.log.lastIndex + 1, term: this._term, body });
    this.log.addEntry(entry);
    this._unsyncedEntries.push(entry);
    this._sendAppends(now);
    return entry.index;
  }

  private _hasPendingMembership(): boolean {
    return this.log
      .getEntries(this._commitIndex + 1, Number.MAX_SAFE_INTEGER)
      .some((entry) => entry.body.case === "membership");
  }

  private _tickLeader(now: number): void {
    if (!this._hasQuorumContact(now)) {
      this._becomeFollower(now, this._term, "");
      return;
    }
    if (now < this._heartbeatAt) return;
    this._round += 1;
    this._sendAppends(now);
  }

  private _hasQuorumContact(now: number): boolean {
    const recent = new Set([this.id]);
    for (const [id, progress] of this._progress) {
      if (now - progress.answeredAt <= this.timing.electionMaxMs) recent.add(id);
    }
    return this._hasMajority(recent);
  }

  private _sendAppends(now: number): void {
    this._heartbeatAt = now + this.timing.heartbeatMs;
    for (const member of this.membership.members) {
      if (member.id !== this.id) this._sendAppend(now, member.id);
    }
  }

  private _sendAppend(now: number, to: string): void {
    const progress = this._progress.get(to);
    if (progress === undefined) return;
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = this.log.getTerm(previousIndex);
    if (previousTerm === undefined) {
      this._sendSnapshot(now, to, progress);
      return;
    }
    const entries = this.log.getEntries(progress.nextIndex, MAX_ENTRIES_PER_APPEND);
    progress.nextIndex += entries.length;
    this._send(this._immediate, to, {
      case: "appendRequest",
      value: {
        $typeName: "ploverstage.v1.AppendRequest",
        previousIndex,
        previousTerm,
        entries,
        commitIndex: this._commitIndex,
        round: this._round,
      },
    });
  }

  private _sendSnapshot(now: number, to: string, progress: Progress): void {
    if (this._snapshot === undefined || now - progress.snapshotSentAt < this.timing.electionMaxMs) return;
    progress.snapshotSentAt = now;
    this._send(this._immediate, to, {
      case: "snapshotRequest",
      value: {
        $typeName: "ploverstage.v1.SnapshotRequest",
        snapshot: this._snapshot,
        round: this._round,
      },
    });
  }

  private _appendEntries(
    message: ConsensusMessage,
    request: {
      previousIndex: number;
      previousTerm: number;
      entries: LogEntry[];
      commitIndex: number;
      round: number;
    },
  ): void {
    const { previousIndex, entries } = request;
    if (previousIndex > this.log.lastIndex) {
      this._sendAppendResponse(message.from, false, this.log.lastIndex, request.round);
      return;
    }
    const knownTerm = this.log.getTerm(previousIndex);
    if (knownTerm !== undefined && knownTerm !== request.previousTerm) {
      this._sendAppendResponse(message.from, false, this._getConflictHint(previousIndex), request.round);
      return;
    }
    for (const entry of entries) this._takeEntry(entry);
    const matchIndex = previousIndex + entries.length;
    this._setCommitIndex(Math.min(request.commitIndex, matchIndex));
    this._sendAppendResponse(message.from, true, matchIndex, request.round);
  }

  /** Goes back over the whole conflicting term at once. */
  private _getConflictHint(index: number): number {
    const term = this.log.getTerm(index);
    let hint = index;
    while (hint > this._commitIndex && this.log.getTerm(hint) === term) hint -= 1;
    return hint;
  }

  private _takeEntry(entry: LogEntry): void {
    if (entry.index < this.log.firstIndex) return;
    const knownTerm = this.log.getTerm(entry.index);
    if (knownTerm === entry.term) return;
    throwIfBroken(
      knownTerm === undefined || entry.index > this._commitIndex,
      "a committed entry is never replaced",
      { index: entry.index, commitIndex: this._commitIndex },
    );
    this.log.addEntry(entry);
    this._durableIndex = Math.min(this._durableIndex, entry.index - 1);
    this._unsyncedEntries.push(entry);
  }

  private _installSnapshot(message: ConsensusMessage, snapshot: Snapshot, round: number): void {
    if (snapshot.index > this._commitIndex) {
      this.log.setSnapshot(snapshot);
      this._snapshot = snapshot;
      this._unsyncedSnapshot = snapshot;
      // What follows the snapshot must be written after it, so it is offered anew.
      this._unsyncedEntries = this.log.getEntries(snapshot.index + 1, Number.MAX_SAFE_INTEGER);
      this._commitIndex = snapshot.index;
      this._deliveredIndex = snapshot.index;
      this._durableIndex = snapshot.index;
    }
    this._sendAppendResponse(message.from, true, snapshot.index, round);
  }

  private _sendAppendResponse(to: string, accepted: boolean, matchIndex: number, round: number): void {
    this._send(this._durable, to, {
      case: "appendResponse",
      value: { $typeName: "ploverstage.v1.AppendResponse", accepted, matchIndex, round },
    });
  }

  private _noteAppendResponse(
    now: number,
    from: string,
    response: { accepted: boolean; matchIndex: number; round: number },
  ): void {
    const progress = this._progress.get(from);
    if (this._role !== "leader" || progress === undefined) return;
    progress.answeredAt = now;
    progress.round = Math.max(progress.round, response.round);
    this._confirmBarriers();
    if (!response.accepted) {
      progress.nextIndex = Math.max(
        progress.matchIndex + 1,
        Math.min(progress.nextIndex - 1, response.matchIndex + 1),
      );
      this._sendAppend(now, from);
      return;
    }
    progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    this._advanceCommit();
    if (progress.nextIndex <= this.log.lastIndex) this._sendAppend(now, from);
  }

  private _advanceCommit(): void {
    const matches = getVoters(this.membership)
      .map((member) =>
        member.id === this.id ? this._durableIndex : (this._progress.get(member.id)?.matchIndex ?? 0),
      )
      .sort((a, b) => b - a);
    const candidate = matches[this.getQuorumSize() - 1] ?? 0;
    // Only an entry of its own term may be committed by counting.
    if (this.log.getTerm(candidate) === this._term) this._setCommitIndex(candidate);
    this._stepDownIfRemoved();
  }

  private _stepDownIfRemoved(): void {
    if (isVoter(this.membership, this.id) || this._hasPendingMembership()) return;
    this._role = "follower";
    this._leaderId = "";
  }

  private _setCommitIndex(index: number): void {
    this._commitIndex = Math.max(this._commitIndex, index);
  }

  private _confirmBarriers(): void {
    const open: Barrier[] = [];
    for (const barrier of this._barriers) {
      if (this._isConfirmed(barrier)) this._confirmed.push({ id: barrier.id, readIndex: barrier.readIndex });
      else open.push(barrier);
    }
    this._barriers = open;
  }

  private _isConfirmed(barrier: Barrier): boolean {
    const ids = new Set([this.id]);
    for (const [id, progress] of this._progress) {
      if (progress.round >= barrier.round) ids.add(id);
    }
    return this._hasMajority(ids);
  }

  private _resetElection(now: number): void {
    const { electionMinMs, electionMaxMs } = this.timing;
    this._electionAt = now + electionMinMs + this._random.next() * (electionMaxMs - electionMinMs);
  }

  private _send(queue: ConsensusMessage[], to: string, body: MessageBody, term = this._term): void {
    if (to !== this.id && getMember(this.membership, to) === undefined && !this._answers(body)) return;
    queue.push(create(ConsensusMessageSchema, { from: this.id, to, term, body }));
  }

  /** Answers go to anyone who asked, also to one that this log doesn't know yet. */
  private _answers(body: MessageBody): boolean {
    return body.case === "appendResponse" || body.case === "voteResponse" || body.case === "preVoteResponse";
  }
}
