/**
 * What a leader knows of one other member, and what it sends it next.
 *
 * As long as the member takes what it is sent, entries are sent once, ahead of its answers.
 * After a refusal the leader probes: one append at a time finds out where the logs agree, and
 * further refusals of what was under way change nothing. Pure: times are monotonic
 * milliseconds given by the caller.
 */
import type { LogEntry } from "../gen/ploverstage/v1/consensus_pb";
import type { MemoryLog } from "./MemoryLog";

/** Bounds on one append, so that no message holds a small process up for long. */
const MAX_ENTRIES_PER_APPEND = 512;
const MAX_BYTES_PER_APPEND = 262_144;
/** An entry without a command. */
const SMALL_ENTRY_BYTES = 64;
/** A probe that was not answered for so many heartbeats is sent again. */
const PROBE_HEARTBEATS = 5;

/** A voter that has answered so long before a majority did last gives its vote to a learner. */
const GONE_MS = 1_000;
/** A learner that has been silent for so long is sent nothing more. */
const FORGOTTEN_MS = 10_000;
/** A joiner that lacks no more entries than this may vote. */
const CAUGHT_UP_ENTRIES = 50;

/** What to send: entries after an index that the member is thought to have. */
export interface PlannedAppend {
  readonly previousIndex: number;
  readonly entries: LogEntry[];
}

/** A search for the index up to which the logs agree. */
interface Probe {
  readonly sentAt: number;
  /** Index of the last entry in it. */
  readonly lastIndex: number;
}

/** Progress of one member. */
export class Progress {
  /** Newest round of the leader that it answered; shows that it still follows. */
  round = 0;
  /** When its last answer arrived, the term began or the member was added, whichever is latest. */
  answeredAt = Number.NEGATIVE_INFINITY;
  /** Whether it answered in this term. */
  hasAnswered = false;
  /** When a snapshot was last sent; none is sent again until it can have arrived. */
  snapshotSentAt = Number.NEGATIVE_INFINITY;
  private _nextIndex: number;
  private _matchIndex = 0;
  private _isProbing = false;
  private _probe: Probe | undefined;

  /**
   * @param lastIndex - The leader's: the member is thought to have everything.
   */
  constructor(lastIndex: number) {
    this._nextIndex = lastIndex + 1;
  }

  /** Gets the index of the next entry to send. */
  get nextIndex(): number {
    return this._nextIndex;
  }

  /** Gets the highest index known to be durable there. */
  get matchIndex(): number {
    return this._matchIndex;
  }

  /**
   * Checks whether the member is taken for gone.
   * @param quorumContactAt - When a majority answered last: a leader that stood still itself has missed everyone alike.
   */
  isGone(quorumContactAt: number): boolean {
    return quorumContactAt - this.answeredAt > GONE_MS;
  }

  /** Checks whether the member has been silent for so long that it has to join anew. */
  isForgotten(quorumContactAt: number): boolean {
    return quorumContactAt - this.answeredAt > FORGOTTEN_MS;
  }

  /** Checks whether the member may vote; one that never answered would only weaken the set. */
  isCaughtUp(commitIndex: number): boolean {
    return this._matchIndex > 0 && this._matchIndex >= commitIndex - CAUGHT_UP_ENTRIES;
  }

  /** Plans the next append; its entries count as sent. */
  planAppend(now: number, log: MemoryLog, heartbeatMs: number): PlannedAppend {
    const previousIndex = this._nextIndex - 1;
    if (!this._isProbing) {
      const entries = takeEntries(log, this._nextIndex);
      this._nextIndex += entries.length;
      return { previousIndex, entries };
    }
    if (this._probe !== undefined && now - this._probe.sentAt < heartbeatMs * PROBE_HEARTBEATS) {
      // A sign of life where the logs are known to agree; where that is forgotten, any other.
      const isHeld = log.getTerm(this._matchIndex) !== undefined;
      return { previousIndex: isHeld ? this._matchIndex : previousIndex, entries: [] };
    }
    const entries = takeEntries(log, this._nextIndex);
    this._probe = { sentAt: now, lastIndex: previousIndex + entries.length };
    return { previousIndex, entries };
  }

  /** Notes that a member has everything up to an index. */
  addMatch(matchIndex: number): void {
    this._matchIndex = Math.max(this._matchIndex, matchIndex);
    const hasEnded = this._probe === undefined || this._matchIndex >= this._probe.lastIndex;
    if (this._isProbing && hasEnded) {
      this._isProbing = false;
      this._probe = undefined;
      this._nextIndex = this._matchIndex + 1;
    }
    this._nextIndex = Math.max(this._nextIndex, this._matchIndex + 1);
  }

  /**
   * Notes a refusal.
   * @param hint - The highest index up to which the logs may agree.
   * @returns Whether it says anything new: a probe is due.
   */
  addRefusal(hint: number): boolean {
    // A probe that is refused names an index below it; what names another one is older.
    if (this._isProbing && hint + 1 >= this._nextIndex) return false;
    this._isProbing = true;
    this._probe = undefined;
    this._nextIndex = Math.max(this._matchIndex + 1, Math.min(this._nextIndex - 1, hint + 1));
    return true;
  }
}

function takeEntries(log: MemoryLog, from: number): LogEntry[] {
  const entries = log.getEntries(from, MAX_ENTRIES_PER_APPEND);
  let bytes = 0;
  const count = entries.findIndex((entry) => {
    bytes += entry.body.case === "command" ? entry.body.value.length : SMALL_ENTRY_BYTES;
    return bytes > MAX_BYTES_PER_APPEND;
  });
  // One entry is sent however large it is.
  return count === -1 ? entries : entries.slice(0, Math.max(1, count));
}
