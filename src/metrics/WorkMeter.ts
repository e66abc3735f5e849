/**
 * How long a process computes at a stretch, by kind of work.
 *
 * Nothing else of the process runs meanwhile: no heartbeat is sent, no vote is given.
 */
import type { Clock } from "../clock";
import type { Logger } from "./logger";
import type { Metrics } from "./Metrics";

/** Kinds of work that grow with the fleet. */
export type Work = "replay" | "reports" | "plan" | "publish" | "update" | "parse";

/** Work that took so long is logged, milliseconds: a heartbeat of the agreement is due after 100. */
const SLOW_MS = 100;

/** What a meter works with. */
export interface WorkMeterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Measures work. */
export class WorkMeter {
  private readonly _options: WorkMeterOptions;

  /**
   * @param options - Clock, log and metrics.
   */
  constructor(options: WorkMeterOptions) {
    this._options = options;
  }

  /**
   * Runs and measures work that waits for nothing.
   * @param items - How much there is of what the work grows with.
   */
  measure<R>(work: Work, items: number, action: () => R): R {
    const startedAt = this._options.clock.getMonotonicMs();
    try {
      return action();
    } finally {
      this.addWork(work, items, this._options.clock.getMonotonicMs() - startedAt);
    }
  }

  /** Adds work that the caller timed, in milliseconds. */
  addWork(work: Work, items: number, milliseconds: number): void {
    const { logger, metrics } = this._options;
    metrics.timing("control_work_ms", milliseconds, { work });
    if (milliseconds < SLOW_MS) return;
    logger.warn({ event: "work_slow", work, items, ms: Math.round(milliseconds) });
  }
}
