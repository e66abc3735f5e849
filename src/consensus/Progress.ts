/**
 * Tracks the replication progress of one member on the leader and plans its next append.
 *
 * While the member accepts appends, the leader sends each entry once, without waiting for responses. After a
 * rejection the leader probes: it sends one append at a time until it finds the last matching index. It
 * ignores further rejections of appends that were in flight. Pure: times are monotonic milliseconds passed by
 * the caller.
 */
import type { LogEntry } from "../gen/ploverstage/v1/consensus_pb";
import type { MemoryLog } from "./MemoryLog";

/** Limits of one append, so that processing one message does not block a small process for long. */
const MAX_ENTRIES_PER_APPEND = 512;
const MAX_BYTES_PER_APPEND = 262_144;
/** Assumed size of an entry without a command. */
const EMPTY_ENTRY_BYTES = 64;
/** An unanswered probe is sent again after this many heartbeat intervals. */
const PROBE_HEARTBEATS = 5;

/**
 * A voter loses its vote to a learner if it last responded more than this long before the last time a
 * majority responded.
 */
const UNRESPONSIVE_MS = 1_000;
/**
 * A learner is removed if it last responded more than this long before the last time a majority responded.
 */
const EXPIRY_MS = 10_000;
/** A learner may vote if it responded at most this long before the last time a majority responded. */
const PRESENT_MS = 200;
/** A joining member may vote if it lacks at most this many entries. */
const CAUGHT_UP_ENTRIES = 50;

/** The entries to send, and the index before them that the member is assumed to have. */
export interface PlannedAppend {
  readonly previousIndex: number;
  readonly entries: LogEntry[];
}

/** A search for the last index at which the logs match. */
interface Probe {
  readonly sentAt: number;
  /** Index of the last entry in the probe. */
  readonly lastIndex: number;
}

/** Replication progress of one member. */
export class Progress {
  /** Newest round of the leader that the member responded to; it confirms that the member still follows. */
  round = 0;
  /** Time of the last response, of the start of the term or of the member's addition, whichever is latest. */
  answeredAt = Number.NEGATIVE_INFINITY;
  /** Whether the member has responded in this term. */
  hasAnswered = false;
  /** When an append was last sent. */
  appendedAt = Number.NEGATIVE_INFINITY;
  /** When a snapshot was last sent. The next one is sent only after this one can have arrived. */
  snapshotSentAt = Number.NEGATIVE_INFINITY;
  private _nextIndex: number;
  private _matchIndex = 0;
  private _isProbing = false;
  private _probe: Probe | undefined;

  /** @param lastIndex - The leader's last index; the member is initially assumed to have all entries. */
  constructor(lastIndex: number) {
    this._nextIndex = lastIndex + 1;
  }

  /** Gets the index of the next entry to send. */
  get nextIndex(): number {
    return this._nextIndex;
  }

  /** Gets the highest index that the member has confirmed as durable. */
  get matchIndex(): number {
    return this._matchIndex;
  }

  /**
   * Checks whether the member counts as failed and loses its vote.
   * @param quorumContactAt - When a majority last responded. The comparison with it excludes pauses of the
   * leader itself, during which it receives no responses from any member.
   */
  isUnresponsive(quorumContactAt: number): boolean {
    return quorumContactAt - this.answeredAt > UNRESPONSIVE_MS;
  }

  /** Checks whether the member has not responded for so long that it is removed and has to join again. */
  isExpired(quorumContactAt: number): boolean {
    return quorumContactAt - this.answeredAt > EXPIRY_MS;
  }

  /** Checks whether the member has responded as lately as the majority. */
  isPresent(quorumContactAt: number): boolean {
    return quorumContactAt - this.answeredAt <= PRESENT_MS;
  }

  /** Checks whether the member may vote. A voter that never responded would only weaken the majority. */
  isCaughtUp(commitIndex: number): boolean {
    return this._matchIndex > 0 && this._matchIndex >= commitIndex - CAUGHT_UP_ENTRIES;
  }

  /** Plans the next append and marks its entries as sent. */
  planAppend(now: number, log: MemoryLog, heartbeatMs: number): PlannedAppend {
    const previousIndex = this._nextIndex - 1;
    if (!this._isProbing) {
      const entries = getAppendEntries(log, this._nextIndex);
      this._nextIndex += entries.length;
      return { previousIndex, entries };
    }
    if (this._probe !== undefined && now - this._probe.sentAt < heartbeatMs * PROBE_HEARTBEATS) {
      // Send a heartbeat at the last matching index. If the log no longer contains that index, use the
      // previous one.
      const isInLog = log.getTerm(this._matchIndex) !== undefined;
      return { previousIndex: isInLog ? this._matchIndex : previousIndex, entries: [] };
    }
    const entries = getAppendEntries(log, this._nextIndex);
    this._probe = { sentAt: now, lastIndex: previousIndex + entries.length };
    return { previousIndex, entries };
  }

  /** Records that the member has all entries up to an index. */
  addMatch(matchIndex: number): void {
    this._matchIndex = Math.max(this._matchIndex, matchIndex);
    const isProbeComplete = this._probe === undefined || this._matchIndex >= this._probe.lastIndex;
    if (this._isProbing && isProbeComplete) {
      this._isProbing = false;
      this._probe = undefined;
      this._nextIndex = this._matchIndex + 1;
    }
    this._nextIndex = Math.max(this._nextIndex, this._matchIndex + 1);
  }

  /**
   * Records a rejected append.
   * @param hint - The highest index at which the logs may match.
   * @returns Whether the rejection is new and a probe is due.
   */
  addRejection(hint: number): boolean {
    // The rejection of the current probe names an index below the probe's start. Any other rejection is
    // stale.
    if (this._isProbing && hint + 1 >= this._nextIndex) return false;
    this._isProbing = true;
    this._probe = undefined;
    this._nextIndex = Math.max(this._matchIndex + 1, Math.min(this._nextIndex - 1, hint + 1));
    return true;
  }
}

function getAppendEntries(log: MemoryLog, from: number): LogEntry[] {
  const entries = log.getEntries(from, MAX_ENTRIES_PER_APPEND);
  let bytes = 0;
  const count = entries.findIndex((entry) => {
    bytes += entry.body.case === "command" ? entry.body.value.length : EMPTY_ENTRY_BYTES;
    return bytes > MAX_BYTES_PER_APPEND;
  });
  // The first entry is always included, whatever its size.
  return count === -1 ? entries : entries.slice(0, Math.max(1, count));
}
