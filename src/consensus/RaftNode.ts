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
  TransferRequestSchema,
} from "../gen/ploverstage/v1/consensus_pb";
import { Barriers } from "./Barriers";
import { Election } from "./Election";
import { MemoryLog } from "./MemoryLog";
import { getMember, getQuorumSize, getVoters, isVoter } from "./membership";
import { Outbox } from "./Outbox";
import { Progress } from "./Progress";
import type { RandomSource } from "./RandomSource";
import type { Ready } from "./Ready";
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

type MessageBody = ConsensusMessage["body"];

/** Why a member leads no more. */
export type LeadershipEnd = "no majority answered" | "another term began" | "it votes no more";

/** A member of the agreed state. */
export class RaftNode {
  /** This member's id. */
  readonly id: string;
  /** The log after the newest snapshot. */
  readonly log: MemoryLog;
  protected readonly timing: Timing;
  private readonly _election: Election;
  private _role: Role = "follower";
  private _term: number;
  private _vote: string;
  private _leaderId = "";
  private _toldCommitIndex = 0;
  private _commitIndex: number;
  private _deliveredIndex: number;
  private _durableIndex: number;
  private _heartbeatAt = 0;
  /** When entries were proposed that no message has carried yet. */
  private _appendDueAt: number | undefined;
  private _progress = new Map<string, Progress>();
  private _round = 0;
  private _termStartIndex = 0;
  private readonly _barriers = new Barriers();
  private readonly _outbox = new Outbox();
  private _snapshot: Snapshot | undefined;
  private _leadershipEnd: LeadershipEnd | undefined;

  /**
   * @param options - What the disk held, timing, randomness and the present time.
   */
  constructor(options: RaftNodeOptions) {
    this.id = options.id;
    this.timing = options.timing;
    this._election = new Election(options.now, options.timing, options.random);
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
  }

  /** Gets what this member is. */
  get role(): Role {
    return this._role;
  }

  /** Gets the current term. */
  get term(): number {
    return this._term;
  }

  /** Gets why this member stopped to lead last; `undefined` if it never did. */
  get leadershipEnd(): LeadershipEnd | undefined {
    return this._leadershipEnd;
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
    return !this._outbox.isEmpty() || this._barriers.hasConfirmed || this._deliveredIndex < this._commitIndex;
  }

