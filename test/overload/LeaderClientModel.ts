/** Calls the leader in simulated time, by the rules of `LeaderClient`. Times are milliseconds. */
import { SearchBackoff } from "../../src/rpc/SearchBackoff";
import type { Outcome, Place } from "./Network";
import type { Simulation } from "./Simulation";

/** As in `LeaderClient`. */
const ATTEMPT_MS = 700;
const LOOK_MS = 50;

/** One try of a call. */
export type Try<R> = (to: Place, timeoutMs: number, onEnd: (outcome: Outcome<R>) => void) => void;

/** What the calls of one process work with. */
export interface LeaderCallsOptions {
  readonly simulation: Simulation;
  readonly places: readonly Place[];
  /** Gives the leader as the agreement knows it here, "" where it does not. */
  readonly getLeader: () => string;
  readonly isRunning: () => boolean;
}

/** The calls of one life of a process. */
export class LeaderCalls {
  private readonly _options: LeaderCallsOptions;
  private _current: Place;

  constructor(options: LeaderCallsOptions) {
    this._options = options;
    this._current = options.places[0]!;
  }

  /**
   * Calls until one answers or the time is up.
   * @param onEnd - Told the answer; `undefined` when there was none in time.
   */
  call<R>(attempt: Try<R>, totalMs: number, onEnd: (answer: R | undefined) => void): void {
    const { simulation, isRunning } = this._options;
    const endAt = simulation.now + totalMs;
    const search = new SearchBackoff();
    let failedLeader = "";
    const next = () => {
      if (!isRunning()) return;
      const leftMs = endAt - simulation.now;
      if (leftMs <= 0) {
        onEnd(undefined);
        return;
      }
      const leader = this._findLeader(failedLeader);
      const asked = leader ?? this._current;
      let isOver = false;
      const end = (outcome: Outcome<R>) => {
        if (!isRunning() || isOver) return;
        isOver = true;
        if (outcome.kind === "answer") {
          onEnd(outcome.answer);
          return;
        }
        this._goOn(asked, outcome.kind === "refused" ? outcome.leader : "");
        failedLeader = leader?.name ?? failedLeader;
        simulation.addAfter(Math.min(search.addFailure(this._options.places.length), leftMs), next);
      };
      attempt(asked, leader === undefined ? Math.min(ATTEMPT_MS, leftMs) : leftMs, end);
      if (leader === undefined) return;
      const look = () => {
        if (isOver) return;
        if (this._isDeposed(leader)) end({ kind: "refused", leader: "" });
        else simulation.addAfter(LOOK_MS, look);
      };
      look();
    };
    next();
  }

  private _isDeposed(leader: Place): boolean {
    return !["", leader.name].includes(this._options.getLeader());
  }

  private _findLeader(failedLeader: string): Place | undefined {
    const name = this._options.getLeader();
    if (name === "" || name === failedLeader) return undefined;
    return this._options.places.find((place) => place.name === name);
  }

  private _goOn(asked: Place, hint: string): void {
    if (this._current !== asked) return;
    const { places } = this._options;
    const hinted = places.find(({ name }) => name === hint && name !== asked.name);
    this._current = hinted ?? places[(places.indexOf(asked) + 1) % places.length]!;
  }
}
