/** Settings that are reloaded while the process runs: on SIGHUP and after a change of their file. */
import { stat } from "node:fs/promises";
import type { Logger } from "../metrics";

/** Interval of the check for a changed file. */
const POLL_MS = 1_000;

export interface LiveSettingsOptions<T> {
  readonly file: string;
  /** Reads and validates the file; throws if the file is invalid. */
  readonly read: (file: string) => Promise<T>;
  readonly logger: Logger;
}

/** Provides the current settings: the result of the last successful read of the file. */
export class LiveSettings<T> {
  private readonly _options: LiveSettingsOptions<T>;
  private readonly _onSignal = () => void this.reload("signal");
  private _current: T;
  private _fileStamp = "";
  private _timer: NodeJS.Timeout | undefined;

  /** @param current - Settings read at the start of the process. */
  constructor(options: LiveSettingsOptions<T>, current: T) {
    this._options = options;
    this._current = current;
  }

  /** Gets the settings from the last successful read of the file. */
  get current(): T {
    return this._current;
  }

  /**
   * Starts to watch the file and SIGHUP.
   * @param isReloadRequested - Whether a reload was requested after the file was read.
   */
  start(isReloadRequested = false): void {
    process.on("SIGHUP", this._onSignal);
    void this._getFileStamp().then((stamp) => {
      this._fileStamp = stamp;
    });
    this._timer = setInterval(() => void this._poll(), POLL_MS).unref();
    if (isReloadRequested) void this.reload("signal");
  }

  /** Stops watching the file and SIGHUP. */
  stop(): void {
    process.off("SIGHUP", this._onSignal);
    clearInterval(this._timer);
  }

  /** Reads the file again. If the file is invalid, the current settings stay in effect. */
  async reload(cause: "signal" | "change"): Promise<void> {
    const { file, read, logger } = this._options;
    try {
      this._current = await read(file);
      logger.info({ event: "settings_reloaded", cause });
    } catch (fault) {
      logger.warn({ event: "settings_refused", cause, reason: String(fault) });
    }
  }

  private async _poll(): Promise<void> {
    const stamp = await this._getFileStamp();
    if (stamp === "" || stamp === this._fileStamp) return;
    const isFirst = this._fileStamp === "";
    this._fileStamp = stamp;
    if (!isFirst) await this.reload("change");
  }

  private async _getFileStamp(): Promise<string> {
    const stats = await stat(this._options.file).catch(() => undefined);
    return stats === undefined ? "" : `${stats.mtimeMs}/${stats.size}/${stats.ino}`;
  }
}
