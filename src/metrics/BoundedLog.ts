/**
 * A log that does not block its process.
 *
 * Lines are written in the background. If the reader stalls, lines beyond a size limit are dropped and
 * requests are not delayed. The number of dropped lines is logged once lines can be written again. The same
 * holds while writing fails, for example because the disk is full.
 */
import { type DestinationStream, type Logger, pino } from "pino";
import type { LogLevel } from "./logger";
import type { Metrics } from "./Metrics";

/** Maximum size of buffered lines, bytes; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_000_000;
const REPORT_MS = 1_000;
/** File descriptor. */
const STANDARD_OUTPUT = 1;

/** A log destination that may drop lines. */
export interface LossyDestination extends DestinationStream {
  on(name: "drop", listener: (line: string) => void): unknown;
  flushSync(): void;
}

/** Creates the destination that writes to standard output. */
function createDestination(): LossyDestination {
  const destination = pino.destination({ dest: STANDARD_OUTPUT, sync: false, maxLength: MAX_BUFFERED_BYTES });
  let isFailing = false;
  // Without a listener an error would end the process. The lines stay buffered and are written again with the next.
  destination.on("error", () => {
    isFailing = true;
  });
  destination.on("drain", () => {
    isFailing = false;
  });
  const flush = destination.flushSync.bind(destination);
  // Called at each end of the process; it repeats a failing write without end.
  destination.flushSync = () => {
    if (!isFailing) flush();
  };
  return destination;
}

/** The log of a process, written without blocking. */
export class BoundedLog {
  readonly logger: Logger;
  private readonly _destination: LossyDestination;
  private readonly _metrics: Metrics;
  private readonly _timer: NodeJS.Timeout;
  private _dropped = 0;

  /**
   * @param process - Role and name of the process, added to every line.
   * @param destination - Standard output by default.
   */
  constructor(
    level: LogLevel,
    process: { readonly role: string; readonly name: string },
    metrics: Metrics,
    destination: LossyDestination = createDestination(),
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

  /** Flushes buffered lines. Call it only when the process ends, since it may block. */
  close(): void {
    clearInterval(this._timer);
    try {
      this._destination.flushSync();
    } catch {
      // The reader has closed its end of the pipe.
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
