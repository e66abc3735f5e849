/**
 * What the leader tells its watchers: targets, entries, members and the declaration.
 *
 * Each change has a revision, so that a watcher is sent only what it lacks. Pure.
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

/** How far a watcher was told. */
export interface WatchPosition {
  readonly revision: number;
  readonly declarationVersion: number;
}

interface RevisedTarget {
  /** `undefined` once removed. */
  readonly target: Target | undefined;
  readonly revision: number;
}

interface RevisedCrashRecord {
  readonly record: CrashRecord;
  readonly revision: number;
}

/** Removed targets kept, so that watchers can be told of them. */
const KEPT_REMOVALS = 1_000;

/** A revisioned view. */
export class FleetView {
  private readonly _targets = new Map<string, RevisedTarget>();
  /** Targets that are agreed to be over, and the numbers of the changes by which they were. */
  private readonly _ended = new Map<string, number>();
  private readonly _crashRecords = new Map<string, RevisedCrashRecord>();
  private _entries: readonly EntryEndpoint[] = [];
  private _controlAddresses: readonly string[] = [];
  private _declaration: Declaration | undefined;
  private _revision = 0;
  private _revisionBesideEntries = 0;
  private _entriesRevision = 0;
  private _controlRevision = 0;
  private _isComplete = false;
  private _completeRevision = 0;

  /** Gets the number of the newest change. */
  get revision(): number {
    return this._revision;
  }

  /** Gets the version of the declaration, 0 without one. */
  get declarationVersion(): number {
    return this._declaration?.version ?? 0;
  }

  /** Gets whether every target is known. */
  get isComplete(): boolean {
    return this._isComplete;
  }

  /** Gets how many targets are held, removed ones that are kept included. */
  get targetCount(): number {
    return this._targets.size;
  }

  /** Gets the entries that callers may be sent to. */
  get entries(): readonly EntryEndpoint[] {
    return this._entries;
  }

  /** Sets the targets; those not named are removed. */
  setTargets(targets: readonly Target[]): void {
    const ids = new Set(targets.map((target) => target.id));
    for (const target of targets) {
      const known = this._targets.get(target.id)?.target;
      if (known !== undefined && equals(TargetSchema, known, target)) continue;
      this._targets.set(target.id, { target, revision: this._advance() });
    }
    for (const [id, { target }] of this._targets) {
      if (target === undefined || ids.has(id)) continue;
      this._targets.delete(id);
      this._targets.set(id, { target: undefined, revision: this._advance() });
    }
    this._forgetRemovals();
  }

  /** Tells of targets that are gone although this leader never told of them. */
  removeTargets(ids: readonly string[]): void {
    for (const id of ids) {
      if (this._targets.has(id)) continue;
      this._targets.set(id, { target: undefined, revision: this._advance() });
    }
    this._forgetRemovals();
  }

  /** Sets the targets that are agreed to be over, whether this view ever held them or not. */
  setEnded(ids: readonly string[]): void {
    const present = new Set(ids);
    for (const id of this._ended.keys()) if (!present.has(id)) this._ended.delete(id);
    for (const id of ids) if (!this._ended.has(id)) this._ended.set(id, this._advance());
  }

  /** Says that every target is known: what a watcher holds beyond them is gone. */
  setComplete(): void {
    if (this._isComplete) return;
    this._isComplete = true;
    this._completeRevision = this._advance();
  }

  /** Sets the entries. */
  setEntries(entries: readonly EntryEndpoint[]): void {
    if (JSON.stringify(entries) === JSON.stringify(this._entries)) return;
    this._entries = entries;
    this._entriesRevision = ++this._revision;
  }

  /** Sets the addresses of the control members. */
  setControlAddresses(addresses: readonly string[]): void {
    if (addresses.join() === this._controlAddresses.join()) return;
    this._controlAddresses = addresses;
    this._controlRevision = this._advance();
  }

