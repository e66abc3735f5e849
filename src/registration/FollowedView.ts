/**
 * A watcher's copy of the leader's view.
 *
 * Updates of an older term are dropped except for their declaration: every published declaration is
 * committed, and the highest version applies, whichever process publishes it. A declaration with a lower
 * version than the current one is dropped, so that a watcher never returns to an older declaration. Pure.
 */
import { CrashTable, MAX_CRASH_RECORDS } from "../containment";
import type { EntryEndpoint, Target, ViewUpdate } from "../gen/ploverstage/v1/fleet_pb";
import type { CrashRecord, Declaration } from "../gen/ploverstage/v1/state_pb";

/**
 * Term of a view that no leader has confirmed since this process started; the term of every leader is higher.
 */
export const RECOVERED_TERM = 0;

/** A copy of the leader's view. */
export class FollowedView {
  private readonly _targets = new Map<string, Target>();
  private _entries: readonly EntryEndpoint[] = [];
  private _entryCount = 0;
  private _peers: readonly EntryEndpoint[] = [];
  private _controlAddresses: readonly string[] = [];
  private _declaration: Declaration | undefined;
  private _proposed: Declaration | undefined;
  private readonly _crashes = new CrashTable(MAX_CRASH_RECORDS);
  private _term = RECOVERED_TERM;

  /** Gets the term of the newest leader whose view was received. */
  get term(): number {
    return this._term;
  }

  /** Gets whether a leader has confirmed the view since this process started. */
  get isConfirmed(): boolean {
    return this._term !== RECOVERED_TERM;
  }

  /** Gets the declaration with the highest version received. */
  get declaration(): Declaration | undefined {
    return this._declaration;
  }

  /** Gets a newer declaration that may be in force, as long as no leader has confirmed the view. */
  get proposed(): Declaration | undefined {
    const isNewer = (this._proposed?.version ?? 0) > (this._declaration?.version ?? 0);
    return isNewer ? this._proposed : undefined;
  }

  /** Gets the targets to which requests may be sent. */
  getTargets(): Target[] {
    return [...this._targets.values()];
  }

  /** Gets the entries to which callers may be sent. */
  getEntries(): readonly EntryEndpoint[] {
    return this._entries;
  }

  /** Gets the entries to which an entry may relay requests; empty at a control process. */
  getPeers(): readonly EntryEndpoint[] {
    return this._peers;
  }

  /** Gets the number of entries; an entry receives no more than this number. */
  get entryCount(): number {
    return this._entryCount;
  }

  /** Gets the addresses of the control processes that the leader published. */
  getControlAddresses(): readonly string[] {
    return this._controlAddresses;
  }

  /** Gets the records of requests during which instances ended. */
  getCrashRecords(): CrashRecord[] {
    return this._crashes.getRecords();
  }

  /** Sets a committed declaration unless the current one is at least as new. */
  addDeclaration(declaration: Declaration): void {
    if (declaration.version > (this._declaration?.version ?? 0)) this._declaration = declaration;
  }

  /**
   * Applies an update.
   * @returns Whether the update is of the newest leader or holds in every term; of any other update only the
   * declaration is applied.
   */
  apply(update: ViewUpdate): boolean {
    if (update.declaration !== undefined) this.addDeclaration(update.declaration);
    this._addProposed(update);
    if (update.pending) {
      this._applyCommitted(update);
      return true;
    }
    if (update.term < this._term) return false;
    this._term = update.term;
    if (update.complete) this._targets.clear();
    for (const target of update.targets) this._targets.set(target.id, target);
    this._applyCommitted(update);
    if (update.entries !== undefined) this._entries = update.entries.entries;
    if (update.entries !== undefined || update.entryCount > 0) {
      this._entryCount = update.entries?.entries.length ?? update.entryCount;
    }
    if (update.peers !== undefined) this._peers = update.peers.entries;
    if (update.controlAddresses.length > 0) this._controlAddresses = update.controlAddresses;
    return true;
  }

  /** Adds a proposed declaration; the first update of a newer leader decides whether it is in force. */
  private _addProposed({ term, pending, proposed }: ViewUpdate): void {
    if (!pending && term > this._term) this._proposed = undefined;
    if (proposed !== undefined && proposed.version > (this._proposed?.version ?? 0))
      this._proposed = proposed;
  }

  /** Applies removals and crash records, which hold in every term. */
  private _applyCommitted({ removedTargetIds, crashRecords }: ViewUpdate): void {
    for (const id of removedTargetIds) this._targets.delete(id);
    for (const record of crashRecords) this._crashes.addRecord(record);
  }
}
