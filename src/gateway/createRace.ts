/**
 * Creates the race between a request's attempts, as limited by its route, its endpoints and the retry budget.
 */
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { type AnswerSource, AttemptRace } from "./AttemptRace";
import type { Exchange } from "./Exchange";

/** Opens and times the attempts of a request. */
export interface AnswerReader<T> {
  /** Sends the request to a target. */
  readonly open: (target: Target) => AnswerSource<T>;
  /** Gets how long a working endpoint may send no data, milliseconds. */
  readonly getPatienceMs: () => number;
}

/** Creates the race between a request's attempts. */
export function createRace<T>(exchange: Exchange, { open, getPatienceMs }: AnswerReader<T>): AttemptRace<T> {
  let hasBegun = false;
  return new AttemptRace({
    getNow: () => exchange.getNow(),
    openNext: async () => {
      if (hasBegun && !(await exchange.takeNextAttempt())) return undefined;
      hasBegun = true;
      const target = exchange.chooseTarget();
      return target === undefined ? undefined : open(target);
    },
    openBeside: (silent, silentMs) => {
      if (!exchange.isSilentTooLong(silent.target, silentMs, getPatienceMs())) return undefined;
      const target = exchange.takeTargetBeside(silent.target);
      return target === undefined ? undefined : open(target);
    },
  });
}
