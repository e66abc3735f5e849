/**
 * The leader's view as a watcher holds it.
 *
 * Updates of an older term are dropped, but for their declaration: each one that is shown was agreed on, and the one with the
 * highest version holds, whoever shows it. One below the one held is dropped: what a watcher acts on never goes back. Pure.
 */
import { CrashTable, MAX_CRASH_RECORDS } from "../containment";
import type { EntryEndpoint, Target, ViewUpdate } from "../gen/ploverstage/v1/fleet_pb";
import type { CrashRecord, Declaration } from "../gen/ploverstage/v1/state_pb";

/** Term of a view that no leader has confirmed in this process's life: every leader's is higher. */
export const RECOVERED_TERM = 0;

/** A followed view. */
export class FollowedView {
  private readonly _targets = new Map<string, Target>();
  private _entries: readonly EntryEndpoint[] = [];
  private _entryCount = 0;
  private _controlAddresses: readonly string[] = [];
  private _declaration: Declaration | undefined;
  private readonly _crashes = new CrashTable(MAX_CRASH_RECORDS);
  private _term = RECOVERED_TERM;

  /** Gets the term of the leader that was heard last. */
  get term(): number {
    return this._term;
  }

  /** Gets whether a leader has confirmed the view in this process's life. */
  get isConfirmed(): boolean {
    return this._term !== RECOVERED_TERM;
  }

  /** Gets the declaration with the highest version heard of. */
  get declaration(): Declaration | undefined {
    return this._declaration;
  }

  /** Gets where requests may be sent. */
  getTargets(): Target[] {
    return [...this._targets.values()];
  }

  /** Gets the entries that callers may be sent to. */
  getEntries(): readonly EntryEndpoint[] {
    return this._entries;
  }

  /** Gets how many entries there are; an entry is told no more of them. */
  get entryCount(): number {
    return this._entryCount;
  }

  /** Gets the addresses of the control members, as far as the leader told them. */
  getControlAddresses(): readonly string[] {
    return this._controlAddresses;
  }

  /** Gets what is known of requests under which instances ended. */
  getCrashRecords(): CrashRecord[] {
    return this._crashes.getRecords();
  }

  /** Takes a declaration over that is agreed on, unless the one held is as new. */
  addDeclaration(declaration: Declaration): void {
    if (declaration.version > (this._declaration?.version ?? 0)) this._declaration = declaration;
  }

  /**
   * Takes an update over.
   * @returns Whether it came from the newest leader heard of, or holds whoever leads; of another one only the declaration counts.
   */
  apply(update: ViewUpdate): boolean {
    if (update.declaration !== undefined) this.addDeclaration(update.declaration);
    if (update.pending) {
      this._applyAgreed(update);
      return true;
    }
    if (update.term < this._term) return false;
    this._term = update.term;
    if (update.complete) this._targets.clear();
    for (const target of update.targets) this._targets.set(target.id, target);
    this._applyAgreed(update);
    if (update.entries !== undefined) this._entries = update.entries.entries;
    if (update.entries !== undefined || update.entryCount > 0) {
      this._entryCount = update.entries?.entries.length ?? update.entryCount;
    }
    if (update.controlAddresses.length > 0) this._controlAddresses = update.controlAddresses;
    return true;
  }

  /** What is gone stays gone, whichever leader told of it. */
  private _applyAgreed({ removedTargetIds, crashRecords }: ViewUpdate): void {
    for (const id of removedTargetIds) this._targets.delete(id);
    for (const record of crashRecords) this._crashes.addRecord(record);
  }
}
