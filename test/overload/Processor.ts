/**
 * Models the processor of one process: it executes one unit of work at a time, at a limited rate. Times are
 * in simulated milliseconds.
 */
import type { Costs } from "./costs";
import type { Simulation } from "./Simulation";
import type { Work, WorkKind, WorkQueue } from "./WorkQueue";

/** Processor time used by one kind of work, in milliseconds. */
export interface Usage {
  readonly kind: WorkKind;
  /** In total, and for work whose caller no longer waited when it completed. */
  usedMs: number;
  wastedMs: number;
  done: number;
  wasted: number;
}

/** A processor and its work queue. */
export class Processor {
  readonly usages = new Map<WorkKind, Usage>();
  private readonly _simulation: Simulation;
  private readonly _queue: WorkQueue;
  private readonly _costs: Costs;
  private _startedAt = 0;
  private _incarnation = 0;
  private _isRunning = false;
  private _isBusy = false;
  /** Processor time of refusals by the queue, charged to the next work. */
  private _pendingRefusalMs = 0;

  constructor(simulation: Simulation, queue: WorkQueue, costs: Costs) {
    this._simulation = simulation;
    this._queue = queue;
    this._costs = costs;
  }

  get isRunning(): boolean {
    return this._isRunning;
  }

  /** Starts a process. If it started at least `coldStartMs` ago, its code is compiled from the beginning. */
  start(startedAt: number): void {
    this._incarnation += 1;
    this._startedAt = startedAt;
    this._isRunning = true;
    this._isBusy = false;
    this._pendingRefusalMs = 0;
  }

  /** Ends the process and drops its queued work. */
  stop(): void {
    this._incarnation += 1;
    this._isRunning = false;
    this._isBusy = false;
    this._queue.clear();
  }

  /** Adds work to the queue; ignores it if the process does not run. */
  add(work: Work): void {
    if (!this._isRunning) return;
    for (const refused of this._queue.add(work)) {
      this._pendingRefusalMs += this._costs.queueRefusalMs;
      refused.refuse();
    }
    this._startNext();
  }

  private _startNext(): void {
    if (this._isBusy) return;
    const work = this._queue.take();
    if (work === undefined) return;
    this._isBusy = true;
    const incarnation = this._incarnation;
    const usedMs = (work.getCostMs() + this._pendingRefusalMs) * this._getCostFactor();
    this._pendingRefusalMs = 0;
    this._simulation.schedule(usedMs / this._costs.processorShare, () => {
      if (incarnation !== this._incarnation) return;
      this._isBusy = false;
      this._addUsage(work, usedMs);
      work.run();
      this._startNext();
    });
  }

  private _getCostFactor(): number {
    const { coldStartMs, coldFactor } = this._costs;
    return this._simulation.now - this._startedAt < coldStartMs ? coldFactor : 1;
  }

  private _addUsage({ kind, isWanted }: Work, usedMs: number): void {
    const usage = this.usages.get(kind) ?? { kind, usedMs: 0, wastedMs: 0, done: 0, wasted: 0 };
    this.usages.set(kind, usage);
    usage.usedMs += usedMs;
    usage.done += 1;
    if (isWanted()) return;
    usage.wastedMs += usedMs;
    usage.wasted += 1;
  }
}
