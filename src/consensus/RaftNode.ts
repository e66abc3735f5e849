/**
 * One consensus member as a deterministic state machine.
 *
 * Implements the published Raft protocol with pre-vote, check-quorum, learners, single-member changes and
 * confirmed reads. The node reads no clock, does no I/O and takes randomness from an injected source.
 * `takeReady` returns all messages and writes that it requests.
 */
import { create } from "@bufbuild/protobuf";
import { assertInvariant } from "../errors";
import {
  BlankSchema,
  type ConsensusMessage,
  ConsensusMessageSchema,
  type HardState,
  HardStateSchema,
  type LogEntry,
  LogEntrySchema,
  type Member,
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
import type { ConfirmedBarrier, Ready } from "./Ready";
import type { Timing } from "./Timing";

/** Heartbeat intervals between two heartbeats to a learner, which takes no part in elections and reads. */
const LEARNER_HEARTBEATS = 2;

/** The current role of a member. */
export type Role = "follower" | "preCandidate" | "candidate" | "leader";

/** Initial state and options of a node, as read from disk and from the configuration. */
export interface RaftNodeOptions {
  readonly id: string;
  /** Membership before the first entry; empty for a joining member that waits for a leader. */
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

/** Why a member lost its leadership. */
export type LeadershipEndReason = "no majority answered" | "another term began" | "no longer a voter";

/** A consensus member. */
export class RaftNode {
  readonly id: string;
  /** The log after the newest snapshot. */
  readonly log: MemoryLog;
  protected readonly timing: Timing;
  private readonly _election: Election;
  private _role: Role = "follower";
  private _term: number;
  private _vote: string;
  private _leaderId = "";
  private _leaderCommitIndex = 0;
  private _commitIndex: number;
  private _deliveredIndex: number;
  private _durableIndex: number;
  private _durableTerm: number;
  private _heartbeatAt = 0;
  /** When entries that are not yet part of an append were last proposed. */
  private _appendDueAt: number | undefined;
  private _progress = new Map<string, Progress>();
  private _round = 0;
  private _termStartIndex = 0;
  private readonly _barriers = new Barriers();
  private readonly _outbox = new Outbox();
  private _snapshot: Snapshot | undefined;
  private _leadershipEnd: LeadershipEndReason | undefined;

  /** @param options - Stored state, timing, random source and the current time. */
  constructor(options: RaftNodeOptions) {
    this.id = options.id;
    this.timing = options.timing;
    this._election = new Election(options.now, options.timing, options.random);
    this.log = new MemoryLog(options.membership);
    if (options.snapshot !== undefined) this.log.setSnapshot(options.snapshot);
    for (const entry of options.entries) this.log.addEntry(entry);
    this._snapshot = options.snapshot;
    // Entries may have become durable before the hard state with their term was written.
    this._term = Math.max(options.hardState.term, this.log.lastTerm);
    this._vote = this._term === options.hardState.term ? options.hardState.vote : "";
    this._commitIndex = options.snapshot?.index ?? 0;
    this._deliveredIndex = this._commitIndex;
    this._durableIndex = this.log.lastIndex;
    this._durableTerm = this._term;
  }

  get role(): Role {
    return this._role;
  }

  get term(): number {
    return this._term;
  }

  /** Gets why this member last lost its leadership; `undefined` if it never did. */
  get leadershipEnd(): LeadershipEndReason | undefined {
    return this._leadershipEnd;
  }

  /** Gets the id of the current term's leader, or an empty string if unknown. */
  get leaderId(): string {
    return this._leaderId;
  }

  /** Gets the highest index that this member has recorded as committed. */
  get commitIndex(): number {
    return this._commitIndex;
  }

  /** Gets the newest membership in the log, committed or not. */
  get membership(): Membership {
    return this.log.getMembership();
  }

  /** Gets the leader's replication progress of a member. */
  getProgress(id: string): Progress | undefined {
    return this._progress.get(id);
  }

  /** Checks whether this member is the leader and has committed an entry of its own term. */
  isEstablished(): boolean {
    return this._role === "leader" && this._commitIndex >= this._termStartIndex;
  }

  /** Checks whether `takeReady` would return any work. */
  hasReady(): boolean {
    return !this._outbox.isEmpty() || this._barriers.hasConfirmed || this._deliveredIndex < this._commitIndex;
  }

  /** Takes all pending work. The driver must execute it in the order that `Ready` describes. */
  takeReady(): Ready {
    this._sendDueAppends();
    const undelivered = this._commitIndex - this._deliveredIndex;
    const committed = this.log.getEntries(this._deliveredIndex + 1, undelivered);
    this._deliveredIndex = this._commitIndex;
    return { ...this._outbox.take(), committed, confirmed: this._barriers.takeConfirmed() };
  }

  /** Takes the messages that do not depend on a sync; they may be sent while a sync is in progress. */
  takeImmediateMessages(): ConsensusMessage[] {
    return this._outbox.takeImmediate();
  }

  /**
   * Takes the confirmed reads that do not depend on a sync.
   * @param appliedIndex - Index up to which the driver has applied entries.
   */
  takeConfirmedReads(appliedIndex: number): ConfirmedBarrier[] {
    return this._barriers.takeConfirmed(appliedIndex);
  }

  /** Marks the writes of a `Ready` as durable. */
  setDurable({ hardState, snapshot, entries }: Pick<Ready, "hardState" | "snapshot" | "entries">): void {
    if (hardState !== undefined) this._durableTerm = Math.max(this._durableTerm, hardState.term);
    const last = entries.at(-1) ?? snapshot;
    // With another term, the entry has been replaced since.
    if (last === undefined || this.log.getTerm(last.index) !== last.term) return;
    this._durableIndex = Math.max(this._durableIndex, last.index);
    if (this._role === "leader") this._advanceCommit();
  }

  /** Removes the log up to a saved snapshot, except for a tail that lagging members may need. */
  setSnapshot(snapshot: Snapshot, retainedEntries: number): void {
    this._snapshot = snapshot;
    this.log.compact(Math.min(snapshot.index, this.log.lastIndex - retainedEntries));
  }

  /**
   * Processes the passage of time: starts a campaign, sends heartbeats, or steps down without a majority.
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
   * Appends a command to the leader's log.
   * @returns The index of the command if it commits; `undefined` if this member is not the leader.
   */
  addCommand(now: number, command: Uint8Array): number | undefined {
    return this._addBody(now, { case: "command", value: command });
  }

  /**
   * Appends a membership change to the leader's log.
   * @returns The index of the change; `undefined` if this member is not an established leader or an earlier
   * change is not committed.
   */
  addMembership(now: number, membership: Membership): number | undefined {
    if (!this.isEstablished() || this._hasPendingMembership()) return undefined;
    const previous = this.membership;
    const index = this._addBody(now, { case: "membership", value: membership });
    for (const { id } of membership.members) {
      if (getMember(previous, id) === undefined) this._addProgress(now, id);
    }
    return index;
  }

  /**
   * Starts a round of messages in which a majority confirms this leader.
   * @returns The id under which `Ready.confirmed` reports the barrier; `undefined` if this member is not the
   * leader or has not committed an entry of its term yet.
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
   * Requests the voter with the highest match index to take over leadership, before a planned stop.
   * @returns Whether a request was sent.
   */
  transferLeadership(): boolean {
    if (!this.isEstablished()) return false;
    const successor = this._getMostAdvancedVoter();
    if (successor === undefined) return false;
    this._sendImmediate(successor, { case: "transferRequest", value: create(TransferRequestSchema) });
    return true;
  }

  /**
   * Checks whether a majority, including this member, has reported within the last 2.5 s that it has no
   * leader. In that case no leader exists, and this member is not partitioned.
   */
  isElecting(now: number): boolean {
    if (this._role === "leader" || this._leaderId !== "") return false;
    return this._hasMajority(new Set([this.id, ...this._election.getLeaderlessMembers(now)]));
  }

  /**
   * Gets the highest commit index received from leaders or reached locally, even if the entries have not
   * arrived yet.
   */
  get leaderCommitIndex(): number {
    return Math.max(this._leaderCommitIndex, this._commitIndex);
  }

  /**
   * Gets when this follower last received a message from its leader, monotonic milliseconds; `undefined`
   * while it has no leader.
   */
  getLeaderContactAt(): number | undefined {
    return this._role === "follower" && this._leaderId !== "" ? this._election.leaderContactAt : undefined;
  }

  /** Gets when a majority, including this leader, last responded, monotonic milliseconds. */
  getQuorumContactAt(now: number): number {
    const answeredAt = getVoters(this.membership).map(({ id }) => this._getAnsweredAt(now, id));
    return answeredAt.sort((a, b) => b - a)[this.getQuorumSize() - 1] ?? Number.NEGATIVE_INFINITY;
  }

  /** Processes a message from another member. */
  receive(now: number, message: ConsensusMessage): void {
    if (message.to !== this.id) return;
    if (impliesNoLeader(message.body)) this._election.addLeaderlessReport(now, message.from);
    if (message.term > this._term && !this._acceptHigherTerm(now, message)) return;
    // A member that grants a pre-vote may still be in an earlier term.
    if (message.term < this._term && message.body.case !== "preVoteResponse") {
      this._answerLowerTerm(message);
      return;
    }
    this._dispatch(now, message);
  }

  /** Gets the number of members that form a majority. */
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
        this._leaderCommitIndex = Math.max(this._leaderCommitIndex, body.value.commitIndex);
        this._appendEntries(message, body.value);
        return;
      case "appendResponse":
        this._handleAppendResponse(now, message.from, body.value);
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
    // A pre-vote request names a term that no member has entered yet.
    if (message.body.case === "preVoteRequest") {
      this._answerPreVote(now, message, message.body.value.lastIndex, message.body.value.lastTerm);
      return false;
    }
    // A voter with a recent message from its leader rejects other candidates.
    const isOrdinaryRequest = message.body.case === "voteRequest" && !message.body.value.transfer;
    if (isOrdinaryRequest && this._hasOtherLeaderContact(now, message.from)) return false;
    const role = this._role;
    if (role === "leader") this._leadershipEnd = "another term began";
    this._becomeFollower(now, message.term, "");
    if (role === "leader") this._election.resetCampaignDelay(now);
    // The pre-vote request used an outdated term, which is the only reason for its rejection. Repeat it with
    // the new term.
    if (role === "preCandidate" && message.body.case === "preVoteResponse") this._requestPreVotes(now);
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

  private _queueHardState(): void {
    this._outbox.setHardState(create(HardStateSchema, { term: this._term, vote: this._vote }));
  }

  private _hasLeaderContact(now: number): boolean {
    if (this._role === "leader") return true;
    return this._election.hasLeaderContact(now);
  }

  /** A leader that requests votes no longer leads, so its own followers may vote for it. */
  private _hasOtherLeaderContact(now: number, from: string): boolean {
    return from !== this._leaderId && this._hasLeaderContact(now);
  }

  private _isUpToDate(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.log.lastTerm) return lastTerm > this.log.lastTerm;
    return lastIndex >= this.log.lastIndex;
  }

  private _answerPreVote(now: number, message: ConsensusMessage, lastIndex: number, lastTerm: number): void {
    const granted =
      message.term > this._term &&
      !this._hasOtherLeaderContact(now, message.from) &&
      this._isUpToDate(lastIndex, lastTerm) &&
      !this._winsTie(now, message.from, lastIndex, lastTerm);
    if (granted && this._role === "preCandidate") this._becomeFollower(now, this._term, "");
    this._sendDurable(message.from, {
      case: "preVoteResponse",
      value: { $typeName: "ploverstage.v1.PreVoteResponse", granted, requestedTerm: message.term },
    });
  }

  /**
   * Breaks the tie between members that request pre-votes at the same time with equal logs: the member with
   * the lowest id continues and the others support it. Otherwise members that start together would all become
   * candidates and each vote for itself.
   */
  private _winsTie(now: number, from: string, lastIndex: number, lastTerm: number): boolean {
    const isTied = lastTerm === this.log.lastTerm && lastIndex === this.log.lastIndex;
    const isRequesting = this._role === "preCandidate" && this._election.isPreVotePending(now);
    return isRequesting && isTied && this.id < from;
  }

  private _answerVote(now: number, message: ConsensusMessage, lastIndex: number, lastTerm: number): void {
    const isFree = this._vote === "" || this._vote === message.from;
    const granted = isFree && this._role === "follower" && this._isUpToDate(lastIndex, lastTerm);
    if (granted) {
      this._vote = message.from;
      this._queueHardState();
      this._election.postponeCampaign(now);
    }
    this._sendDurable(message.from, {
      case: "voteResponse",
      value: { $typeName: "ploverstage.v1.VoteResponse", granted },
    });
  }

  private _startPreVote(now: number): void {
    this._election.addCampaign(now);
    this._requestPreVotes(now);
  }

  private _requestPreVotes(now: number): void {
    // Responses to the same request that are still in flight remain valid.
    if (this._role !== "preCandidate") this._election.resetVotes([this.id]);
    this._election.addPreVoteRequest(now);
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
    this._queueHardState();
    this._election.resetVotes([]);
    this._election.postponeCampaign(now);
    this._sendVoteRequests("voteRequest", this._term, isTransfer);
    // The member's own vote is sent as a message, so that it counts only after the sync.
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
      this._queueHardState();
    }
    this._role = "follower";
    this._leaderId = leaderId;
    this._barriers.clear();
    this._election.postponeCampaign(now);
  }

  private _followLeader(now: number, leaderId: string): void {
    assertInvariant(this._role !== "leader", "a term must have at most one leader", {
      term: this._term,
      leaderId,
    });
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
    // The time until the first response is measured from the member's addition.
    progress.answeredAt = now;
    this._progress.set(id, progress);
  }

  private _addBody(now: number, body: LogEntry["body"]): number | undefined {
    if (this._role !== "leader") return undefined;
    const entry = create(LogEntrySchema, { index: this.log.lastIndex + 1, term: this._term, body });
    this.log.addEntry(entry);
    this._outbox.addEntry(entry);
    // The append is sent with the next `Ready`, so that entries proposed together share one message.
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
    return now - this.getQuorumContactAt(now) <= this._election.quorumTimeoutMs;
  }

  private _sendDueAppends(): void {
    const dueAt = this._appendDueAt;
    if (dueAt !== undefined && this._role === "leader") this._sendAppends(dueAt);
  }

  private _sendAppends(now: number): void {
    this._appendDueAt = undefined;
    this._heartbeatAt = now + this.timing.heartbeatMs;
    for (const member of this.membership.members) {
      if (member.id !== this.id && this._isAppendDue(now, member)) this._sendAppend(now, member.id);
    }
  }

  /** Checks whether a member gets an append now: learners without new entries get every second heartbeat. */
  private _isAppendDue(now: number, { id, learner }: Member): boolean {
    const progress = this._progress.get(id);
    if (!learner || progress === undefined || progress.nextIndex <= this.log.lastIndex) return true;
    return now - progress.appendedAt >= this.timing.heartbeatMs * LEARNER_HEARTBEATS;
  }

  private _sendAppend(now: number, to: string): void {
    const progress = this._progress.get(to);
    if (progress === undefined) return;
    progress.appendedAt = now;
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
    for (const entry of entries) this._storeEntry(entry);
    const matchIndex = previousIndex + entries.length;
    this._setCommitIndex(Math.min(request.commitIndex, matchIndex));
    this._sendAppendResponse(message.from, true, matchIndex, request.round);
  }

  /** Gets the last index before the conflicting term, so that the leader skips the whole term at once. */
  private _getConflictHint(index: number): number {
    const term = this.log.getTerm(index);
    let hint = index;
    while (hint > this._commitIndex && this.log.getTerm(hint) === term) hint -= 1;
    return hint;
  }

  private _storeEntry(entry: LogEntry): void {
    if (entry.index < this.log.firstIndex) return;
    const knownTerm = this.log.getTerm(entry.index);
    if (knownTerm === entry.term) return;
    assertInvariant(
      knownTerm === undefined || entry.index > this._commitIndex,
      "a committed entry must not be replaced",
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
      // The entries after the snapshot must be written after it, so they are queued again.
      this._outbox.setSnapshot(snapshot, this.log.getEntries(snapshot.index + 1, Number.MAX_SAFE_INTEGER));
      this._durableIndex = Math.min(this._durableIndex, this._commitIndex);
      this._commitIndex = snapshot.index;
      this._deliveredIndex = snapshot.index;
    }
    this._sendAppendResponse(message.from, true, snapshot.index, round);
  }

  private _sendAppendResponse(to: string, accepted: boolean, matchIndex: number, round: number): void {
    const body: MessageBody = {
      case: "appendResponse",
      value: { $typeName: "ploverstage.v1.AppendResponse", accepted, matchIndex, round },
    };
    // The answer to a heartbeat does not wait for a sync of later entries.
    if (accepted && this._isDurable(matchIndex)) this._sendImmediate(to, body);
    else this._sendDurable(to, body);
  }

  private _isDurable(index: number): boolean {
    return index <= this._durableIndex && this._term === this._durableTerm;
  }

  private _handleAppendResponse(
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
      if (progress.addRejection(response.matchIndex)) this._sendAppend(now, from);
      return;
    }
    progress.addMatch(response.matchIndex);
    this._advanceCommit();
    if (progress.nextIndex <= this.log.lastIndex) this._sendAppend(now, from);
  }

  private _getMostAdvancedVoter(): string | undefined {
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
    // Counting replicas may only commit an entry of the leader's own term.
    if (this.log.getTerm(candidate) === this._term) this._setCommitIndex(candidate);
    this._stepDownIfRemoved();
  }

  private _stepDownIfRemoved(): void {
    if (isVoter(this.membership, this.id) || this._hasPendingMembership()) return;
    this._leadershipEnd = "no longer a voter";
    this._role = "follower";
    this._leaderId = "";
  }

  private _setCommitIndex(index: number): void {
    this._commitIndex = Math.max(this._commitIndex, index);
  }

  private _confirmBarriers(): void {
    this._barriers.confirm((round) => this._isConfirmed(round));
  }

  private _isConfirmed(round: number): boolean {
    const ids = new Set([this.id]);
    for (const [id, progress] of this._progress) {
      if (progress.round >= round) ids.add(id);
    }
    return this._hasMajority(ids);
  }

  private _sendDurable(to: string, body: MessageBody, term = this._term): void {
    if (this._canSendTo(to, body)) this._outbox.addDurable(this._createMessage(to, body, term));
  }

  private _sendImmediate(to: string, body: MessageBody): void {
    if (this._canSendTo(to, body)) this._outbox.addImmediate(this._createMessage(to, body, this._term));
  }

  private _createMessage(to: string, body: MessageBody, term: number): ConsensusMessage {
    return create(ConsensusMessageSchema, { from: this.id, to, term, body });
  }

  private _canSendTo(to: string, body: MessageBody): boolean {
    return to === this.id || getMember(this.membership, to) !== undefined || this._isResponse(body);
  }

  /**
   * Checks whether a message is a response. Responses are also sent to members that are not in the local log
   * yet.
   */
  private _isResponse(body: MessageBody): boolean {
    return body.case === "appendResponse" || body.case === "voteResponse" || body.case === "preVoteResponse";
  }
}

/** Checks whether a message implies that its sender has no leader: it requests votes or grants one. */
function impliesNoLeader(body: MessageBody): boolean {
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
