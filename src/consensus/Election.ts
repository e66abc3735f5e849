/**
 * Decides when one member campaigns, and tracks its votes and the members that have no leader.
 *
 * Pure: times are monotonic milliseconds passed by the caller.
 */
import { ElectionTimeout } from "./ElectionTimeout";
import type { RandomSource } from "./RandomSource";
import type { Timing } from "./Timing";

/**
 * A member's report that it has no leader is valid for this many milliseconds, as long as most campaigns
 * take.
 */
const LEADERLESS_REPORT_MS = 2_500;

/** Election state of one member. */
export class Election {
  private readonly _random: RandomSource;
  private readonly _timing: Timing;
  private readonly _timeout: ElectionTimeout;
  /** When each member last reported that it has no leader. */
  private readonly _leaderlessAt = new Map<string, number>();
  private _leaderContactAt: number;
  private _campaignAt = 0;
  private _preVoteRequestedAt = Number.NEGATIVE_INFINITY;
  private _votes = new Set<string>();

  /**
   * @param now - Start time. A restarted voter has no record of its last leader contact, so it waits as if it
   * had just received a message from the leader.
   */
  constructor(now: number, timing: Timing, random: RandomSource) {
    this._random = random;
    this._timing = timing;
    this._timeout = new ElectionTimeout(now, timing);
    this._leaderContactAt = now;
    this.postponeCampaign(now);
  }

  /** Gets the ids of members that voted for this member in its current campaign. */
  get votes(): ReadonlySet<string> {
    return this._votes;
  }

  /**
   * Gets when this member last received a message from the leader, or its start time if it has received none.
   */
  get leaderContactAt(): number {
    return this._leaderContactAt;
  }

  /** Gets how long a leader may stay without responses from a majority, milliseconds. */
  get quorumTimeoutMs(): number {
    return this._timeout.maxMs;
  }

  /** Checks whether the election timeout has elapsed. */
  isCampaignDue(now: number): boolean {
    return now >= this._campaignAt;
  }

  /**
   * Checks whether the last message from the leader is recent enough that the member rejects other
   * candidates.
   */
  hasLeaderContact(now: number): boolean {
    return now - this._leaderContactAt < this._timeout.minMs;
  }

  /** Restarts the election timeout with a new random duration. */
  postponeCampaign(now: number): void {
    const { minMs, maxMs } = this._timeout;
    this._campaignAt = now + minMs + this._random.next() * (maxMs - minMs);
  }

  /**
   * Restarts the election timeout without backoff. A member that has just lost its leadership uses it: the
   * other members notice the loss only after their own, possibly longer, timeouts.
   */
  resetCampaignDelay(now: number): void {
    const { electionMinMs, electionMaxMs } = this._timing;
    this._campaignAt = now + electionMinMs + this._random.next() * (electionMaxMs - electionMinMs);
  }

  /** Records the start of a campaign. */
  addCampaign(now: number): void {
    this._timeout.addCampaign(now);
  }

  /** Records that the member has sent pre-vote requests. */
  addPreVoteRequest(now: number): void {
    this._preVoteRequestedAt = now;
  }

  /**
   * Checks whether responses to the last pre-vote requests may still arrive; older requests may have been
   * lost.
   */
  isPreVotePending(now: number): boolean {
    return now - this._preVoteRequestedAt <= this._timing.electionMaxMs;
  }

  /** Replaces the votes of an earlier request. */
  resetVotes(ids: readonly string[]): void {
    this._votes = new Set(ids);
  }

  addVote(id: string): void {
    this._votes.add(id);
  }

  /** Records a message from the leader of a term. */
  addLeaderContact(now: number, term: number): void {
    this._leaderContactAt = now;
    this._timeout.addContact(now, term);
  }

  /** Records, on the leader, a response from a follower. */
  addFollowerContact(now: number, term: number): void {
    this._timeout.addContact(now, term);
  }

  /** Records a member's report that it has no leader. */
  addLeaderlessReport(now: number, id: string): void {
    this._leaderlessAt.set(id, now);
  }

  /** Gets the members with a valid report that they have no leader. */
  getLeaderlessMembers(now: number): string[] {
    return [...this._leaderlessAt].filter(([, at]) => now - at <= LEADERLESS_REPORT_MS).map(([id]) => id);
  }
}
