/**
 * Carries calls between clients and control processes in simulated time. An answer that arrives after the
 * caller has timed out is lost.
 */

import type { Processor } from "./Processor";
import type { Simulation } from "./Simulation";
import type { WorkKind } from "./WorkQueue";

/** A process that receives calls, and whose processor handles the answers to its own calls. */
export interface Peer {
  readonly name: string;
  readonly processor: Processor;
  /**
   * Whether the machine has power. A machine without power sends nothing; a machine with power refuses calls
   * to a process that has ended.
   */
  readonly isPowered: boolean;
}

/** The result of a call. */
export type Outcome<R> =
  | { readonly kind: "answer"; readonly answer: R }
  | { readonly kind: "refused"; readonly leader: string }
  | { readonly kind: "timeout" };

/** A call as the called process sees it. */
export interface Call<R> {
  readonly isWanted: () => boolean;
  readonly answer: (answer: R) => void;
  readonly refuse: (leader: string) => void;
}

/** The parameters of a call. */
export interface CallOptions<R> {
  /** The calling control process; `undefined` for a client, whose processor is not modelled. */
  readonly from: Peer | undefined;
  readonly to: Peer;
  readonly kind: WorkKind;
  readonly timeoutMs: number;
  readonly getCostMs: () => number;
  readonly serve: (call: Call<R>) => void;
  readonly onEnd: (outcome: Outcome<R>) => void;
}

/**
 * One-way latency in milliseconds: between control processes, and between them and instances, entries or
 * operators.
 */
const CONTROL_LATENCY_MS = 1.5;
const CLIENT_LATENCY_MS = 3;

/** A network whose links can be cut. */
export class Network {
  private readonly _simulation: Simulation;
  private readonly _answerMs: number;
  private readonly _cutLinks = new Set<string>();

  /** @param answerMs - Processor time that a process needs to handle an answer, in milliseconds. */
  constructor(simulation: Simulation, answerMs: number) {
    this._simulation = simulation;
    this._answerMs = answerMs;
  }

  /** Cuts the links between two sets of processes in both directions. */
  cutLinks(names: readonly string[], others: readonly string[]): void {
    for (const name of names) for (const other of others) this._cutLinks.add(getLink(name, other));
  }

  /** Restores all links. */
  restoreLinks(): void {
    this._cutLinks.clear();
  }

  /** Checks whether two processes can reach each other. */
  isConnected(name: string, other: string): boolean {
    return !this._cutLinks.has(getLink(name, other));
  }

  /** Sends a message that needs no answer. */
  send(from: Peer, to: Peer, costMs: number, receive: () => void): void {
    if (!this.isConnected(from.name, to.name)) return;
    this._simulation.schedule(CONTROL_LATENCY_MS, () =>
      to.processor.add({
        kind: "agreement",
        getCostMs: () => costMs,
        isWanted: () => true,
        run: receive,
        refuse: () => {},
      }),
    );
  }

  /**
   * Makes a call and reports its outcome once, unless the calling process has stopped. Returns a function
   * that cancels the call.
   */
  call<R>(options: CallOptions<R>): () => void {
    const { from, to, timeoutMs } = options;
    let hasEnded = false;
    const end = (outcome: Outcome<R>) => {
      if (hasEnded) return;
      hasEnded = true;
      timer.isCancelled = true;
      options.onEnd(outcome);
    };
    const timer = this._simulation.schedule(timeoutMs, () => end({ kind: "timeout" }));
    const latencyMs = from === undefined ? CLIENT_LATENCY_MS : CONTROL_LATENCY_MS;
    const isConnected = () => from === undefined || this.isConnected(from.name, to.name);
    const isWanted = () => !hasEnded && (from === undefined || from.processor.isRunning);
    const reply = (outcome: Outcome<R>) => {
      if (!isConnected()) return;
      this._simulation.schedule(latencyMs, () => this._deliverReply(options, isWanted, () => end(outcome)));
    };
    const call: Call<R> = {
      isWanted,
      answer: (answer) => reply({ kind: "answer", answer }),
      refuse: (leader) => reply({ kind: "refused", leader }),
    };
    if (isConnected()) this._simulation.schedule(latencyMs, () => this._deliverCall(options, call));
    return () => {
      hasEnded = true;
      timer.isCancelled = true;
    };
  }

  private _deliverCall<R>({ to, kind, getCostMs, serve }: CallOptions<R>, call: Call<R>): void {
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

  private _deliverReply<R>({ from }: CallOptions<R>, isWanted: () => boolean, run: () => void): void {
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
