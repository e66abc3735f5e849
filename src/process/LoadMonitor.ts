/**
 * Logs the work of a process while its event loop is late.
 *
 * A process that needs more processor time than it gets logs no stall, because no single turn of its event
 * loop is long; only the sum of the lags shows the overload.
 */
import { PerformanceObserver } from "node:perf_hooks";
import { type Clock, type EventLoopLag, getProcessorMs } from "../clock";
import type { CallLoad, Logger, Metrics } from "../metrics";

export interface LoadMonitorOptions {
  readonly clock: Clock;
  readonly lag: EventLoopLag;
  readonly load: CallLoad;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Interval of the reports, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;
/** A process counts as busy if its event loop was late for at least this fraction of the interval. */
const BUSY_RATIO = 0.25;

/** Monitors the load of one process. */
export class LoadMonitor {
  private readonly _options: LoadMonitorOptions;
  private readonly _gcObserver: PerformanceObserver;
  private readonly _timer: NodeJS.Timeout;
  private _gcMs = 0;
  private _processorMs = getProcessorMs();
  private _reportedAt: number;

  /** @param options - Sources of the measurements, log and metrics. */
  constructor(options: LoadMonitorOptions) {
    this._options = options;
    this._reportedAt = options.clock.getMonotonicMs();
    this._gcObserver = new PerformanceObserver((list) => {
      for (const { duration } of list.getEntries()) this._gcMs += duration;
    });
    this._gcObserver.observe({ entryTypes: ["gc"] });
    this._timer = setInterval(() => this._report(), REPORT_INTERVAL_MS).unref();
  }

  stop(): void {
    clearInterval(this._timer);
    this._gcObserver.disconnect();
  }

  private _report(): void {
    const { clock, lag, load, logger, metrics } = this._options;
    const now = clock.getMonotonicMs();
    const spanMs = now - this._reportedAt;
    const lateMs = lag.takeTotalMs();
    const processorMs = getProcessorMs();
    const { calls, sessions } = load.take();
    metrics.gauge("loop_late_ratio", Math.min(1, lateMs / spanMs));
    if (lateMs >= spanMs * BUSY_RATIO) {
      logger.info({
        event: "process_busy",
        span_ms: Math.round(spanMs),
        late_ms: Math.round(lateMs),
        cpu_ms: Math.round(processorMs - this._processorMs),
        collected_ms: Math.round(this._gcMs),
        sessions,
        calls: roundTimes(calls),
      });
    }
    this._reportedAt = now;
    this._processorMs = processorMs;
    this._gcMs = 0;
  }
}

function roundTimes(calls: ReturnType<CallLoad["take"]>["calls"]): object {
  const round = ([call, figures]: [string, (typeof calls)[string]]) => [
    call,
    { ...figures, tookMs: Math.round(figures.tookMs) },
  ];
  return Object.fromEntries(Object.entries(calls).map(round));
}
