/**
 * Gives processes only a part of a core, by stopping and continuing them in turn.
 *
 * What a process has computed by a moment is then that of a small machine, and its timers run as
 * late. A process that is started again is throttled from its start.
 */
import type { ProcessHandle } from "./ProcessHandle";

/** Processes run and stand still in turns of this length together, milliseconds. */
const PERIOD_MS = 50;

/** A throttle on some processes. */
export class Throttle {
  private readonly _handles: readonly ProcessHandle[];
  private readonly _runMs: number;
  private readonly _timers = new Set<NodeJS.Timeout>();
  private _isOn = false;

  /**
   * @param share - Part of a core, above 0 and up to 1.
   */
  constructor(handles: readonly ProcessHandle[], share: number) {
    this._handles = handles;
    this._runMs = PERIOD_MS * share;
  }

  /** Begins throttling; the processes' turns are spread over the period. */
  start(): void {
    this._isOn = true;
    for (const [index, handle] of this._handles.entries()) {
      this._schedule((PERIOD_MS * index) / this._handles.length, () => this._run(handle));
    }
  }

  /** Lets all of them run freely again. */
  stop(): void {
    this._isOn = false;
    for (const timer of this._timers) clearTimeout(timer);
    this._timers.clear();
    for (const handle of this._handles) handle.thaw();
  }

  private _run(handle: ProcessHandle): void {
    handle.thaw();
    this._schedule(this._runMs, () => {
      handle.freeze();
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
