/**
 * Notices that the machine was suspended, soon after it has woken.
 *
 * Timers run by the steady clock: one that was due during the suspension comes as much later. What must not wait for
 * that, such as the final answer of a request whose time is over, is done by those who are told here.
 */
import type { SuspensionClock } from "../clock";
import type { Logger, Metrics } from "../metrics";

/** How often the clocks are read, milliseconds: a wake is noticed within that time. */
const LOOK_MS = 50;
/** Shorter ones are no more than a slow turn of the event loop, and change nothing. */
const TOLD_MS = 100;

/** What a watch works with. */
export interface SuspensionMonitorOptions {
  readonly clock: SuspensionClock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called after each wake. */
  readonly onResume: () => void;
}

/** Watches for as long as it runs. */
export class SuspensionMonitor {
  private readonly _options: SuspensionMonitorOptions;
  private _timer: NodeJS.Timeout | undefined;
  private _seenMs: number;

  /**
   * @param options - Clock, log and whom to tell.
   */
  constructor(options: SuspensionMonitorOptions) {
    this._options = options;
    this._seenMs = options.clock.look();
  }

  /** Starts watching. */
  start(): void {
    const { clock, logger } = this._options;
    const missing = clock.missingBootTime;
    if (missing !== undefined) logger.warn({ event: "boot_time_missing", reason: missing.reason });
    this._timer = setInterval(() => this.look(), LOOK_MS).unref();
  }

  /** Watches no more. */
  stop(): void {
    clearInterval(this._timer);
  }

  /** Looks whether the machine was suspended since the last look. */
  look(): void {
    const { clock, logger, metrics, onResume: onWake } = this._options;
    const totalMs = clock.look();
    const spanMs = Math.round(totalMs - this._seenMs);
    this._seenMs = totalMs;
    if (spanMs < TOLD_MS) return;
    logger.warn({
      event: "suspended",
      span_ms: spanMs,
      told_by: clock.missingBootTime === undefined ? "bootTime" : "timeOfDay",
    });
    metrics.increment("suspensions", 1);
    onWake();
  }
}
