/**
 * Counts the calls that a control process serves and refuses.
 *
 * A process that refuses all calls could spend all its time on log lines. It therefore logs the number of
 * refused calls in one line a second.
 */
import type { InvalidReport } from "../errors";
import type { Logger, Metrics } from "../metrics";

/** The kinds of calls: entries and followers watch, relays and instances report, operators declare. */
export type CallKind = "watch" | "relay" | "instance" | "declaration";

/** Minimum time between two log lines about refused calls. */
const LOG_INTERVAL_MS = 1_000;

/** Counts calls by kind, and logs the refused ones once a second. */
export class ControlCallCounter {
  private readonly _logger: Logger;
  private readonly _metrics: Metrics;
  private readonly _timer: NodeJS.Timeout;
  private _served = 0;
  private _refused = new Map<CallKind, number>();
  private _invalid = new Map<string, number>();
  private _invalidExample = "";

  constructor(logger: Logger, metrics: Metrics) {
    this._logger = logger;
    this._metrics = metrics;
    this._timer = setInterval(() => this._log(), LOG_INTERVAL_MS).unref();
  }

  /** Counts a served call. */
  addServed(call: CallKind): void {
    this._served += 1;
    this._metrics.increment("control_calls", 1, { call, outcome: "served" });
  }

  /** Counts a refused call. */
  addRefused(call: CallKind): void {
    this._refused.set(call, (this._refused.get(call) ?? 0) + 1);
    this._metrics.increment("control_calls", 1, { call, outcome: "refused" });
  }

  /** Counts a report that was rejected because of its content; one log line a second covers all of them. */
  addInvalidReport({ field, message }: InvalidReport): void {
    this._invalid.set(field, (this._invalid.get(field) ?? 0) + 1);
    this._invalidExample = message;
    this._metrics.increment("instance_reports_invalid", 1, { field });
  }

  /** Counts a call by its outcome: served when the promise resolves, refused when it rejects. */
  async track<R>(call: CallKind, outcome: Promise<R>): Promise<R> {
    try {
      const result = await outcome;
      this.addServed(call);
      return result;
    } catch (cause) {
      this.addRefused(call);
      throw cause;
    }
  }

  /** Stops the log lines. */
  stop(): void {
    clearInterval(this._timer);
  }

  private _log(): void {
    if (this._refused.size > 0) {
      this._logger.info({
        event: "calls_refused",
        served: this._served,
        ...Object.fromEntries(this._refused),
      });
    }
    if (this._invalid.size > 0) {
      const fields = Object.fromEntries(this._invalid);
      this._logger.warn({ event: "reports_invalid", fields, example: this._invalidExample });
    }
    this._served = 0;
    this._refused = new Map();
    this._invalid = new Map();
  }
}
