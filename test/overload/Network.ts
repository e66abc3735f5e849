/** Calls between askers and control processes: an answer that comes after the asker gave up is lost. */

import type { Processor } from "./Processor";
import type { Simulation } from "./Simulation";
import type { WorkKind } from "./WorkQueue";

/** Where calls arrive, and which processor their answers are taken with. */
export interface Place {
  readonly name: string;
  readonly processor: Processor;
  /** Without power nothing is said; a process that ended has its calls refused by its machine. */
  readonly isPowered: boolean;
}

/** What came of a call. */
export type Outcome<R> =
  | { readonly kind: "answer"; readonly answer: R }
  | { readonly kind: "refused"; readonly leader: string }
  | { readonly kind: "timeout" };

/** A call as the process sees that is asked. */
export interface Call<R> {
  readonly isWanted: () => boolean;
  readonly answer: (answer: R) => void;
  readonly refuse: (leader: string) => void;
}

/** A call to be made. */
export interface Request<R> {
  /** The calling control process; `undefined` for one whose processor doesn't matter here. */
  readonly from: Place | undefined;
  readonly to: Place;
  readonly kind: WorkKind;
  readonly timeoutMs: number;
  readonly getCostMs: () => number;
  readonly serve: (call: Call<R>) => void;
  readonly onEnd: (outcome: Outcome<R>) => void;
}

/** One way, milliseconds: between control processes, and from instances, entries and operators to them. */
const INNER_MS = 1.5;
const OUTER_MS = 3;

/** Links, which may be cut. */
export class Network {
  private readonly _simulation: Simulation;
  private readonly _answerMs: number;
  private readonly _cut = new Set<string>();

  /**
   * @param answerMs - What taking an answer costs a process, milliseconds of processor time.
   */
  constructor(simulation: Simulation, answerMs: number) {
    this._simulation = simulation;
    this._answerMs = answerMs;
  }

  /** Cuts processes from others, both ways. */
  cut(names: readonly string[], others: readonly string[]): void {
    for (const name of names) for (const other of others) this._cut.add(getLink(name, other));
  }

  /** Joins all again. */
  heal(): void {
    this._cut.clear();
  }

  /** Checks whether two processes reach each other. */
  isWhole(name: string, other: string): boolean {
    return !this._cut.has(getLink(name, other));
  }

  /** Sends a message that nobody answers. */
  send(from: Place, to: Place, costMs: number, receive: () => void): void {
    if (!this.isWhole(from.name, to.name)) return;
    this._simulation.addAfter(INNER_MS, () =>
      to.processor.add({
        kind: "agreement",
        getCostMs: () => costMs,
        isWanted: () => true,
        run: receive,
        refuse: () => {},
      }),
    );
  }

  /** Makes a call; its end is told once, to a process that still runs. */
  call<R>(request: Request<R>): () => void {
    const { from, to, timeoutMs } = request;
    let isOver = false;
    const end = (outcome: Outcome<R>) => {
      if (isOver) return;
      isOver = true;
      timer.isOff = true;
      request.onEnd(outcome);
    };
    const timer = this._simulation.addAfter(timeoutMs, () => end({ kind: "timeout" }));
    const wayMs = from === undefined ? OUTER_MS : INNER_MS;
    const isWhole = () => from === undefined || this.isWhole(from.name, to.name);
    const isWanted = () => !isOver && (from === undefined || from.processor.isRunning);
    const goBack = (outcome: Outcome<R>) => {
      if (!isWhole()) return;
      this._simulation.addAfter(wayMs, () => this._receive(request, isWanted, () => end(outcome)));
    };
    const call: Call<R> = {
      isWanted,
      answer: (answer) => goBack({ kind: "answer", answer }),
      refuse: (leader) => goBack({ kind: "refused", leader }),
    };
    if (isWhole()) this._simulation.addAfter(wayMs, () => this._arrive(request, call));
    return () => {
      isOver = true;
      timer.isOff = true;
    };
  }

  private _arrive<R>({ to, kind, getCostMs, serve }: Request<R>, call: Call<R>): void {
    if (!to.isPowered) return;
    if (!to.processor.isRunning) {
      call.refuse("");
      return;
    }
    to.processor.add({
      kind,
      getCostMs,
      isWanted: call.isWanted,
      run: () => serve(call),
      refuse: () => call.refuse(""),
    });
  }

  private _receive<R>({ from }: Request<R>, isWanted: () => boolean, run: () => void): void {
    if (from === undefined) run();
    else
      from.processor.add({
        kind: "answer",
        getCostMs: () => this._answerMs,
        isWanted,
        run,
        refuse: () => {},
      });
  }
}

function getLink(name: string, other: string): string {
  return name < other ? `${name} ${other}` : `${other} ${name}`;
}
