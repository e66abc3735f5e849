/**
 * In which order a process begins the calls that have come in.
 *
 * Calls that come in within one turn of the event loop and are more than it begins wait: the most valuable go first, in the
 * next turns, and messages of the agreement never wait. Without it an order waits behind the reports of all
 * instances, and a heartbeat of the agreement behind both.
 */
import type { Metrics } from "../metrics";

/** Kinds of calls, the most valuable first. */
export const CALL_CLASSES = ["agreement", "order", "relay", "view", "report"] as const;

/** Messages of the agreement; operators' orders and reads; what other processes relay; views; what instances say of themselves. */
export type CallClass = (typeof CALL_CLASSES)[number];

/** A call that has come in. */
export interface ArrivedCall {
  readonly callClass: CallClass;
  /** Checks whether it is of use still: whoever asked may have gone. */
  readonly isWanted: () => boolean;
  readonly begin: () => void;
  /** Tells whoever asked that it is not begun. */
  readonly refuse: () => void;
}

/** Calls that begin in one turn of the event loop, beside those of the agreement. */
const CALLS_PER_TURN = 4;
/** Calls of one class that may wait; whoever waits behind so many has gone by the time that it is its turn. */
const MAX_WAITING = 1_000;

/** The calls of one process. */
export class CallScheduler {
  private readonly _metrics: Metrics;
  private readonly _waiting = new Map<CallClass, ArrivedCall[]>();
  private _begun = 0;
  private _isScheduled = false;

  /**
   * @param metrics - Counts what is not begun.
   */
  constructor(metrics: Metrics) {
    this._metrics = metrics;
  }

  /** Begins a call now, or when it is its turn. */
  add(call: ArrivedCall): void {
    if (call.callClass === "agreement") {
      call.begin();
      return;
    }
    this._schedule();
    if (this._begun < CALLS_PER_TURN && this._waiting.size === 0) this._begin(call);
    else this._enqueue(call);
  }

  private _begin(call: ArrivedCall): void {
    this._begun += 1;
    call.begin();
  }

  private _enqueue(call: ArrivedCall): void {
    const waiting = this._waiting.get(call.callClass) ?? [];
    if (waiting.length >= MAX_WAITING) {
      this._metrics.increment("calls_not_begun", 1, { class: call.callClass, reason: "full" });
      call.refuse();
      return;
    }
    waiting.push(call);
    this._waiting.set(call.callClass, waiting);
  }

  private _schedule(): void {
    if (this._isScheduled) return;
    this._isScheduled = true;
    setImmediate(() => this._startTurn());
  }

  private _startTurn(): void {
    this._isScheduled = false;
    this._begun = 0;
    while (this._begun < CALLS_PER_TURN) {
      const call = this._takeNext();
      if (call === undefined) break;
      if (call.isWanted()) this._begin(call);
      else this._metrics.increment("calls_not_begun", 1, { class: call.callClass, reason: "gone" });
    }
    if (this._begun > 0) this._schedule();
  }

  private _takeNext(): ArrivedCall | undefined {
    for (const callClass of CALL_CLASSES) {
      const waiting = this._waiting.get(callClass);
      const call = waiting?.shift();
      if (waiting?.length === 0) this._waiting.delete(callClass);
      if (call !== undefined) return call;
    }
    return undefined;
  }
}
