/**
 * The view that a leader publishes to watchers: targets, entries, members, crash records and the declaration.
 *
 * Each change has a revision, so that a watcher receives only the changes that it lacks. Pure.
 */
import { create, equals } from "@bufbuild/protobuf";
import {
  type EntryEndpoint,
  EntryListSchema,
  type Target,
  TargetSchema,
  type ViewUpdate,
  ViewUpdateSchema,
} from "../gen/ploverstage/v1/fleet_pb";
import { type CrashRecord, CrashRecordSchema, type Declaration } from "../gen/ploverstage/v1/state_pb";

/** Position up to which a watcher has received the changes of the view. */
export interface WatchPosition {
  readonly revision: number;
  readonly declarationVersion: number;
}

interface RevisedTarget {
  /** `undefined` once the target is removed. */
  readonly target: Target | undefined;
  readonly revision: number;
}

interface RevisedCrashRecord {
  readonly record: CrashRecord;
  readonly revision: number;
}

/** Number of removed targets to retain, so that watchers can be notified of the removal. */
const RETAINED_REMOVALS = 1_000;

/** A view with a revision for each change. */
export class FleetView {
  private readonly _targets = new Map<string, RevisedTarget>();
  /** Ids of the targets that are committed as ended, with the revision of each change. */
  private readonly _endedTargets = new Map<string, number>();
  private readonly _crashRecords = new Map<string, RevisedCrashRecord>();
  private _entries: readonly EntryEndpoint[] = [];
  private _controlAddresses: readonly string[] = [];
  private _declaration: Declaration | undefined;
  private _proposed: Declaration | undefined;
  private _proposedRevision = 0;
  private _revision = 0;
  private _revisionExceptEntries = 0;
  private _entriesRevision = 0;
  private _controlRevision = 0;
  private _isComplete = false;
  private _completeRevision = 0;

  /** Gets the revision of the newest change. */
  get revision(): number {
    return this._revision;
  }

  /** Gets the version of the declaration, 0 without one. */
  get declarationVersion(): number {
    return this._declaration?.version ?? 0;
  }

  /** Gets whether the view contains every target. */
  get isComplete(): boolean {
    return this._isComplete;
  }

  /** Gets the number of targets, including the removed targets that are retained. */
  get targetCount(): number {
    return this._targets.size;
  }

  /** Gets the entries to which callers may be sent. */
  get entries(): readonly EntryEndpoint[] {
    return this._entries;
  }

  /** Sets the targets; targets that are not in the list are removed. */
  setTargets(targets: readonly Target[]): void {
    const ids = new Set(targets.map((target) => target.id));
    for (const target of targets) {
      const current = this._targets.get(target.id)?.target;
      if (current !== undefined && equals(TargetSchema, current, target)) continue;
      this._targets.set(target.id, { target, revision: this._advance() });
    }
    for (const [id, { target }] of this._targets) {
      if (target === undefined || ids.has(id)) continue;
      this._targets.delete(id);
      this._targets.set(id, { target: undefined, revision: this._advance() });
    }
    this._evictRemovals();
  }

  /** Publishes the removal of targets that this view never contained. */
  removeTargets(ids: readonly string[]): void {
    for (const id of ids) {
      if (this._targets.has(id)) continue;
      this._targets.set(id, { target: undefined, revision: this._advance() });
    }
    this._evictRemovals();
  }

  /** Sets the targets that are committed as ended, whether this view contained them or not. */
  setEndedTargets(ids: readonly string[]): void {
    const present = new Set(ids);
    for (const id of this._endedTargets.keys()) if (!present.has(id)) this._endedTargets.delete(id);
    for (const id of ids) if (!this._endedTargets.has(id)) this._endedTargets.set(id, this._advance());
  }

  /** Marks the view as complete: watchers remove all targets that it does not contain. */
  setComplete(): void {
    if (this._isComplete) return;
    this._isComplete = true;
    this._completeRevision = this._advance();
  }

  /** Sets the entries; an equal list causes no revision. */
  setEntries(entries: readonly EntryEndpoint[]): void {
    if (JSON.stringify(entries) === JSON.stringify(this._entries)) return;
    this._entries = entries;
    this._entriesRevision = ++this._revision;
  }

  /** Sets the addresses of the control processes to watch; an equal list causes no revision. */
  setControlAddresses(addresses: readonly string[]): void {
    if (addresses.join() === this._controlAddresses.join()) return;
    this._controlAddresses = addresses;
    this._controlRevision = this._advance();
  }

