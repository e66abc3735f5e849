/**
 * The order in which a process starts the calls that it receives.
 *
 * When more calls arrive in one turn of the event loop than the process starts in a turn, the rest are
 * queued. Calls of the most valuable class are started first in the next turns, and consensus messages are
 * never queued. Otherwise an operator's command would wait behind the reports of all instances, and a consensus
 * heartbeat behind both.
 */
import type { Metrics } from "../metrics";

/** Classes of calls, the most valuable first. */
export const CALL_CLASSES = ["agreement", "order", "relay", "view", "report"] as const;

/**
 * Consensus messages; operators' commands and reads; calls that other processes relay; views; reports of
 * instances.
 */
export type CallClass = (typeof CALL_CLASSES)[number];

/** A call that was received and not started yet. */
export interface IncomingCall {
  readonly callClass: CallClass;
  /** Checks whether the result is still needed: the caller may have disconnected. */
  readonly isWanted: () => boolean;
  readonly begin: () => void;
  /** Notifies the caller that the call will not be started. */
  readonly refuse: () => void;
}

/** Calls that are started in one turn of the event loop, besides consensus messages. */
const MAX_CALLS_PER_TURN = 4;
/** Queued calls of one class; a caller behind so many has usually disconnected before its call is started. */
const MAX_QUEUED_PER_CLASS = 1_000;

/** Schedules the calls of one process. */
export class CallScheduler {
  private readonly _metrics: Metrics;
  private readonly _queues = new Map<CallClass, IncomingCall[]>();
  private _startedInTurn = 0;
  private _isScheduled = false;

  /**
   * @param metrics - Counts the calls that are not started.
   */
  constructor(metrics: Metrics) {
    this._metrics = metrics;
  }

  /** Starts a call now, or queues it for a later turn. */
  add(call: IncomingCall): void {
    if (call.callClass === "agreement") {
      call.begin();
      return;
    }
    this._schedule();
    if (this._startedInTurn < MAX_CALLS_PER_TURN && this._queues.size === 0) this._start(call);
    else this._enqueue(call);
  }

  private _start(call: IncomingCall): void {
    this._startedInTurn += 1;
    call.begin();
  }

  private _enqueue(call: IncomingCall): void {
    const queue = this._queues.get(call.callClass) ?? [];
    if (queue.length >= MAX_QUEUED_PER_CLASS) {
      this._metrics.increment("calls_not_begun", 1, { class: call.callClass, reason: "full" });
      call.refuse();
      return;
    }
    queue.push(call);
    this._queues.set(call.callClass, queue);
  }

  private _schedule(): void {
    if (this._isScheduled) return;
    this._isScheduled = true;
    setImmediate(() => this._startTurn());
  }

  private _startTurn(): void {
    this._isScheduled = false;
    this._startedInTurn = 0;
    while (this._startedInTurn < MAX_CALLS_PER_TURN) {
      const call = this._dequeue();
      if (call === undefined) break;
      if (call.isWanted()) this._start(call);
      else this._metrics.increment("calls_not_begun", 1, { class: call.callClass, reason: "gone" });
    }
    if (this._startedInTurn > 0) this._schedule();
  }

  private _dequeue(): IncomingCall | undefined {
    for (const callClass of CALL_CLASSES) {
      const queue = this._queues.get(callClass);
      const call = queue?.shift();
      if (queue?.length === 0) this._queues.delete(callClass);
      if (call !== undefined) return call;
    }
    return undefined;
  }
}
