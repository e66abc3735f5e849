/**
 * How long a replica with a missing instance waits for it before it is rebuilt.
 *
 * Waiting and rebuilding cost the same a second: the replica is down and its other
 * instances are stranded. So the choice is which of the two is over sooner. The wait
 * that is expected to be over soonest is found from past absences.
 */
import type { Absence } from "./facts";

/** What a choice of waiting time looks at; milliseconds. */
export interface RepairFacts {
  /** How long a rebuilding is expected to take once it starts. */
  readonly rebuildMs: number;
  readonly absences: readonly Absence[];
  readonly maxWaitMs: number;
}

/** A way to choose the waiting time. */
export interface RepairPolicy {
  /** Whether a lost instance never takes its place again, so that its replica holds the others for nothing. */
  readonly isLossFinal: boolean;
  /** Gets how long to wait from the loss on, milliseconds. */
  getWaitMs(facts: RepairFacts): number;
}

/** Waits as long as is allowed: a baseline. */
export class LongestWaitRepair implements RepairPolicy {
  readonly isLossFinal = false;

  /** Gets the longest wait allowed. */
  getWaitMs(facts: RepairFacts): number {
    return facts.maxWaitMs;
  }
}

/** Rebuilds at once: a baseline, and right where an instance that comes back has lost its place. */
export class ImmediateRepair implements RepairPolicy {
  readonly isLossFinal: boolean;

  /**
   * @param isLossFinal - Whether a lost instance never takes its place again.
   */
  constructor(isLossFinal = false) {
    this.isLossFinal = isLossFinal;
  }

  /** Gets no wait. */
  getWaitMs(): number {
    return 0;
  }
}

/** Absences assumed before any was seen: half are short pauses, half are for good. */
const PRIOR_ABSENCES: readonly Absence[] = [
  { durationMs: 5_000, cameBack: true },
  { durationMs: 600_000, cameBack: false },
];

/** Waits as long as makes the expected end of the outage soonest. */
export class LeastOutageRepair implements RepairPolicy {
  readonly isLossFinal = false;

  /** Gets the wait with the least expected outage; ties go to the shorter one. */
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

/** Gets the mean time until the replica serves again if it waits at most so long. */
function getExpectedOutage(waitMs: number, absences: readonly Absence[], rebuildMs: number): number {
  const total = absences.reduce((sum, absence) => {
    const returnsInTime = absence.cameBack && absence.durationMs <= waitMs;
    return sum + (returnsInTime ? absence.durationMs : waitMs + rebuildMs);
  }, 0);
  return total / absences.length;
}
