/**
 * Which calls a process was asked, and what they came to.
 *
 * A process that is late does work for callers that have gone: that shows here and nowhere else.
 */
import type { Metrics } from "./Metrics";

/** What calls of one kind came to within some time. */
export interface CallFigures {
  readonly begun: number;
  readonly failed: number;
  /** Whose caller had gone before there was an answer. */
  readonly gone: number;
  /** From their arrival to their answer, or its beginning, all together; milliseconds. */
  readonly tookMs: number;
}

/** How a call ended. */
export type CallEnd = "answered" | "failed" | "gone";

const NONE: CallFigures = { begun: 0, failed: 0, gone: 0, tookMs: 0 };

/** The calls of one process. */
export class CallLoad {
  private readonly _metrics: Metrics;
  private _figures = new Map<string, CallFigures>();
  private _sessions = 0;

  /**
   * @param metrics - Counts each call.
   */
  constructor(metrics: Metrics) {
    this._metrics = metrics;
  }

  /** Notes that a call has arrived. */
  recordStart(call: string): void {
    const known = this._getFigures(call);
    this._figures.set(call, { ...known, begun: known.begun + 1 });
  }

  /** Notes what a call came to. */
  recordOutcome(call: string, end: CallEnd, tookMs: number): void {
    const known = this._getFigures(call);
    this._figures.set(call, {
      ...known,
      failed: known.failed + Number(end === "failed"),
      gone: known.gone + Number(end === "gone"),
      tookMs: known.tookMs + tookMs,
    });
    this._metrics.increment("rpc_calls", 1, { call, outcome: end });
  }

  /** Notes that a peer has opened a session. */
  recordSession(): void {
    this._sessions += 1;
    this._metrics.increment("rpc_sessions", 1);
  }

  /** Takes what was noted since it was taken last. */
  take(): { readonly calls: Readonly<Record<string, CallFigures>>; readonly sessions: number } {
    const taken = { calls: Object.fromEntries(this._figures), sessions: this._sessions };
    this._figures = new Map();
    this._sessions = 0;
    return taken;
  }

  private _getFigures(call: string): CallFigures {
    return this._figures.get(call) ?? NONE;
  }
}
