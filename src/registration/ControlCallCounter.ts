/**
 * Counts the calls that a control process serves and refuses.
 *
 * A process that can serve nobody may spend all its time on saying so: one line a second tells
 * how many calls it refused.
 */
import type { InvalidReport } from "../errors";
import type { Logger, Metrics } from "../metrics";

/** Who calls: entries and followers watch, relays and instances report, operators declare. */
export type CallKind = "watch" | "relay" | "instance" | "declaration";

/** Refusals are told no more often than this. */
const TELL_MS = 1_000;

/** The calls of one process. */
export class ControlCallCounter {
  private readonly _logger: Logger;
  private readonly _metrics: Metrics;
  private readonly _timer: NodeJS.Timeout;
  private _served = 0;
  private _refused = new Map<CallKind, number>();
  private _invalid = new Map<string, number>();
  private _invalidExample = "";

  /**
   * @param logger - Told of refusals.
   */
  constructor(logger: Logger, metrics: Metrics) {
    this._logger = logger;
    this._metrics = metrics;
    this._timer = setInterval(() => this._tell(), TELL_MS).unref();
  }

  /** Notes a call that was served. */
  addServed(call: CallKind): void {
    this._served += 1;
    this._metrics.increment("control_calls", 1, { call, outcome: "served" });
  }

  /** Notes a call that was refused. */
  addRefused(call: CallKind): void {
    this._refused.set(call, (this._refused.get(call) ?? 0) + 1);
    this._metrics.increment("control_calls", 1, { call, outcome: "refused" });
  }

  /** Notes a report that was refused for what it says; one line a second tells of all of them. */
  addInvalidReport({ field, message }: InvalidReport): void {
    this._invalid.set(field, (this._invalid.get(field) ?? 0) + 1);
    this._invalidExample = message;
    this._metrics.increment("instance_reports_invalid", 1, { field });
  }

  /** Notes what a call came to. */
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

  /** Tells no more. */
  stop(): void {
    clearInterval(this._timer);
  }

  private _tell(): void {
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
