/** The part of the replicated log after the newest snapshot, in memory. */

import { throwIfBroken } from "../errors";
import type { LogEntry, Membership, Snapshot } from "../gen/ploverstage/v1/consensus_pb";

/** Entries `firstIndex..lastIndex` with constant-time access by index. */
export class MemoryLog {
  private _entries: LogEntry[] = [];
  private _snapshotIndex = 0;
  private _snapshotTerm = 0;
  private _snapshotMembership: Membership;

  /**
   * @param membership - The members before any entry.
   */
  constructor(membership: Membership) {
    this._snapshotMembership = membership;
  }

  /** Gets the index of the first entry held. */
  get firstIndex(): number {
    return this._snapshotIndex + 1;
  }

  /** Gets the index of the last entry, or of the snapshot when none follows it. */
  get lastIndex(): number {
    return this._snapshotIndex + this._entries.length;
  }

  /** Gets the term of the last entry. */
  get lastTerm(): number {
    return this.getTerm(this.lastIndex) ?? 0;
  }

  /** Gets the entry at an index. */
  getEntry(index: number): LogEntry | undefined {
    return this._entries[index - this.firstIndex];
  }

  /** Gets the term of an index, if it is held or is the snapshot's. */
  getTerm(index: number): number | undefined {
    if (index === this._snapshotIndex) return this._snapshotTerm;
    return this.getEntry(index)?.term;
  }

  /**
   * Gets entries from an index on.
   * @param limit - The most entries to give.
   */
  getEntries(from: number, limit: number): LogEntry[] {
    const start = from - this.firstIndex;
    return this._entries.slice(start, start + limit);
  }

  /** Gets the newest membership at or below an index. */
  getMembership(atMost = this.lastIndex): Membership {
    for (let index = Math.min(atMost, this.lastIndex); index >= this.firstIndex; index--) {
      const body = this.getEntry(index)?.body;
      if (body?.case === "membership") return body.value;
    }
    return this._snapshotMembership;
  }

  /**
   * Appends an entry.
   * @remarks An index at or below the last one cuts the tail from there on.
   */
  addEntry(entry: LogEntry): void {
    throwIfBroken(
      entry.index >= this.firstIndex && entry.index <= this.lastIndex + 1,
      "a log entry follows the one before it",
      { index: entry.index, first: this.firstIndex, last: this.lastIndex },
    );
    this._entries.length = entry.index - this.firstIndex;
    this._entries.push(entry);
  }

  /** Forgets entries up to an index that a snapshot covers. */
  compact(index: number): void {
    if (index <= this._snapshotIndex) return;
    const term = this.getTerm(index);
    throwIfBroken(term !== undefined, "a snapshot covers entries that were held", index);
    this._snapshotMembership = this.getMembership(index);
    this._entries = this._entries.slice(index - this._snapshotIndex);
    this._snapshotTerm = term;
    this._snapshotIndex = index;
  }

  /**
   * Takes a snapshot from elsewhere.
   * @remarks Entries that follow the snapshot's last entry are kept.
   */
  setSnapshot(snapshot: Snapshot): void {
    const follows = this.getTerm(snapshot.index) === snapshot.term;
    this._entries = follows ? this._entries.slice(snapshot.index - this._snapshotIndex) : [];
    this._snapshotIndex = snapshot.index;
    this._snapshotTerm = snapshot.term;
    this._snapshotMembership = snapshot.membership!;
  }
}
