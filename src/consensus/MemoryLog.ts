/** The in-memory part of the replicated log, after the newest snapshot. */

import { assertInvariant } from "../errors";
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
  /** Log entries that change the membership, in ascending order; looked up for every message. */
  private _membershipEntries: MembershipEntry[] = [];

  /** @param membership - The membership before the first entry. */
  constructor(membership: Membership) {
    this._snapshotMembership = membership;
  }

  /** Gets the index of the first entry after the snapshot. */
  get firstIndex(): number {
    return this._snapshotIndex + 1;
  }

  /** Gets the index of the last entry, or of the snapshot if no entry follows it. */
  get lastIndex(): number {
    return this._snapshotIndex + this._entries.length;
  }

  get lastTerm(): number {
    return this.getTerm(this.lastIndex) ?? 0;
  }

  /** Gets the entry at an index; `undefined` if the log does not contain it. */
  getEntry(index: number): LogEntry | undefined {
    return this._entries[index - this.firstIndex];
  }

  /**
   * Gets the term at an index; `undefined` if the index is neither in the log nor the snapshot's last index.
   */
  getTerm(index: number): number | undefined {
    if (index === this._snapshotIndex) return this._snapshotTerm;
    return this.getEntry(index)?.term;
  }

  /**
   * Gets entries from an index on.
   * @param limit - Maximum number of entries.
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
   * @remarks An index at or below the last one truncates the log from that index on.
   */
  addEntry(entry: LogEntry): void {
    assertInvariant(
      entry.index >= this.firstIndex && entry.index <= this.lastIndex + 1,
      "a log entry must directly follow the previous one",
      { index: entry.index, first: this.firstIndex, last: this.lastIndex },
    );
    this._entries.length = entry.index - this.firstIndex;
    this._entries.push(entry);
    this._trackMembership(entry);
  }

  /** Removes the entries up to an index that a snapshot covers. */
  compact(index: number): void {
    if (index <= this._snapshotIndex) return;
    const term = this.getTerm(index);
    assertInvariant(term !== undefined, "the last index of a snapshot must be in the log", index);
    this._snapshotMembership = this.getMembership(index);
    this._entries = this._entries.slice(index - this._snapshotIndex);
    this._membershipEntries = this._membershipEntries.filter((entry) => entry.index > index);
    this._snapshotTerm = term;
    this._snapshotIndex = index;
  }

  /**
   * Replaces the start of the log by a snapshot.
   * @remarks Entries after the snapshot's last entry are retained if the log matches the snapshot there.
   */
  setSnapshot(snapshot: Snapshot): void {
    const isMatching = this.getTerm(snapshot.index) === snapshot.term;
    this._entries = isMatching ? this._entries.slice(snapshot.index - this._snapshotIndex) : [];
    this._snapshotIndex = snapshot.index;
    this._snapshotTerm = snapshot.term;
    this._snapshotMembership = snapshot.membership!;
    this._membershipEntries = isMatching
      ? this._membershipEntries.filter((entry) => entry.index > snapshot.index)
      : [];
  }

  private _trackMembership(entry: LogEntry): void {
    while ((this._membershipEntries.at(-1)?.index ?? 0) >= entry.index) this._membershipEntries.pop();
    if (entry.body.case !== "membership") return;
    this._membershipEntries.push({ index: entry.index, membership: entry.body.value });
  }
}
