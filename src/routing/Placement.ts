/**
 * Chooses a replica for a request over reports that lag.
 *
 * Pure: candidates, time and randomness are arguments. Nine entries that all took the
 * replica with the lowest report would take the same one; each therefore looks at a
 * few candidates drawn at random, and at the one that holds the longest prefix.
 */
import type { RandomSource } from "../consensus";

/** A replica as the choice sees it; work is counted in tokens. */
export interface Candidate {
  readonly replicaId: string;
  /** This entry's requests in flight there. */
  readonly ownRequests: number;
  /** Requests that this entry may have in flight there. */
  readonly ownLimit: number;
  /** This entry's tokens still to be worked on there. */
  readonly ownTokens: number;
  /** Tokens pending there as it last reported, 0 when it never did. */
  readonly reportedTokens: number;
  /** This entry's tokens pending there when the report was made. */
  readonly ownTokensAtReport: number;
  /** Prompt tokens that it probably holds in its prefix cache. */
  readonly heldTokens: number;
  /** How much longer its first tokens take than its peers', 1 when alike. */
  readonly slowness: number;
}

/** A way to choose. */
export interface Placement {
  /**
   * Chooses a candidate with room.
   * @param promptTokens - Tokens that a replica without the prefix must prefill.
   * @returns `undefined` when none has room.
   */
  choose(candidates: readonly Candidate[], promptTokens: number, random: RandomSource): Candidate | undefined;
}

/** Candidates drawn at random for each choice. */
const SAMPLE_SIZE = 3;

/** Weighs queued work against the prefill that a held prefix saves. */
export class LeastWorkPlacement implements Placement {
  private readonly _reuseWeight: number;
  private readonly _sampleSize: number;

  /**
   * @param reuseWeight - What a held prompt token is worth against a queued one.
   * @param sampleSize - Candidates drawn for each choice.
   */
  constructor(reuseWeight = 1, sampleSize = SAMPLE_SIZE) {
    this._reuseWeight = reuseWeight;
    this._sampleSize = sampleSize;
  }

  /** Chooses the sampled candidate with the least work left, prefill included. */
  choose(
    candidates: readonly Candidate[],
    promptTokens: number,
    random: RandomSource,
  ): Candidate | undefined {
    const open = candidates.filter(hasRoom);
    const sample = drawSample(open, this._sampleSize, random);
    const holder = getLongestHolder(open);
    if (holder !== undefined && this._reuseWeight > 0) sample.push(holder);
    return getLeast(sample, (candidate) => this._getWork(candidate, promptTokens));
  }

  private _getWork(candidate: Candidate, promptTokens: number): number {
    const prefill = promptTokens - this._reuseWeight * Math.min(candidate.heldTokens, promptTokens);
    return (getQueuedTokens(candidate) + prefill) * candidate.slowness;
  }
}

/** Takes candidates in turn: a baseline. */
export class RoundRobinPlacement implements Placement {
  private _next = 0;

  /** Chooses the next candidate with room. */
  choose(candidates: readonly Candidate[]): Candidate | undefined {
    const open = candidates.filter(hasRoom);
    if (open.length === 0) return undefined;
    const chosen = open[this._next % open.length];
    this._next += 1;
    return chosen;
  }
}

/** Takes the lowest report: a baseline. */
export class LeastReportedPlacement implements Placement {
  /** Chooses the candidate with room that reported the least work. */
  choose(candidates: readonly Candidate[]): Candidate | undefined {
    return getLeast(candidates.filter(hasRoom), (candidate) => candidate.reportedTokens);
  }
}

/** Takes the least of one's own work in flight: a baseline. */
export class OwnInFlightPlacement implements Placement {
  /** Chooses the candidate with room that has the least of this entry's work. */
  choose(candidates: readonly Candidate[]): Candidate | undefined {
    return getLeast(candidates.filter(hasRoom), (candidate) => candidate.ownTokens);
  }
}

function hasRoom(candidate: Candidate): boolean {
  return candidate.ownRequests < candidate.ownLimit;
}

/** Own work is known exactly; of the report, only what others sent is taken. */
function getQueuedTokens(candidate: Candidate): number {
  const others = Math.max(0, candidate.reportedTokens - candidate.ownTokensAtReport);
  return candidate.ownTokens + others;
}

function drawSample(candidates: readonly Candidate[], size: number, random: RandomSource): Candidate[] {
  if (candidates.length <= size) return [...candidates];
  const rest = [...candidates];
  const sample: Candidate[] = [];
  while (sample.length < size) {
    const at = Math.floor(random.next() * rest.length);
    sample.push(rest[at]!);
    rest[at] = rest.at(-1)!;
    rest.pop();
  }
  return sample;
}

function getLongestHolder(candidates: readonly Candidate[]): Candidate | undefined {
  const holder = getLeast(candidates, (candidate) => -candidate.heldTokens);
  return holder !== undefined && holder.heldTokens > 0 ? holder : undefined;
}

function getLeast(
  candidates: readonly Candidate[],
  getCost: (candidate: Candidate) => number,
): Candidate | undefined {
  let least: Candidate | undefined;
  let leastCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = getCost(candidate);
    if (cost < leastCost) {
      least = candidate;
      leastCost = cost;
    }
  }
  return least;
}
