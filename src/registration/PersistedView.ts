/**
 * The view that this process published last, persisted in a file.
 *
 * A leader has a complete view only after a majority runs and has elected it, and the instances have reported
 * to it. The view that a process published before it stopped is mostly correct when it restarts shortly
 * after, so entries serve from it until a leader confirms or replaces it: after a power loss of all machines
 * the first request is served as soon as a control process has started, about two seconds before a leader has
 * its replicas.
 */
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type ViewUpdate, ViewUpdateSchema } from "../gen/ploverstage/v1/fleet_pb";
import type { Declaration } from "../gen/ploverstage/v1/state_pb";
import { writeFileDurably } from "../log";
import type { Logger } from "../metrics";
import type { ViewSource } from "./FleetView";
import { RECOVERED_TERM } from "./FollowedView";

const FILE_NAME = "view.bin";
/** Interval at which the process checks whether the view has to be written, milliseconds. */
const CHECK_INTERVAL_MS = 50;
/**
 * Minimum time between two writes of targets and entries, milliseconds: they change several times a second
 * while replicas are repaired, and each write costs two syncs. A declaration is written at once, because
 * every request depends on it and an older one may be wrong after a single change.
 */
const MIN_WRITE_INTERVAL_MS = 500;

/** Recorded after a failed write; no view has this revision. */
const NOT_WRITTEN = -1;

/** The view and revision of the last write. */
interface WrittenPosition {
  readonly source: ViewSource;
  readonly revision: number;
  readonly declarationVersion: number;
  readonly writtenAt: number;
}

/** The persisted view of one data folder. */
export class PersistedView {
  private readonly _path: string;
  private readonly _logger: Logger;
  private readonly _recovered: ViewUpdate | undefined;
  private _written: WrittenPosition | undefined;
  /** The view in the file. */
  private _persisted: ViewUpdate | undefined;
  private _retryAt = Number.NEGATIVE_INFINITY;
  private _timer: NodeJS.Timeout | undefined;
  private _isWriting = false;
  private _loggedVersion = 0;

  private constructor(path: string, logger: Logger, recovered: ViewUpdate | undefined) {
    this._path = path;
    this._logger = logger;
    this._recovered = recovered;
    this._persisted = recovered;
  }

  /** Reads the persisted view; a missing or damaged file counts as no view. */
  static async open(folder: string, logger: Logger): Promise<PersistedView> {
    const path = join(folder, FILE_NAME);
    const recovered = await readView(path, logger);
    return new PersistedView(path, logger, recovered);
  }

  /**
   * Gets the view that was published before this process started, as an update that no leader confirms;
   * `undefined` without one.
   */
  get recovered(): ViewUpdate | undefined {
    return this._recovered;
  }

  /**
   * Starts persisting the published view.
   * @param getSource - Gets the view that is published to watchers.
   * @param getNow - Gets the current time, monotonic milliseconds.
   * @param getCommitted - Gets the newest committed declaration that this process has applied; it may be
   * newer than the published one.
   */
  start(
    getSource: () => ViewSource | undefined,
    getNow: () => number,
    getCommitted: () => Declaration | undefined = () => undefined,
  ): void {
    this._timer = setInterval(
      () => this._writeIfDue(getNow(), getSource(), getCommitted()),
      CHECK_INTERVAL_MS,
    ).unref();
  }

  /** Stops persisting. */
  stop(): void {
    clearInterval(this._timer);
  }

  private _writeIfDue(now: number, source: ViewSource | undefined, committed: Declaration | undefined): void {
    if (this._isWriting) return;
    if (source !== undefined && this._isDue(now, source)) {
      void this._writeView(now, source);
      return;
    }
    const persisted = this._persisted;
    if (persisted === undefined || committed === undefined || now < this._retryAt) return;
    if (committed.version > (persisted.declaration?.version ?? 0)) {
      void this._write(now, create(ViewUpdateSchema, { ...persisted, declaration: committed }));
    }
  }

  private _isDue(now: number, source: ViewSource): boolean {
    if (source.term === RECOVERED_TERM) return false;
    const written = this._written;
    if (written === undefined) return true;
    if (source.view.declarationVersion > written.declarationVersion) return true;
    const isNew = source !== written.source || source.view.revision !== written.revision;
    return isNew && now - written.writtenAt >= MIN_WRITE_INTERVAL_MS;
  }

  private async _writeView(now: number, source: ViewSource): Promise<void> {
    const { view } = source;
    const { revision, declarationVersion } = view;
    this._written = { source, revision, declarationVersion, writtenAt: now };
    const update = view.createUpdate(RECOVERED_TERM, undefined, 0);
    const isWritten = await this._write(
      now,
      create(ViewUpdateSchema, { ...update, complete: false, removedTargetIds: [] }),
    );
    // The write is retried after the write interval, whether the view changes meanwhile or not.
    if (!isWritten) this._written = { source, revision: NOT_WRITTEN, declarationVersion, writtenAt: now };
  }

  private async _write(now: number, update: ViewUpdate): Promise<boolean> {
    this._isWriting = true;
    try {
      await writeFileDurably(this._path, toBinary(ViewUpdateSchema, update));
      this._logPersistedVersion(update.declaration?.version ?? 0);
      this._persisted = update;
      return true;
    } catch (cause) {
      this._logger.warn({ event: "view_not_kept", reason: String(cause) });
      this._retryAt = now + MIN_WRITE_INTERVAL_MS;
      return false;
    } finally {
      this._isWriting = false;
    }
  }

  /** Logs the version of the declaration that watchers receive after a restart. */
  private _logPersistedVersion(version: number): void {
    if (version === this._loggedVersion) return;
    this._loggedVersion = version;
    this._logger.info({ event: "declaration_kept", version });
  }
}

async function readView(path: string, logger: Logger): Promise<ViewUpdate | undefined> {
  try {
    return fromBinary(ViewUpdateSchema, await readFile(path));
  } catch (cause) {
    const isMissing = (cause as NodeJS.ErrnoException).code === "ENOENT";
    if (!isMissing) logger.warn({ event: "view_not_recovered", reason: String(cause) });
    return undefined;
  }
}
