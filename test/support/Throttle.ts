/**
 * Limits processes to a share of a core by suspending and resuming them in turn.
 *
 * A throttled process computes as much in a given time as on a small machine, and its timers fire as late. A
 * restarted process is throttled from its start.
 */
import type { ProcessHandle } from "./ProcessHandle";

/** One cycle of running and being suspended, milliseconds. */
const PERIOD_MS = 50;

/** A throttle on a set of processes. */
export class Throttle {
  private readonly _handles: readonly ProcessHandle[];
  private readonly _runMs: number;
  private readonly _timers = new Set<NodeJS.Timeout>();
  private _isOn = false;

  /** @param share - Share of a core, above 0 and up to 1. */
  constructor(handles: readonly ProcessHandle[], share: number) {
    this._handles = handles;
    this._runMs = PERIOD_MS * share;
  }

  /** Starts throttling. The running phases of the processes are spread over the period. */
  start(): void {
    this._isOn = true;
    for (const [index, handle] of this._handles.entries()) {
      this._schedule((PERIOD_MS * index) / this._handles.length, () => this._run(handle));
    }
  }

  /** Stops throttling and resumes all processes. */
  stop(): void {
    this._isOn = false;
    for (const timer of this._timers) clearTimeout(timer);
    this._timers.clear();
    for (const handle of this._handles) handle.resume();
  }

  private _run(handle: ProcessHandle): void {
    handle.resume();
    this._schedule(this._runMs, () => {
      handle.pause();
      this._schedule(PERIOD_MS - this._runMs, () => this._run(handle));
    });
  }

  private _schedule(milliseconds: number, action: () => void): void {
    if (!this._isOn) return;
    const timer = setTimeout(() => {
      this._timers.delete(timer);
      action();
    }, milliseconds);
    this._timers.add(timer);
  }
}