  /** Takes all that is to be done; the driver must do it in the order of `Ready`. */
  takeReady(): Ready {
    this._sendDueAppends();
    const undelivered = this._commitIndex - this._deliveredIndex;
    const committed = this.log.getEntries(this._deliveredIndex + 1, undelivered);
    this._deliveredIndex = this._commitIndex;
    return { ...this._outbox.take(), committed, confirmed: this._barriers.takeConfirmed() };
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
    if (!this._election.isCampaignDue(now)) return;
    if (isVoter(this.membership, this.id)) this._startPreVote(now);
    this._election.postponeCampaign(now);
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
    const known = this.membership;
    const index = this._addBody(now, { case: "membership", value: membership });
    for (const { id } of membership.members) {
      if (getMember(known, id) === undefined) this._addProgress(now, id);
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
    this._round += 1;
    const id = this._barriers.add(this._round, this._commitIndex);
    this._sendAppends(now);
    this._confirmBarriers();
    return id;
  }

  /**
   * Asks the voter that is furthest to take the lead over, before a planned stop.
   * @returns Whether one was asked.
   */
  transferLeadership(): boolean {
    if (!this.isEstablished()) return false;
    const successor = this._getFurthestVoter();
    if (successor === undefined) return false;
    this._sendImmediate(successor, { case: "transferRequest", value: create(TransferRequestSchema) });
    return true;
  }

  /**
   * Checks whether a majority, this member among it, said lately that it knows no leader: there is
   * none, and this member is not cut off from the others.
   */
  isElecting(now: number): boolean {
    if (this._role === "leader" || this._leaderId !== "") return false;
    return this._hasMajority(new Set([this.id, ...this._election.getLeaderless(now)]));
  }

  /** Gets how far leaders said that they had committed, whether the entries have come here or not. */
  get toldCommitIndex(): number {
    return Math.max(this._toldCommitIndex, this._commitIndex);
  }

  /** Gets when a follower heard its leader last, monotonic milliseconds; `undefined` while it knows none. */
  getLeaderContactAt(): number | undefined {
    return this._role === "follower" && this._leaderId !== "" ? this._election.leaderContactAt : undefined;
  }

  /** Gets when a majority answered last, for a leader; monotonic milliseconds. */
  getQuorumContactAt(now: number): number {
    const answeredAt = getVoters(this.membership).map(({ id }) => this._getAnsweredAt(now, id));
    return answeredAt.sort((a, b) => b - a)[this.getQuorumSize() - 1] ?? Number.NEGATIVE_INFINITY;
  }

  /** Takes a message from another member. */
  receive(now: number, message: ConsensusMessage): void {
    if (message.to !== this.id) return;
    if (tellsOfNoLeader(message.body)) this._election.addLeaderless(now, message.from);
    if (message.term > this._term && !this._acceptHigherTerm(now, message)) return;
    // Who supports a question may never have heard of the terms in between.
    if (message.term < this._term && message.body.case !== "preVoteResponse") {
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
        this._toldCommitIndex = Math.max(this._toldCommitIndex, body.value.commitIndex);
        this._appendEntries(message, body.value);
        return;
      case "appendResponse":
        this._noteAppendResponse(now, message.from, body.value);
        return;
      case "snapshotRequest":
        this._followLeader(now, message.from);
        this._installSnapshot(message, body.value.snapshot!, body.value.round);
        return;
      case "transferRequest":
        if (this._role === "follower" && isVoter(this.membership, this.id)) this._startCampaign(now, true);
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
    const isUninvited = message.body.case === "voteRequest" && !message.body.value.transfer;
    if (isUninvited && this._hearsOtherLeader(now, message.from)) return false;
    const role = this._role;
    if (role === "leader") this._leadershipEnd = "another term began";
    this._becomeFollower(now, message.term, "");
    if (role === "leader") this._election.hastenCampaign(now);
    // Its question named a term that had been; nothing else was said against it.
    if (role === "preCandidate" && message.body.case === "preVoteResponse") this._askForPreVotes(now);
    return true;
  }

  private _answerLowerTerm(message: ConsensusMessage): void {
    const body = message.body;
    if (body.case === "preVoteRequest") {
      this._sendDurable(message.from, {
        case: "preVoteResponse",
        value: { $typeName: "ploverstage.v1.PreVoteResponse", granted: false, requestedTerm: message.term },
      });
    }
    if (body.case === "appendRequest" || body.case === "snapshotRequest") {
      this._sendAppendResponse(message.from, false, this.log.lastIndex, body.value.round);
    }
  }

  private _noteHardState(): void {
    this._outbox.setHardState(create(HardStateSchema, { term: this._term, vote: this._vote }));
  }

  private _hearsLeader(now: number): boolean {
    if (this._role === "leader") return true;
    return this._election.hearsLeader(now);
  }

  /** A leader that asks for votes itself leads no more: nobody is kept from supporting it. */
  private _hearsOtherLeader(now: number, from: string): boolean {
    return from !== this._leaderId && this._hearsLeader(now);
  }

  private _isUpToDate(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.log.lastTerm) return lastTerm > this.log.lastTerm;
    return lastIndex >= this.log.lastIndex;
  }

  private _answerPreVote(now: number, message: ConsensusMessage, lastIndex: number, lastTerm: number): void {
    const granted =
      message.term > this._term &&
      !this._hearsOtherLeader(now, message.from) &&
      this._isUpToDate(lastIndex, lastTerm) &&
      !this._precedes(now, message.from, lastIndex, lastTerm);
    if (granted && this._role === "preCandidate") this._becomeFollower(now, this._term, "");
    this._sendDurable(message.from, {
      case: "preVoteResponse",
      value: { $typeName: "ploverstage.v1.PreVoteResponse", granted, requestedTerm: message.term },
    });
  }

  /**
   * Of members that ask at the same time and could win alike, the first by id goes on and the others
   * support it. Members that start together would all become candidates, each with its own vote.
   */
  private _precedes(now: number, from: string, lastIndex: number, lastTerm: number): boolean {
    const isRival = lastTerm === this.log.lastTerm && lastIndex === this.log.lastIndex;
    const isAsking = this._role === "preCandidate" && this._election.isQuestionOpen(now);
    return isAsking && isRival && this.id < from;
  }

  private _answerVote(now: number, message: ConsensusMessage, lastIndex: number, lastTerm: number): void {
    const isFree = this._vote === "" || this._vote === message.from;
    const granted = isFree && this._role === "follower" && this._isUpToDate(lastIndex, lastTerm);
    if (granted) {
      this._vote = message.from;
      this._noteHardState();
      this._election.postponeCampaign(now);
    }
    this._sendDurable(message.from, {
      case: "voteResponse",
      value: { $typeName: "ploverstage.v1.VoteResponse", granted },
    });
  }

  private _startPreVote(now: number): void {
    this._election.addCampaign(now);
    this._askForPreVotes(now);
  }

  private _askForPreVotes(now: number): void {
    // Answers to the same question that are still on their way go on counting.
    if (this._role !== "preCandidate") this._election.resetVotes([this.id]);
    this._election.addQuestion(now);
    this._role = "preCandidate";
    this._leaderId = "";
    this._sendVoteRequests("preVoteRequest", this._term + 1);
    if (this._hasMajority(this._election.votes)) this._startCampaign(now);
  }

  private _countPreVote(now: number, from: string, granted: boolean, requestedTerm: number): void {
    if (this._role !== "preCandidate" || requestedTerm !== this._term + 1 || !granted) return;
    this._election.addVote(from);
    if (this._hasMajority(this._election.votes)) this._startCampaign(now);
  }

  private _startCampaign(now: number, isTransfer = false): void {
    this._role = "candidate";
    this._term += 1;
    this._vote = this.id;
    this._noteHardState();
    this._election.resetVotes([]);
    this._election.postponeCampaign(now);
    this._sendVoteRequests("voteRequest", this._term, isTransfer);
    // Its own vote travels like the others', so that it counts only once it is synced.
    this._sendDurable(
      this.id,
      { case: "voteResponse", value: { $typeName: "ploverstage.v1.VoteResponse", granted: true } },
      this._term,
    );
  }

  private _countVote(now: number, from: string, granted: boolean): void {
    if (this._role !== "candidate" || !granted) return;
    this._election.addVote(from);
    if (this._hasMajority(this._election.votes)) this._becomeLeader(now);
  }

  private _hasMajority(ids: ReadonlySet<string>): boolean {
    const count = getVoters(this.membership).filter((member) => ids.has(member.id)).length;
    return count >= this.getQuorumSize();
  }

  private _sendVoteRequests(kind: "preVoteRequest" | "voteRequest", term: number, transfer = false): void {
    const last = { lastIndex: this.log.lastIndex, lastTerm: this.log.lastTerm };
    const body: MessageBody =
      kind === "voteRequest"
        ? { case: kind, value: { $typeName: "ploverstage.v1.VoteRequest", ...last, transfer } }
        : { case: kind, value: { $typeName: "ploverstage.v1.PreVoteRequest", ...last } };
    for (const member of getVoters(this.membership)) {
      if (member.id !== this.id) this._sendDurable(member.id, body, term);
    }
  }

  private _becomeFollower(now: number, term: number, leaderId: string): void {
    if (term > this._term) {
      this._term = term;
      this._vote = "";
      this._noteHardState();
    }
    this._role = "follower";
    this._leaderId = leaderId;
    this._barriers.clear();
    this._election.postponeCampaign(now);
  }

  private _followLeader(now: number, leaderId: string): void {
    throwIfBroken(this._role !== "leader", "one leader a term", { term: this._term, leaderId });
    this._becomeFollower(now, this._term, leaderId);
    this._election.addLeaderContact(now, this._term);
  }

  private _becomeLeader(now: number): void {
    this._role = "leader";
    this._leaderId = this.id;
    this._barriers.clear();
    this._progress = new Map();
    for (const { id } of this.membership.members) this._addProgress(now, id);
    this._termStartIndex = this.log.lastIndex + 1;
    this._addBody(now, { case: "blank", value: create(BlankSchema) });
  }

  private _addProgress(now: number, id: string): void {
    const progress = new Progress(this.log.lastIndex);
    // Nobody counts as silent before it could answer.
    progress.answeredAt = now;
    this._progress.set(id, progress);
  }

  private _addBody(now: number, body: LogEntry["body"]): number | undefined {
    if (this._role !== "leader") return undefined;
    const entry = create(LogEntrySchema, { index: this.log.lastIndex + 1, term: this._term, body });
    this.log.addEntry(entry);
    this._outbox.addEntry(entry);
    // Sent with the next turn, so that entries proposed together travel together.
    this._appendDueAt = now;
    return entry.index;
  }

  private _hasPendingMembership(): boolean {
    return this.log
      .getEntries(this._commitIndex + 1, Number.MAX_SAFE_INTEGER)
      .some((entry) => entry.body.case === "membership");
  }

  private _tickLeader(now: number): void {
    if (!this._hasQuorumContact(now)) {
      this._leadershipEnd = "no majority answered";
      this._becomeFollower(now, this._term, "");
      return;
    }
    if (now < this._heartbeatAt) return;
    this._round += 1;
    this._sendAppends(now);
  }

  private _getAnsweredAt(now: number, id: string): number {
    if (id === this.id) return now;
    return this._progress.get(id)?.answeredAt ?? Number.NEGATIVE_INFINITY;
  }

  private _hasQuorumContact(now: number): boolean {
    return now - this.getQuorumContactAt(now) <= this._election.contactMs;
  }

  private _sendDueAppends(): void {
    const dueAt = this._appendDueAt;
    if (dueAt !== undefined && this._role === "leader") this._sendAppends(dueAt);
  }

  private _sendAppends(now: number): void {
    this._appendDueAt = undefined;
    this._heartbeatAt = now + this.timing.heartbeatMs;
    for (const member of this.membership.members) {
      if (member.id !== this.id) this._sendAppend(now, member.id);
    }
  }

  private _sendAppend(now: number, to: string): void {
    const progress = this._progress.get(to);
    if (progress === undefined) return;
    if (this.log.getTerm(progress.nextIndex - 1) === undefined) {
      this._sendSnapshot(now, to, progress);
      return;
    }
    const { previousIndex, entries } = progress.planAppend(now, this.log, this.timing.heartbeatMs);
    const previousTerm = this.log.getTerm(previousIndex)!;
    this._sendImmediate(to, {
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
    this._sendImmediate(to, {
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
    this._outbox.addEntry(entry);
  }

  private _installSnapshot(message: ConsensusMessage, snapshot: Snapshot, round: number): void {
    if (snapshot.index > this._commitIndex) {
      this.log.setSnapshot(snapshot);
      this._snapshot = snapshot;
      // What follows the snapshot must be written after it, so it is offered anew.
      this._outbox.setSnapshot(snapshot, this.log.getEntries(snapshot.index + 1, Number.MAX_SAFE_INTEGER));
      this._commitIndex = snapshot.index;
      this._deliveredIndex = snapshot.index;
      this._durableIndex = snapshot.index;
    }
    this._sendAppendResponse(message.from, true, snapshot.index, round);
  }

  private _sendAppendResponse(to: string, accepted: boolean, matchIndex: number, round: number): void {
    this._sendDurable(to, {
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
    this._election.addFollowerContact(now, this._term);
    progress.answeredAt = now;
    progress.hasAnswered = true;
    progress.round = Math.max(progress.round, response.round);
    this._confirmBarriers();
    if (!response.accepted) {
      if (progress.addRefusal(response.matchIndex)) this._sendAppend(now, from);
      return;
    }
    progress.addMatch(response.matchIndex);
    this._advanceCommit();
    if (progress.nextIndex <= this.log.lastIndex) this._sendAppend(now, from);
  }

  private _getFurthestVoter(): string | undefined {
    const others = getVoters(this.membership).filter((member) => member.id !== this.id);
    const getMatch = (id: string) => this._progress.get(id)?.matchIndex ?? 0;
    return others.sort((a, b) => getMatch(b.id) - getMatch(a.id))[0]?.id;
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
    this._leadershipEnd = "it votes no more";
    this._role = "follower";
    this._leaderId = "";
  }

  private _setCommitIndex(index: number): void {
    this._commitIndex = Math.max(this._commitIndex, index);
  }

  private _confirmBarriers(): void {
    this._barriers.confirm((round) => this._isAnswered(round));
  }

  private _isAnswered(round: number): boolean {
    const ids = new Set([this.id]);
    for (const [id, progress] of this._progress) {
      if (progress.round >= round) ids.add(id);
    }
    return this._hasMajority(ids);
  }

  private _sendDurable(to: string, body: MessageBody, term = this._term): void {
    if (this._knows(to, body)) this._outbox.addDurable(this._createMessage(to, body, term));
  }

  private _sendImmediate(to: string, body: MessageBody): void {
    if (this._knows(to, body)) this._outbox.addImmediate(this._createMessage(to, body, this._term));
  }

  private _createMessage(to: string, body: MessageBody, term: number): ConsensusMessage {
    return create(ConsensusMessageSchema, { from: this.id, to, term, body });
  }

  private _knows(to: string, body: MessageBody): boolean {
    return to === this.id || getMember(this.membership, to) !== undefined || this._answers(body);
  }

  /** Answers go to anyone who asked, also to one that this log doesn't know yet. */
  private _answers(body: MessageBody): boolean {
    return body.case === "appendResponse" || body.case === "voteResponse" || body.case === "preVoteResponse";
  }
}

/** Who asks for votes, or gives one, knows no leader. */
function tellsOfNoLeader(body: MessageBody): boolean {
  switch (body.case) {
    case "preVoteRequest":
      return true;
    case "voteRequest":
      return !body.value.transfer;
    case "preVoteResponse":
    case "voteResponse":
      return body.value.granted;
    default:
      return false;
  }
}
