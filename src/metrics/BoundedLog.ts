/**
 * A log that never holds its process up.
 *
 * Lines are written in the background. A reader that stalls costs lines beyond a bound,
 * never requests; how many were lost is told with the next line that gets through.
 */
import { type DestinationStream, type Logger, pino } from "pino";
import type { LogLevel } from "./logger";
import type { Metrics } from "./Metrics";

/** Lines that no reader takes are kept up to so many bytes. */
const MAX_WAITING_BYTES = 1_000_000;
const REPORT_MS = 1_000;

/** Where a log goes, as far as its lines may be lost. */
export interface LossyDestination extends DestinationStream {
  on(name: "drop", listener: (line: string) => void): unknown;
  flushSync(): void;
}

/** A process's log. */
export class BoundedLog {
  readonly logger: Logger;
  private readonly _destination: LossyDestination;
  private readonly _metrics: Metrics;
  private readonly _timer: NodeJS.Timeout;
  private _dropped = 0;

  /**
   * @param process - Kind and name of the process, on every line.
   * @param destination - By default standard output.
   */
  constructor(
    level: LogLevel,
    process: { readonly role: string; readonly name: string },
    metrics: Metrics,
    destination: LossyDestination = pino.destination({ dest: 1, sync: false, maxLength: MAX_WAITING_BYTES }),
  ) {
    this._metrics = metrics;
    this._destination = destination;
    this._destination.on("drop", () => {
      this._dropped += 1;
    });
    const options = { level, base: process, timestamp: pino.stdTimeFunctions.isoTime, messageKey: "message" };
    this.logger = pino(options, this._destination);
    this._timer = setInterval(() => this._report(), REPORT_MS).unref();
  }

  /** Writes what waits; for the end of the process only, since it may block. */
  close(): void {
    clearInterval(this._timer);
    try {
      this._destination.flushSync();
    } catch {
      // Nobody reads any more.
    }
  }

  private _report(): void {
    const lines = this._dropped;
    if (lines === 0) return;
    this._dropped = 0;
    this._metrics.increment("log_lines_dropped", lines);
    this.logger.warn({ event: "log_lines_dropped", lines });
  }
}
