/**
 * Adapts a member's election timeout to the observed delays.
 *
 * On overloaded machines messages can be delayed by as much as the election timeout. Campaigns then overtake
 * each other, and a leader that is busy computing is voted out, which adds further load. The timeout doubles
 * after each failed campaign and after each long gap in a slow leader's messages. It halves again while the
 * leader's messages arrive regularly.
 *
 * Pure: times are monotonic milliseconds passed by the caller.
 */
import type { Timing } from "./Timing";

/**
 * Longest timeout as a multiple of the base timeout: a campaign takes four messages, and each may be delayed
 * by one base timeout.
 */
const MAX_FACTOR = 4;
/**
 * A gap in the leader's messages is long from this share of the shortest timeout on: the next gap may exceed
 * the timeout.
 */
const LONG_GAP_SHARE = 0.8;
/** Campaigns after which the timeout starts to double. */
const CAMPAIGNS_BEFORE_BACKOFF = 1;
/**
 * A leader without a long gap for this share of the longest timeout counts as stable. When messages from
 * another leader follow, the stable leader has failed rather than slowed down, and the timeout stays, so that
 * the next failure is detected as fast.
 */
const STABLE_SHARE = 0.5;
/** Time of regular contact with the leader after which the timeout is halved, milliseconds. */
const REGULAR_CONTACT_MS = 3_000;

/** The election timeout of one member. */
export class ElectionTimeout {
  private readonly _timing: Timing;
  private _factor = 1;
  private _campaigns = 0;
  private _contactAt: number;
  /** Term of the last contact. */
  private _term: number | undefined;
  /**
   * Time of the last long gap or change of term. A member that has just started cannot determine how long the
   * current leader has been leading, so it assumes that the leader is stable.
   */
  private _stableSince = Number.NEGATIVE_INFINITY;
  private _regularSince: number;

  /** @param now - Start time of the member; it waits as if it had just received a message from a leader. */
  constructor(now: number, timing: Timing) {
    this._timing = timing;
    this._contactAt = now;
    this._regularSince = now;
  }

  /** Gets the shortest gap in the leader's messages after which a voter campaigns, milliseconds. */
  get minMs(): number {
    return this._timing.electionMinMs * this._factor;
  }

  /** Gets the longest such gap, milliseconds. */
  get maxMs(): number {
    return this._timing.electionMaxMs * this._factor;
  }

  /** Records a campaign. Earlier campaigns failed if no message from a leader has arrived since. */
  addCampaign(now: number): void {
    this._campaigns += 1;
    if (this._campaigns > CAMPAIGNS_BEFORE_BACKOFF) this._double(now);
  }

  /** Records a message from the leader of a term or, on that leader, a response from a follower. */
  addContact(now: number, term: number): void {
    const isLongGap = now - this._contactAt > this.minMs * LONG_GAP_SHARE;
    const isOtherTerm = term !== this._term;
    if (isLongGap && !(isOtherTerm && this._wasStable())) this._double(now);
    if (this._term !== undefined && (isLongGap || isOtherTerm)) this._stableSince = now;
    this._campaigns = 0;
    this._contactAt = now;
    this._term = term;
    if (now - this._regularSince <= REGULAR_CONTACT_MS) return;
    this._factor = Math.max(1, this._factor / 2);
    this._regularSince = now;
  }

  private _wasStable(): boolean {
    return this._contactAt - this._stableSince >= this.maxMs * STABLE_SHARE;
  }

  private _double(now: number): void {
    this._factor = Math.min(MAX_FACTOR, this._factor * 2);
    this._regularSince = now;
  }
}
