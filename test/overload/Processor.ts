/** The processor of one process: it does one thing at a time, at a bounded rate. Times are simulated milliseconds. */
import type { Costs } from "./costs";
import type { Simulation } from "./Simulation";
import type { Discipline, Work, WorkKind } from "./WorkQueue";

/** Processor time that was used, milliseconds. */
export interface Usage {
  readonly kind: WorkKind;
  /** In all, and for those that did not wait any more when it was done. */
  usedMs: number;
  wastedMs: number;
  done: number;
  wasted: number;
}

/** A processor and what waits for it. */
export class Processor {
  readonly usages = new Map<WorkKind, Usage>();
  private readonly _simulation: Simulation;
  private readonly _discipline: Discipline;
  private readonly _costs: Costs;
  private _startedAt = 0;
  private _life = 0;
  private _isRunning = false;
  private _isBusy = false;
  /** Of refusals at the door, until the next work is begun. */
  private _owedMs = 0;

  constructor(simulation: Simulation, discipline: Discipline, costs: Costs) {
    this._simulation = simulation;
    this._discipline = discipline;
    this._costs = costs;
  }

  /** Gets whether its process runs. */
  get isRunning(): boolean {
    return this._isRunning;
  }

  /** Starts a process; a long one ago runs compiled code from the beginning. */
  start(startedAt: number): void {
    this._life += 1;
    this._startedAt = startedAt;
    this._isRunning = true;
    this._isBusy = false;
    this._owedMs = 0;
  }

  /** Ends the process: nothing of what waits is done. */
  stop(): void {
    this._life += 1;
    this._isRunning = false;
    this._isBusy = false;
    this._discipline.clear();
  }

  /** Takes work over. */
  add(work: Work): void {
    if (!this._isRunning) return;
    for (const refused of this._discipline.add(work)) {
      this._owedMs += this._costs.doorRefusalMs;
      refused.refuse();
    }
    this._begin();
  }

  private _begin(): void {
    if (this._isBusy) return;
    const work = this._discipline.take();
    if (work === undefined) return;
    this._isBusy = true;
    const life = this._life;
    const usedMs = (work.getCostMs() + this._owedMs) * this._getFactor();
    this._owedMs = 0;
    this._simulation.addAfter(usedMs / this._costs.share, () => {
      if (life !== this._life) return;
      this._isBusy = false;
      this._addUsage(work, usedMs);
      work.run();
      this._begin();
    });
  }

  private _getFactor(): number {
    const { coldMs, coldFactor } = this._costs;
    return this._simulation.now - this._startedAt < coldMs ? coldFactor : 1;
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
