/**
 * Tells control what this entry saw of requests under which instances ended, until it is agreed on.
 *
 * At once where something is new: the same request comes again within a fraction of a second, at any entry.
 */
import type { CrashLedger } from "../containment";
import type { Logger } from "../metrics";
import type { ViewWatcher } from "./ViewWatcher";

/** What is not agreed on by then is told again, milliseconds; an agreement takes some 50. */
const REPEAT_MS = 250;
/** Instances that end at one moment are told of in one call: all their requests break off within this time, milliseconds. */
const GATHER_MS = 5;

/** Reports crashes. */
export class CrashReporter {
  private readonly _ledger: CrashLedger;
  private readonly _watcher: ViewWatcher;
  private readonly _logger: Logger;
  private _soon: NodeJS.Timeout | undefined;
  private _timer: NodeJS.Timeout | undefined;
  private _hasFailed = false;

  /**
   * @param ledger - Knows what has yet to be told.
   * @param watcher - Knows whom to tell.
   */
  constructor(ledger: CrashLedger, watcher: ViewWatcher, logger: Logger) {
    this._ledger = ledger;
    this._watcher = watcher;
    this._logger = logger;
  }

  /** Starts telling again what is not agreed on. */
  start(): void {
    this._timer = setInterval(() => void this._send(), REPEAT_MS).unref();
  }

  /** Tells no more. */
  stop(): void {
    clearInterval(this._timer);
    clearTimeout(this._soon);
  }

  /** Tells what is new. */
  sendSoon(): void {
    this._soon ??= setTimeout(() => {
      this._soon = undefined;
      void this._send();
    }, GATHER_MS).unref();
  }

  private async _send(): Promise<void> {
    if (!this._ledger.hasPending || !this._watcher.isConnected) return;
    try {
      await this._watcher.reportCrashes({ records: this._ledger.takePending() });
      this._hasFailed = false;
    } catch (cause) {
      // It is told again after a pause; the log tells the first failure of a row.
      if (!this._hasFailed) this._logger.warn({ event: "crashes_not_told", reason: String(cause) });
      this._hasFailed = true;
    }
  }
}
