/**
 * Detects that the machine was suspended, soon after it has resumed.
 *
 * Timers run by the steady clock, so a timer that was due during the suspension fires later by the suspended
 * time. Work that must not wait for its timer, such as the final answer to a request past its deadline, is
 * done in `onResume`.
 */
import type { SuspensionClock } from "../clock";
import type { Logger, Metrics } from "../metrics";

/**
 * Interval between two readings of the clocks, in milliseconds; a suspension is detected within this time.
 */
const CHECK_INTERVAL_MS = 50;
/**
 * Shorter suspensions, in milliseconds, are ignored: they have no more effect than a slow turn of the event
 * loop.
 */
const MIN_SUSPENSION_MS = 100;

export interface SuspensionMonitorOptions {
  readonly clock: SuspensionClock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called after each suspension. */
  readonly onResume: () => void;
}

/** Detects suspensions of the machine. */
export class SuspensionMonitor {
  private readonly _options: SuspensionMonitorOptions;
  private _timer: NodeJS.Timeout | undefined;
  private _lastTotalMs: number;

  /** @param options - Clock, log, metrics and callback. */
  constructor(options: SuspensionMonitorOptions) {
    this._options = options;
    this._lastTotalMs = options.clock.updateSuspendedMs();
  }

  /** Starts reading the clocks at an interval. */
  start(): void {
    const { clock, logger } = this._options;
    const missing = clock.missingBootTime;
    if (missing !== undefined) logger.warn({ event: "boot_time_missing", reason: missing.reason });
    this._timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  stop(): void {
    clearInterval(this._timer);
  }

  /** Checks whether the machine was suspended since the last check, and if so logs it and calls `onResume`. */
  check(): void {
    const { clock, logger, metrics, onResume: onWake } = this._options;
    const totalMs = clock.updateSuspendedMs();
    const spanMs = Math.round(totalMs - this._lastTotalMs);
    this._lastTotalMs = totalMs;
    if (spanMs < MIN_SUSPENSION_MS) return;
    logger.warn({
      event: "suspended",
      span_ms: spanMs,
      told_by: clock.missingBootTime === undefined ? "bootTime" : "timeOfDay",
    });
    metrics.increment("suspensions", 1);
    onWake();
  }
}
