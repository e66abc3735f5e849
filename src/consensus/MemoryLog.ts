/** The part of the replicated log after the newest snapshot, in memory. */

import { throwIfBroken } from "../errors";
import type { LogEntry, Membership, Snapshot } from "../gen/ploverstage/v1/consensus_pb";

interface MembershipEntry {
  readonly index: number;
  readonly membership: Membership;
}

/** Entries `firstIndex..lastIndex` with constant-time access by index. */
export class MemoryLog {
  private _entries: LogEntry[] = [];
  private _snapshotIndex = 0;
  private _snapshotTerm = 0;
  private _snapshotMembership: Membership;
  /** Entries held that change the members, ascending: looked up with every message. */
  private _membershipEntries: MembershipEntry[] = [];

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
    return (
      this._membershipEntries.findLast((entry) => entry.index <= atMost)?.membership ??
      this._snapshotMembership
    );
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
    this._noteMembership(entry);
  }

  /** Forgets entries up to an index that a snapshot covers. */
  compact(index: number): void {
    if (index <= this._snapshotIndex) return;
    const term = this.getTerm(index);
    throwIfBroken(term !== undefined, "a snapshot covers entries that were held", index);
    this._snapshotMembership = this.getMembership(index);
    this._entries = this._entries.slice(index - this._snapshotIndex);
    this._membershipEntries = this._membershipEntries.filter((entry) => entry.index > index);
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
    this._membershipEntries = follows
      ? this._membershipEntries.filter((entry) => entry.index > snapshot.index)
      : [];
  }

  private _noteMembership(entry: LogEntry): void {
    while ((this._membershipEntries.at(-1)?.index ?? 0) >= entry.index) this._membershipEntries.pop();
    if (entry.body.case !== "membership") return;
    this._membershipEntries.push({ index: entry.index, membership: entry.body.value });
  }
}
