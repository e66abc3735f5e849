/** Calls the leader in simulated time by the rules of `LeaderClient`. Times are in milliseconds. */
import { SearchBackoff } from "../../src/rpc/SearchBackoff";
import type { Outcome, Peer } from "./Network";
import type { Simulation } from "./Simulation";

/** Timings of `LeaderClient`, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 700;
const LEADER_CHECK_MS = 50;

/** Makes one attempt of a call. */
export type Attempt<R> = (to: Peer, timeoutMs: number, onEnd: (outcome: Outcome<R>) => void) => void;

/** The environment of the calls of one process. */
export interface LeaderClientOptions {
  readonly simulation: Simulation;
  readonly processes: readonly Peer[];
  /** Gets the leader from the local consensus state; "" if it is unknown. */
  readonly getLeader: () => string;
  readonly isRunning: () => boolean;
}

/** Makes the calls of one incarnation of a process. */
export class LeaderClientModel {
  private readonly _options: LeaderClientOptions;
  private _current: Peer;

  constructor(options: LeaderClientOptions) {
    this._options = options;
    this._current = options.processes[0]!;
  }

  /**
   * Attempts a call until a process answers or the time is up.
   * @param onEnd - Receives the answer; `undefined` if none arrived in time.
   */
  call<R>(attempt: Attempt<R>, timeoutMs: number, onEnd: (answer: R | undefined) => void): void {
    const { simulation, isRunning } = this._options;
    const deadlineAt = simulation.now + timeoutMs;
    const retryDelay = new SearchBackoff();
    let failedLeader = "";
    const attemptNext = () => {
      if (!isRunning()) return;
      const remainingMs = deadlineAt - simulation.now;
      if (remainingMs <= 0) {
        onEnd(undefined);
        return;
      }
      const leader = this._findLeader(failedLeader);
      const callee = leader ?? this._current;
      let hasEnded = false;
      const end = (outcome: Outcome<R>) => {
        if (!isRunning() || hasEnded) return;
        hasEnded = true;
        if (outcome.kind === "answer") {
          onEnd(outcome.answer);
          return;
        }
        this._selectNext(callee, outcome.kind === "refused" ? outcome.leader : "");
        failedLeader = leader?.name ?? failedLeader;
        simulation.schedule(
          Math.min(retryDelay.addFailure(this._options.processes.length), remainingMs),
          attemptNext,
        );
      };
      attempt(callee, leader === undefined ? Math.min(ATTEMPT_TIMEOUT_MS, remainingMs) : remainingMs, end);
      if (leader === undefined) return;
      const checkLeader = () => {
        if (hasEnded) return;
        if (this._isDeposed(leader)) end({ kind: "refused", leader: "" });
        else simulation.schedule(LEADER_CHECK_MS, checkLeader);
      };
      checkLeader();
    };
    attemptNext();
  }

  private _isDeposed(leader: Peer): boolean {
    return !["", leader.name].includes(this._options.getLeader());
  }

  private _findLeader(failedLeader: string): Peer | undefined {
    const name = this._options.getLeader();
    if (name === "" || name === failedLeader) return undefined;
    return this._options.processes.find((process) => process.name === name);
  }

  private _selectNext(callee: Peer, hint: string): void {
    if (this._current !== callee) return;
    const { processes } = this._options;
    const hinted = processes.find(({ name }) => name === hint && name !== callee.name);
    this._current = hinted ?? processes[(processes.indexOf(callee) + 1) % processes.length]!;
  }
}
