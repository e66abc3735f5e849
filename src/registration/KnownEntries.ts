/**
 * The entries that callers may be sent to, as they were known last, kept in a file.
 *
 * After a loss of power everywhere, callers ask where to go long before a leader knows, and
 * ask again and again while nobody can tell them: the last addresses known are mostly right,
 * and a wrong one costs its caller one attempt.
 */
import { readFile, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { create } from "@bufbuild/protobuf";
import { Result, Schema } from "effect";
import { type EntryEndpoint, EntryEndpointSchema } from "../gen/ploverstage/v1/fleet_pb";
import type { Logger } from "../metrics";

const FILE = "entries.json";
/** The file is written no more often than this, milliseconds. */
const KEEP_MS = 1_000;

const decodeEntries = Schema.decodeUnknownResult(
  Schema.Array(Schema.Struct({ address: Schema.String, failureDomain: Schema.String })),
);

/** The entries of one data folder. */
export class KnownEntries {
  private readonly _path: string;
  private readonly _logger: Logger;
  private _entries: readonly EntryEndpoint[];
  private _keptText = "";
  private _timer: NodeJS.Timeout | undefined;

  private constructor(path: string, logger: Logger, entries: readonly EntryEndpoint[]) {
    this._path = path;
    this._logger = logger;
    this._entries = entries;
  }

  /** Reads what was kept; a file that is missing or damaged holds nothing. */
  static async open(folder: string, logger: Logger): Promise<KnownEntries> {
    const path = join(folder, FILE);
    const text = await readFile(path, "utf8").catch(() => "[]");
    return new KnownEntries(path, logger, readEntries(text));
  }

  /** Gets the entries known last. */
  get entries(): readonly EntryEndpoint[] {
    return this._entries;
  }

  /**
   * Starts keeping the entries.
   * @param getEntries - Gives those known now, none when nothing is known.
   */
  start(getEntries: () => readonly EntryEndpoint[]): void {
    this._timer = setInterval(() => {
      const entries = getEntries();
      if (entries.length > 0) void this._keep(entries);
    }, KEEP_MS).unref();
  }

  /** Keeps no more. */
  stop(): void {
    clearInterval(this._timer);
  }

  private async _keep(entries: readonly EntryEndpoint[]): Promise<void> {
    this._entries = entries;
    const text = JSON.stringify(entries.map(({ address, failureDomain }) => ({ address, failureDomain })));
    if (text === this._keptText) return;
    this._keptText = text;
    try {
      await writeFile(`${this._path}.new`, text);
      await rename(`${this._path}.new`, this._path);
    } catch (cause) {
      this._logger.warn({ event: "entries_not_kept", reason: String(cause) });
    }
  }
}

function readEntries(text: string): EntryEndpoint[] {
  try {
    const decoded = decodeEntries(JSON.parse(text));
    if (Result.isFailure(decoded)) return [];
    return decoded.success.map((entry) => create(EntryEndpointSchema, entry));
  } catch {
    return [];
  }
}
