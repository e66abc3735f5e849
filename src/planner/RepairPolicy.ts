/**
 * Decides how long a replica waits for a missing instance before it is rebuilt.
 *
 * Waiting and rebuilding cost the same per second: the replica is down and its other instances are stranded.
 * The better choice is therefore the one that ends sooner. The wait with the shortest expected outage is
 * computed from past absences.
 */
import type { Absence } from "./facts";

/** Input for choosing how long a replica waits for a missing instance; durations are in milliseconds. */
export interface RepairFacts {
  /** Expected duration of a rebuild once it starts. */
  readonly rebuildMs: number;
  readonly absences: readonly Absence[];
  readonly maxWaitMs: number;
}

/** Chooses how long a replica waits for a missing instance. */
export interface RepairPolicy {
  /**
   * Whether a lost instance never returns to its replica, so that waiting leaves the other instances stranded
   * to no purpose.
   */
  readonly isLossFinal: boolean;
  /** Gets how long to wait, in milliseconds from the time of the loss. */
  getWaitMs(facts: RepairFacts): number;
}

/** Always waits for the maximum time. Serves as a baseline. */
export class LongestWaitRepair implements RepairPolicy {
  readonly isLossFinal = false;

  getWaitMs(facts: RepairFacts): number {
    return facts.maxWaitMs;
  }
}

/**
 * Rebuilds at once. Serves as a baseline, and is the right policy where a returning instance has lost its
 * place in the replica.
 */
export class ImmediateRepair implements RepairPolicy {
  readonly isLossFinal: boolean;

  /** @param isLossFinal - Whether a lost instance never returns to its replica. */
  constructor(isLossFinal = false) {
    this.isLossFinal = isLossFinal;
  }

  /** Gets 0, since this policy never waits. */
  getWaitMs(): number {
    return 0;
  }
}

/** Absences assumed before any has been observed: one short pause and one permanent loss. */
const PRIOR_ABSENCES: readonly Absence[] = [
  { durationMs: 5_000, cameBack: true },
  { durationMs: 600_000, cameBack: false },
];

/** Waits for the time that minimises the expected outage. */
export class LeastOutageRepair implements RepairPolicy {
  readonly isLossFinal = false;

  /** Gets the wait with the shortest expected outage; of equal ones, the shorter wait. */
  getWaitMs(facts: RepairFacts): number {
    const absences = [...PRIOR_ABSENCES, ...facts.absences];
    const candidates = absences.filter((absence) => absence.cameBack).map((absence) => absence.durationMs);
    let best = 0;
    let bestOutage = getExpectedOutage(0, absences, facts.rebuildMs);
    for (const wait of candidates.filter((candidate) => candidate <= facts.maxWaitMs).sort((a, b) => a - b)) {
      const outage = getExpectedOutage(wait, absences, facts.rebuildMs);
      if (outage < bestOutage) {
        best = wait;
        bestOutage = outage;
      }
    }
    return best;
  }
}

/** Gets the mean time, in milliseconds, until the replica serves again if it waits for at most `waitMs`. */
function getExpectedOutage(waitMs: number, absences: readonly Absence[], rebuildMs: number): number {
  const total = absences.reduce((sum, absence) => {
    const returnsInTime = absence.cameBack && absence.durationMs <= waitMs;
    return sum + (returnsInTime ? absence.durationMs : waitMs + rebuildMs);
  }, 0);
  return total / absences.length;
}