  /** Sets the declaration if its version is higher than the current one. */
  setDeclaration(declaration: Declaration | undefined): void {
    if (declaration === undefined || declaration.version <= this.declarationVersion) return;
    this._declaration = declaration;
    this._advance();
  }

  /** Sets a newer declaration that may be in force; one that is not newer than the current one is dropped. */
  setProposed(declaration: Declaration | undefined): void {
    if (declaration === undefined || declaration.version <= this.declarationVersion) return;
    if (declaration.version <= (this._proposed?.version ?? 0)) return;
    this._proposed = declaration;
    this._proposedRevision = this._advance();
  }

  /** Sets the crash records; watchers keep the records that are removed here. */
  setCrashRecords(records: readonly CrashRecord[]): void {
    const digests = new Set(records.map(({ digest }) => digest));
    for (const digest of this._crashRecords.keys()) {
      if (!digests.has(digest)) this._crashRecords.delete(digest);
    }
    for (const record of records) {
      const current = this._crashRecords.get(record.digest)?.record;
      if (current !== undefined && equals(CrashRecordSchema, current, record)) continue;
      this._crashRecords.set(record.digest, { record, revision: this._advance() });
    }
  }

  /** Gets the revision of the newest change that is not a change of entries. */
  get revisionExceptEntries(): number {
    return this._revisionExceptEntries;
  }

  /**
   * Creates an update with all changes that a watcher lacks.
   * @param position - `undefined` at the start of a call.
   * @param isEntry - Whether the watcher is an entry. An entry receives only the number of entries: of many
   * that start at the same time each would otherwise receive every other one as it starts.
   */
  createUpdate(
    term: number,
    position: WatchPosition | undefined,
    knownVersion: number,
    isEntry = false,
  ): ViewUpdate {
    const since = position?.revision ?? -1;
    const isNewlyComplete = this._isComplete && this._completeRevision > since;
    const changedTargets = [...this._targets].filter(([, item]) => isNewlyComplete || item.revision > since);
    const currentVersion = position?.declarationVersion ?? knownVersion;
    const hasNewEntries = this._entriesRevision > since;
    return create(ViewUpdateSchema, {
      term,
      complete: isNewlyComplete,
      targets: changedTargets.flatMap(([, { target }]) => (target === undefined ? [] : [target])),
      removedTargetIds: changedTargets.flatMap(([id, { target }]) => (target === undefined ? [id] : [])),
      declaration: this.declarationVersion > currentVersion ? this._declaration : undefined,
      entries:
        hasNewEntries && !isEntry ? create(EntryListSchema, { entries: [...this._entries] }) : undefined,
      entryCount: hasNewEntries && isEntry ? this._entries.length : 0,
      controlAddresses: this._controlRevision > since ? [...this._controlAddresses] : [],
      crashRecords: this._getCrashRecordsSince(since),
      proposed: this._proposedRevision > since ? this._proposed : undefined,
    });
  }

  /**
   * Creates an update for a watcher whose view has a newer term than this one. It contains only what holds in
   * every term: ended targets, the declaration and crash records.
   * @param position - `undefined` at the start of a call.
   */
  createPendingUpdate(term: number, position: WatchPosition | undefined, knownVersion: number): ViewUpdate {
    const since = position?.revision ?? -1;
    const { declaration, proposed, crashRecords } = this.createUpdate(term, position, knownVersion, true);
    const removedTargetIds = [...this._endedTargets]
      .filter(([, revision]) => revision > since)
      .map(([id]) => id);
    return create(ViewUpdateSchema, {
      term,
      pending: true,
      removedTargetIds,
      declaration,
      proposed,
      crashRecords,
    });
  }

  /** Gets the position of a watcher that has received every change. */
  getPosition(): WatchPosition {
    return { revision: this._revision, declarationVersion: this.declarationVersion };
  }

  /** Gets a new revision for a change that is not a change of entries. */
  private _advance(): number {
    this._revision += 1;
    this._revisionExceptEntries = this._revision;
    return this._revision;
  }

  private _getCrashRecordsSince(revision: number): CrashRecord[] {
    // The table is mostly empty, and this method is called for each watcher and change.
    if (this._crashRecords.size === 0) return [];
    const changed = [...this._crashRecords.values()].filter((item) => item.revision > revision);
    return changed.map(({ record }) => record);
  }

  private _evictRemovals(): void {
    if (this._targets.size <= RETAINED_REMOVALS) return;
    for (const [id, { target }] of this._targets) {
      if (this._targets.size <= RETAINED_REMOVALS) return;
      if (target === undefined) this._targets.delete(id);
    }
  }
}

/** A view and the term of its leader. */
export interface ViewSource {
  readonly term: number;
  readonly view: FleetView;
}