  /** Sets the declaration unless the one held has a higher version. */
  setDeclaration(declaration: Declaration | undefined): void {
    if (declaration === undefined || declaration.version <= this.declarationVersion) return;
    this._declaration = declaration;
    this._advance();
  }

  /** Sets the accounts of crashes; watchers keep what they were told of those that are gone. */
  setCrashRecords(records: readonly CrashRecord[]): void {
    const digests = new Set(records.map(({ digest }) => digest));
    for (const digest of this._crashRecords.keys()) {
      if (!digests.has(digest)) this._crashRecords.delete(digest);
    }
    for (const record of records) {
      const known = this._crashRecords.get(record.digest)?.record;
      if (known !== undefined && equals(CrashRecordSchema, known, record)) continue;
      this._crashRecords.set(record.digest, { record, revision: this._advance() });
    }
  }

  /** Gets the number of the newest change of anything but the entries. */
  get revisionBesideEntries(): number {
    return this._revisionBesideEntries;
  }

  /**
   * Gets what a watcher lacks.
   * @param position - `undefined` at the start of a call.
   * @param isEntry - An entry is told only how many entries there are: of many that start at once each
   * would be told of all others as they come.
   */
  createUpdate(
    term: number,
    position: WatchPosition | undefined,
    knownVersion: number,
    isEntry = false,
  ): ViewUpdate {
    const since = position?.revision ?? -1;
    const isNewlyComplete = this._isComplete && this._completeRevision > since;
    const changed = [...this._targets].filter(([, item]) => isNewlyComplete || item.revision > since);
    const version = position?.declarationVersion ?? knownVersion;
    const hasNewEntries = this._entriesRevision > since;
    return create(ViewUpdateSchema, {
      term,
      complete: isNewlyComplete,
      targets: changed.flatMap(([, { target }]) => (target === undefined ? [] : [target])),
      removedTargetIds: changed.flatMap(([id, { target }]) => (target === undefined ? [id] : [])),
      declaration: this.declarationVersion > version ? this._declaration : undefined,
      entries:
        hasNewEntries && !isEntry ? create(EntryListSchema, { entries: [...this._entries] }) : undefined,
      entryCount: hasNewEntries && isEntry ? this._entries.length : 0,
      controlAddresses: this._controlRevision > since ? [...this._controlAddresses] : [],
      crashRecords: this._getCrashRecordsSince(since),
    });
  }

  /**
   * Gets what holds whichever leader's view a watcher has: it has a newer one than this, and lacks nothing else.
   * @param position - `undefined` at the start of a call.
   */
  createPendingUpdate(term: number, position: WatchPosition | undefined, knownVersion: number): ViewUpdate {
    const since = position?.revision ?? -1;
    const { declaration, crashRecords } = this.createUpdate(term, position, knownVersion, true);
    const removedTargetIds = [...this._ended].filter(([, revision]) => revision > since).map(([id]) => id);
    return create(ViewUpdateSchema, { term, pending: true, removedTargetIds, declaration, crashRecords });
  }

  /** Gets the position of a watcher that was sent everything. */
  getPosition(): WatchPosition {
    return { revision: this._revision, declarationVersion: this.declarationVersion };
  }

  /** Gives the number of a change of anything but the entries. */
  private _advance(): number {
    this._revision += 1;
    this._revisionBesideEntries = this._revision;
    return this._revision;
  }

  private _getCrashRecordsSince(revision: number): CrashRecord[] {
    // The table is mostly empty, and this is asked for each watcher and change.
    if (this._crashRecords.size === 0) return [];
    const changed = [...this._crashRecords.values()].filter((item) => item.revision > revision);
    return changed.map(({ record }) => record);
  }

  private _forgetRemovals(): void {
    if (this._targets.size <= KEPT_REMOVALS) return;
    for (const [id, { target }] of this._targets) {
      if (this._targets.size <= KEPT_REMOVALS) return;
      if (target === undefined) this._targets.delete(id);
    }
  }
}

/** A view of one term. */
export interface ViewSource {
  readonly term: number;
  readonly view: FleetView;
}
