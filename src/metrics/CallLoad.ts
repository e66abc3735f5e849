/**
 * Statistics of the calls that a process received, by call and outcome.
 *
 * An overloaded process also executes calls whose callers have already disconnected. No other metric shows
 * that work.
 */
import type { Metrics } from "./Metrics";

/** Statistics of one kind of call since they were last taken. */
export interface CallStats {
  readonly begun: number;
  readonly failed: number;
  /** Number of calls whose caller disconnected before an answer. */
  readonly gone: number;
  /**
   * Total time from the arrival of each call to its answer, or to the first message of a streamed answer,
   * milliseconds.
   */
  readonly tookMs: number;
}

/** The outcome of a call; `gone` means that its caller disconnected first. */
export type CallOutcome = "answered" | "failed" | "gone";

const NO_CALLS: CallStats = { begun: 0, failed: 0, gone: 0, tookMs: 0 };

/** Collects the call statistics of one process. */
export class CallLoad {
  private readonly _metrics: Metrics;
  private _stats = new Map<string, CallStats>();
  private _sessions = 0;

  /** @param metrics - Receives a counter increment for each call and session. */
  constructor(metrics: Metrics) {
    this._metrics = metrics;
  }

  /** Records the arrival of a call. */
  recordStart(call: string): void {
    const stats = this._getStats(call);
    this._stats.set(call, { ...stats, begun: stats.begun + 1 });
  }

  /** Records the outcome of a call. */
  recordOutcome(call: string, outcome: CallOutcome, tookMs: number): void {
    const stats = this._getStats(call);
    this._stats.set(call, {
      ...stats,
      failed: stats.failed + Number(outcome === "failed"),
      gone: stats.gone + Number(outcome === "gone"),
      tookMs: stats.tookMs + tookMs,
    });
    this._metrics.increment("rpc_calls", 1, { call, outcome });
  }

  /** Records that a peer opened a session. */
  recordSession(): void {
    this._sessions += 1;
    this._metrics.increment("rpc_sessions", 1);
  }

  /** Gets the statistics collected since the last call of this method, and resets them. */
  take(): { readonly calls: Readonly<Record<string, CallStats>>; readonly sessions: number } {
    const taken = { calls: Object.fromEntries(this._stats), sessions: this._sessions };
    this._stats = new Map();
    this._sessions = 0;
    return taken;
  }

  private _getStats(call: string): CallStats {
    return this._stats.get(call) ?? NO_CALLS;
  }
}
