/**
 * When one member campaigns, who voted for it, and who else knows no leader.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */
import { ElectionPatience } from "./ElectionTimeout";
import type { RandomSource } from "./RandomSource";
import type { Timing } from "./Timing";

/** What a member said of the lack of a leader holds for so long, milliseconds: as long as most campaigns. */
const LEADERLESS_MS = 2_500;

/** The elections of one member. */
export class Election {
  private readonly _random: RandomSource;
  private readonly _timing: Timing;
  private readonly _patience: ElectionPatience;
  /** When each member said last that it knows no leader. */
  private readonly _leaderlessAt = new Map<string, number>();
  private _leaderContactAt: number;
  private _campaignAt = 0;
  private _askedAt = Number.NEGATIVE_INFINITY;
  private _votes = new Set<string>();

  /**
   * @param now - A restarted voter does not know whom it heard last: it waits as if it just had.
   */
  constructor(now: number, timing: Timing, random: RandomSource) {
    this._random = random;
    this._timing = timing;
    this._patience = new ElectionPatience(now, timing);
    this._leaderContactAt = now;
    this.postponeCampaign(now);
  }

  /** Gets who voted for this member in its present campaign. */
  get votes(): ReadonlySet<string> {
    return this._votes;
  }

  /** Gets when the leader was heard last, or the member began. */
  get leaderContactAt(): number {
    return this._leaderContactAt;
  }

  /** Gets how long a leader may go without an answer of a majority, milliseconds. */
  get contactMs(): number {
    return this._patience.maxMs;
  }

  /** Checks whether the member is to campaign. */
  isCampaignDue(now: number): boolean {
    return now >= this._campaignAt;
  }

  /** Checks whether the member heard a leader so lately that it votes for nobody else. */
  hearsLeader(now: number): boolean {
    return now - this._leaderContactAt < this._patience.minMs;
  }

  /** Has the member wait from now on, for a time of its own, before it campaigns. */
  postponeCampaign(now: number): void {
    const { minMs, maxMs } = this._patience;
    this._campaignAt = now + minMs + this._random.next() * (maxMs - minMs);
  }

  /**
   * Has the member, which led until now, wait for no longer than voters usually do: the others have lost
   * their leader with it, and miss it only after their patience.
   */
  hastenCampaign(now: number): void {
    const { electionMinMs, electionMaxMs } = this._timing;
    this._campaignAt = now + electionMinMs + this._random.next() * (electionMaxMs - electionMinMs);
  }

  /** Notes that the member begins to campaign. */
  addCampaign(now: number): void {
    this._patience.addCampaign(now);
  }

  /** Notes that the member asks whether it would be supported. */
  addQuestion(now: number): void {
    this._askedAt = now;
  }

  /** Checks whether it asked so lately that answers may still come: an older question may have been lost. */
  isQuestionOpen(now: number): boolean {
    return now - this._askedAt <= this._timing.electionMaxMs;
  }

  /** Forgets votes of an earlier question. */
  resetVotes(ids: readonly string[]): void {
    this._votes = new Set(ids);
  }

  /** Notes a vote. */
  addVote(id: string): void {
    this._votes.add(id);
  }

  /** Notes that the leader of a term was heard. */
  addLeaderContact(now: number, term: number): void {
    this._leaderContactAt = now;
    this._patience.addContact(now, term);
  }

  /** Notes, as the leader, that a follower answered. */
  addFollowerContact(now: number, term: number): void {
    this._patience.addContact(now, term);
  }

  /** Notes that a member said that it knows no leader. */
  addLeaderless(now: number, id: string): void {
    this._leaderlessAt.set(id, now);
  }

  /** Gets who said so lately. */
  getLeaderless(now: number): string[] {
    return [...this._leaderlessAt].filter(([, at]) => now - at <= LEADERLESS_MS).map(([id]) => id);
  }
}
