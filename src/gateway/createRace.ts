/**
 * Creates the race between a request's attempts, as limited by its route, its endpoints and the retry budget.
 */
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { type AnswerSource, AttemptRace } from "./AttemptRace";
import type { Exchange } from "./Exchange";

/** Opens and times the attempts of a request. */
export interface RaceSource<T> {
  /** Sends the request to a target. */
  readonly open: (target: Target) => AnswerSource<T>;
  /** Gets how long a working endpoint may send no data, milliseconds. */
  readonly getIdleTimeoutMs: () => number;
}

/** Creates the race between a request's attempts. */
export function createRace<T>(exchange: Exchange, { open, getIdleTimeoutMs }: RaceSource<T>): AttemptRace<T> {
  let hasOpened = false;
  return new AttemptRace({
    getNow: () => exchange.getNow(),
    openNext: async () => {
      if (!(hasOpened ? await exchange.takeRetry() : exchange.takeFirstAttempt())) return undefined;
      hasOpened = true;
      const target = exchange.chooseTarget();
      return target === undefined ? undefined : open(target);
    },
    openHedge: (idle, idleMs) => {
      if (!exchange.isIdleTooLong(idle.target, idleMs, getIdleTimeoutMs())) return undefined;
      const target = exchange.takeHedgeTarget(idle.target, idleMs);
      return target === undefined ? undefined : open(target);
    },
  });
}
