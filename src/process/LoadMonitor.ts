/**
 * Tells what a process did while it ran late.
 *
 * One that has more to do than it gets processor time for logs no stall, since no single turn of its event
 * loop is long: it is the sum that is.
 */
import { PerformanceObserver } from "node:perf_hooks";
import { type Clock, type EventLoopLag, getProcessorMs } from "../clock";
import type { CallLoad, Logger, Metrics } from "../metrics";

/** What a watch works with. */
export interface LoadMonitorOptions {
  readonly clock: Clock;
  readonly lag: EventLoopLag;
  readonly load: CallLoad;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const INTERVAL_MS = 1_000;
/** Part of the time in which the loop was late from which on a process counts as busy. */
const BUSY_RATIO = 0.25;

/** Looks at one process. */
export class LoadMonitor {
  private readonly _options: LoadMonitorOptions;
  private readonly _collections: PerformanceObserver;
  private readonly _timer: NodeJS.Timeout;
  private _collectedMs = 0;
  private _processorMs = getProcessorMs();
  private _toldAt: number;

  /**
   * @param options - What it looks at, and whom it tells.
   */
  constructor(options: LoadMonitorOptions) {
    this._options = options;
    this._toldAt = options.clock.getMonotonicMs();
    this._collections = new PerformanceObserver((list) => {
      for (const { duration } of list.getEntries()) this._collectedMs += duration;
    });
    this._collections.observe({ entryTypes: ["gc"] });
    this._timer = setInterval(() => this._tell(), INTERVAL_MS).unref();
  }

  /** Looks no more. */
  stop(): void {
    clearInterval(this._timer);
    this._collections.disconnect();
  }

  private _tell(): void {
    const { clock, lag, load, logger, metrics } = this._options;
    const now = clock.getMonotonicMs();
    const spanMs = now - this._toldAt;
    const lateMs = lag.takeLateMs();
    const processorMs = getProcessorMs();
    const { calls, sessions } = load.take();
    metrics.gauge("loop_late_ratio", Math.min(1, lateMs / spanMs));
    if (lateMs >= spanMs * BUSY_RATIO) {
      logger.info({
        event: "process_busy",
        span_ms: Math.round(spanMs),
        late_ms: Math.round(lateMs),
        cpu_ms: Math.round(processorMs - this._processorMs),
        collected_ms: Math.round(this._collectedMs),
        sessions,
        calls: getRounded(calls),
      });
    }
    this._toldAt = now;
    this._processorMs = processorMs;
    this._collectedMs = 0;
  }
}

function getRounded(calls: ReturnType<CallLoad["take"]>["calls"]): object {
  const round = ([call, figures]: [string, (typeof calls)[string]]) => [
    call,
    { ...figures, tookMs: Math.round(figures.tookMs) },
  ];
  return Object.fromEntries(Object.entries(calls).map(round));
}
