/**
 * Measures how long a process computes without returning to the event loop, by kind of work.
 *
 * The process sends no heartbeats and answers no vote requests during that time.
 */
import type { Clock } from "../clock";
import type { Logger } from "./logger";
import type { Metrics } from "./Metrics";

/** Kinds of work whose duration grows with the size of the fleet. */
export type WorkKind = "replay" | "reports" | "plan" | "publish" | "update" | "parse";

/**
 * Work that takes at least this long is logged, milliseconds: the leader sends a consensus heartbeat every
 * 100 ms.
 */
const SLOW_MS = 100;

/** The dependencies of a meter. */
export interface WorkMeterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Measures work, exports its duration as a metric and logs slow work. */
export class WorkMeter {
  private readonly _options: WorkMeterOptions;

  constructor(options: WorkMeterOptions) {
    this._options = options;
  }

  /**
   * Runs and measures synchronous work.
   * @param items - Number of items processed, which the duration grows with.
   */
  measure<R>(work: WorkKind, items: number, action: () => R): R {
    const startedAt = this._options.clock.getMonotonicMs();
    try {
      return action();
    } finally {
      this.addWork(work, items, this._options.clock.getMonotonicMs() - startedAt);
    }
  }

  /** Records work that the caller measured, in milliseconds. */
  addWork(work: WorkKind, items: number, milliseconds: number): void {
    const { logger, metrics } = this._options;
    metrics.timing("control_work_ms", milliseconds, { work });
    if (milliseconds < SLOW_MS) return;
    logger.warn({ event: "work_slow", work, items, ms: Math.round(milliseconds) });
  }
}
