/**
 * How long a member waits for a leader before it campaigns, by what it sees.
 *
 * On machines that are overloaded a message waits for as long as a voter does: campaigns overtake each
 * other, and a leader that computes for a while is voted out, which makes for more work. Campaigns
 * that come to nothing, and each long silence of a leader that was slow, double the patience; a leader
 * that is heard regularly halves it again.
 * Pure: times are monotonic milliseconds given by the caller.
 */
import type { Timing } from "./Timing";

/** The longest patience, in usual ones: a campaign takes four messages, and each may wait as long as a usual patience. */
const MAX_FACTOR = 4;
/** A leader that was silent for this part of a voter's patience may be missed next time. */
const LONG_SILENCE = 0.8;
/** Campaigns before patience grows. */
const FREE_CAMPAIGNS = 1;
/**
 * A leader that was heard without a long silence for this part of a voter's longest patience has kept up
 * with its work: if another one is heard after its silence, it had died, and the next death is to be missed as soon.
 */
const KEPT_UP = 0.5;
/** A leader has to be heard regularly for so long before patience is halved, milliseconds. */
const REGULAR_MS = 3_000;

/** The patience of one member. */
export class ElectionPatience {
  private readonly _timing: Timing;
  private _factor = 1;
  private _campaigns = 0;
  private _heardAt: number;
  /** Term of the leader that was heard last, and since when it was heard without a long silence. */
  private _term: number | undefined;
  /** A member that was just started can't tell how long the leader that it finds has led. */
  private _keptUpSince = Number.NEGATIVE_INFINITY;
  private _regularSince: number;

  /**
   * @param now - When the member began; it waits as if it had just heard a leader.
   */
  constructor(now: number, timing: Timing) {
    this._timing = timing;
    this._heardAt = now;
    this._regularSince = now;
  }

  /** Gets the shortest silence of a leader after which a voter campaigns, milliseconds. */
  get minMs(): number {
    return this._timing.electionMinMs * this._factor;
  }

  /** Gets the longest such silence, milliseconds. */
  get maxMs(): number {
    return this._timing.electionMaxMs * this._factor;
  }

  /** Notes that the member campaigns; earlier campaigns came to nothing if no leader was heard since. */
  addCampaign(now: number): void {
    this._campaigns += 1;
    if (this._campaigns > FREE_CAMPAIGNS) this._double(now);
  }

  /** Notes that the leader of a term was heard, or as that leader a follower. */
  addContact(now: number, term: number): void {
    const isLongSilence = now - this._heardAt > this.minMs * LONG_SILENCE;
    const isOther = term !== this._term;
    if (isLongSilence && !(isOther && this._hadKeptUp())) this._double(now);
    if (this._term !== undefined && (isLongSilence || isOther)) this._keptUpSince = now;
    this._campaigns = 0;
    this._heardAt = now;
    this._term = term;
    if (now - this._regularSince <= REGULAR_MS) return;
    this._factor = Math.max(1, this._factor / 2);
    this._regularSince = now;
  }

  private _hadKeptUp(): boolean {
    return this._heardAt - this._keptUpSince >= this.maxMs * KEPT_UP;
  }

  private _double(now: number): void {
    this._factor = Math.min(MAX_FACTOR, this._factor * 2);
    this._regularSince = now;
  }
}
