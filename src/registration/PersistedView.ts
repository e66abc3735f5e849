/**
 * What this process showed its watchers last, kept in a file.
 *
 * A leader knows what serves only once a majority runs, has elected it and has heard the
 * instances. What a process showed before it was stopped is mostly right a moment later, so
 * that entries can serve from it until a leader confirms or replaces it: after a loss of power
 * everywhere the first request is served as soon as a control process has started, about two
 * seconds before a leader knows its replicas.
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

const FILE = "view.bin";
/** How often it is asked whether there is something to write, milliseconds. */
const CHECK_MS = 50;
/**
 * Targets and entries are written no more often than this, milliseconds: they change several
 * times a second while replicas are repaired, and each write costs two syncs. A declaration is
 * written at once, since one that is older by a change decides about every request.
 */
const PAUSE_MS = 500;

/** Revision of no view. */
const NOT_WRITTEN = -1;

/** How far the file was written. */
interface WrittenPosition {
  readonly source: ViewSource;
  readonly revision: number;
  readonly declarationVersion: number;
  readonly writtenAt: number;
}

/** The last view of one data folder. */
export class PersistedView {
  private readonly _path: string;
  private readonly _logger: Logger;
  private readonly _recovered: ViewUpdate | undefined;
  private _written: WrittenPosition | undefined;
  /** What is in the file. */
  private _kept: ViewUpdate | undefined;
  private _retryAt = Number.NEGATIVE_INFINITY;
  private _timer: NodeJS.Timeout | undefined;
  private _isWriting = false;
  private _toldVersion = 0;

  private constructor(path: string, logger: Logger, recovered: ViewUpdate | undefined) {
    this._path = path;
    this._logger = logger;
    this._recovered = recovered;
    this._kept = recovered;
  }

  /** Reads what was kept; a file that is missing or damaged holds nothing. */
  static async open(folder: string, logger: Logger): Promise<PersistedView> {
    const path = join(folder, FILE);
    const recovered = await readView(path, logger);
    return new PersistedView(path, logger, recovered);
  }

  /** Gets what was shown before this process started, as an update that no leader confirms. */
  get recovered(): ViewUpdate | undefined {
    return this._recovered;
  }

  /**
   * Starts keeping what is shown.
   * @param getSource - Gives the view that watchers are shown now.
   * @param getNow - Gives the present time, monotonic milliseconds.
   * @param getAgreed - Gives the declaration that this process knows as agreed; it may be newer than what it was shown.
   */
  start(
    getSource: () => ViewSource | undefined,
    getNow: () => number,
    getAgreed: () => Declaration | undefined = () => undefined,
  ): void {
    this._timer = setInterval(() => this._keepDue(getNow(), getSource(), getAgreed()), CHECK_MS).unref();
  }

  /** Keeps no more. */
  stop(): void {
    clearInterval(this._timer);
  }

  private _keepDue(now: number, source: ViewSource | undefined, agreed: Declaration | undefined): void {
    if (this._isWriting) return;
    if (source !== undefined && this._isDue(now, source)) {
      void this._keepView(now, source);
      return;
    }
    const kept = this._kept;
    if (kept === undefined || agreed === undefined || now < this._retryAt) return;
    if (agreed.version > (kept.declaration?.version ?? 0)) {
      void this._write(now, create(ViewUpdateSchema, { ...kept, declaration: agreed }));
    }
  }

  private _isDue(now: number, source: ViewSource): boolean {
    if (source.term === RECOVERED_TERM) return false;
    const written = this._written;
    if (written === undefined) return true;
    if (source.view.declarationVersion > written.declarationVersion) return true;
    const isNew = source !== written.source || source.view.revision !== written.revision;
    return isNew && now - written.writtenAt >= PAUSE_MS;
  }

  private async _keepView(now: number, source: ViewSource): Promise<void> {
    const { view } = source;
    const { revision, declarationVersion } = view;
    this._written = { source, revision, declarationVersion, writtenAt: now };
    const update = view.createUpdate(RECOVERED_TERM, undefined, 0);
    const isWritten = await this._write(
      now,
      create(ViewUpdateSchema, { ...update, complete: false, removedTargetIds: [] }),
    );
    // Whether anything changes meanwhile or not, it is tried again after a pause.
    if (!isWritten) this._written = { source, revision: NOT_WRITTEN, declarationVersion, writtenAt: now };
  }

  private async _write(now: number, update: ViewUpdate): Promise<boolean> {
    this._isWriting = true;
    try {
      await writeFileDurably(this._path, toBinary(ViewUpdateSchema, update));
      this._tellKept(update.declaration?.version ?? 0);
      this._kept = update;
      return true;
    } catch (cause) {
      this._logger.warn({ event: "view_not_kept", reason: String(cause) });
      this._retryAt = now + PAUSE_MS;
      return false;
    } finally {
      this._isWriting = false;
    }
  }

  /** Tells which declaration watchers are shown after a start from now on. */
  private _tellKept(version: number): void {
    if (version === this._toldVersion) return;
    this._toldVersion = version;
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
