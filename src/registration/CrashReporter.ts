/**
 * Reports the requests under which instances crashed at this entry to control, until the crash records are
 * committed.
 *
 * New crashes are reported at once: the same request arrives again within a fraction of a second, at any
 * entry.
 */
import type { CrashLedger } from "../containment";
import type { Logger } from "../metrics";
import type { ViewWatcher } from "./ViewWatcher";

/** Time in milliseconds after which an uncommitted record is sent again; a commit takes some 50. */
const RETRY_INTERVAL_MS = 250;
/**
 * Delay before new crashes are sent, in milliseconds. When instances end at the same moment, all their
 * requests break off within this time, and one call reports them.
 */
const BATCH_DELAY_MS = 5;

/** Reports crashes until it is stopped. */
export class CrashReporter {
  private readonly _ledger: CrashLedger;
  private readonly _watcher: ViewWatcher;
  private readonly _logger: Logger;
  private _batchTimer: NodeJS.Timeout | undefined;
  private _retryTimer: NodeJS.Timeout | undefined;
  private _hasFailed = false;

  /**
   * @param ledger - Provides the records that are not committed yet.
   * @param watcher - Provides the connection to control.
   */
  constructor(ledger: CrashLedger, watcher: ViewWatcher, logger: Logger) {
    this._ledger = ledger;
    this._watcher = watcher;
    this._logger = logger;
  }

  /** Starts to send uncommitted records again at an interval. */
  start(): void {
    this._retryTimer = setInterval(() => void this._send(), RETRY_INTERVAL_MS).unref();
  }

  /** Stops reporting. */
  stop(): void {
    clearInterval(this._retryTimer);
    clearTimeout(this._batchTimer);
  }

  /** Sends new records after a short delay. */
  sendSoon(): void {
    this._batchTimer ??= setTimeout(() => {
      this._batchTimer = undefined;
      void this._send();
    }, BATCH_DELAY_MS).unref();
  }

  private async _send(): Promise<void> {
    if (!this._ledger.hasPending || !this._watcher.isConnected) return;
    try {
      await this._watcher.reportCrashes({ records: this._ledger.takePending() });
      this._hasFailed = false;
    } catch (cause) {
      // The next interval repeats the call; only the first of consecutive failures is logged.
      if (!this._hasFailed) this._logger.warn({ event: "crashes_not_told", reason: String(cause) });
      this._hasFailed = true;
    }
  }
}
