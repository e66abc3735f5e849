/**
 * Chooses a replica for a request, based on load reports that lag.
 *
 * Pure: candidates and randomness are arguments. If all entries chose the replica with the lowest report,
 * nine entries would all choose the same one. Each entry therefore considers a few candidates drawn at
 * random, and the candidate that holds the longest prefix of the prompt.
 */
import type { RandomSource } from "../consensus";

/** A replica that a request may be sent to. Work is counted in tokens. */
export interface Candidate {
  readonly replicaId: string;
  /** Number of this entry's requests in flight at the replica. */
  readonly ownRequests: number;
  /** Maximum number of requests that this entry may have in flight at the replica. */
  readonly ownLimit: number;
  /** This entry's tokens that the replica still has to process. */
  readonly ownTokens: number;
  /** Pending tokens in the replica's last report; 0 without a report. */
  readonly reportedTokens: number;
  /** The value of `ownTokens` at the time of that report. */
  readonly ownTokensAtReport: number;
  /** Prompt tokens that are probably in the replica's prefix cache. */
  readonly heldTokens: number;
  /** Ratio of the replica's first-token time to that of its peers; 1 for a similar one. */
  readonly slowness: number;
}

/** A policy for choosing a replica. */
export interface Placement {
  /**
   * Chooses a candidate with capacity.
   * @param promptTokens - Tokens that a replica without the cached prefix must prefill.
   * @returns `undefined` when no candidate has capacity.
   */
  choose(candidates: readonly Candidate[], promptTokens: number, random: RandomSource): Candidate | undefined;
}

/** Number of candidates drawn at random for each choice. */
const SAMPLE_SIZE = 3;

/**
 * Chooses the candidate with the least work: queued tokens plus prefill, less the prefill that a cached
 * prefix saves.
 */
export class LeastWorkPlacement implements Placement {
  private readonly _reuseWeight: number;
  private readonly _sampleSize: number;

  /**
   * @param reuseWeight - Value of a cached prompt token relative to a queued token.
   * @param sampleSize - Number of candidates drawn for each choice.
   */
  constructor(reuseWeight = 1, sampleSize = SAMPLE_SIZE) {
    this._reuseWeight = reuseWeight;
    this._sampleSize = sampleSize;
  }

  /** Chooses the candidate with the least work among the sample and the holder of the longest prefix. */
  choose(
    candidates: readonly Candidate[],
    promptTokens: number,
    random: RandomSource,
  ): Candidate | undefined {
    const open = candidates.filter(hasCapacity);
    const sample = drawSample(open, this._sampleSize, random);
    const holder = getLongestPrefixHolder(open);
    if (holder !== undefined && this._reuseWeight > 0) sample.push(holder);
    return getCheapest(sample, (candidate) => this._getWork(candidate, promptTokens));
  }

  private _getWork(candidate: Candidate, promptTokens: number): number {
    const prefill = promptTokens - this._reuseWeight * Math.min(candidate.heldTokens, promptTokens);
    return (getQueuedTokens(candidate) + prefill) * candidate.slowness;
  }
}

/** Uses candidates in turn. Serves as a baseline. */
export class RoundRobinPlacement implements Placement {
  private _next = 0;

  /** Chooses the next candidate with capacity. */
  choose(candidates: readonly Candidate[]): Candidate | undefined {
    const open = candidates.filter(hasCapacity);
    if (open.length === 0) return undefined;
    const chosen = open[this._next % open.length];
    this._next += 1;
    return chosen;
  }
}

/** Uses the last reports only. Serves as a baseline. */
export class LeastReportedPlacement implements Placement {
  /** Chooses the candidate with capacity that reported the least work. */
  choose(candidates: readonly Candidate[]): Candidate | undefined {
    return getCheapest(candidates.filter(hasCapacity), (candidate) => candidate.reportedTokens);
  }
}

/** Uses this entry's own work in flight only. Serves as a baseline. */
export class OwnInFlightPlacement implements Placement {
  /** Chooses the candidate with capacity that has the least of this entry's work. */
  choose(candidates: readonly Candidate[]): Candidate | undefined {
    return getCheapest(candidates.filter(hasCapacity), (candidate) => candidate.ownTokens);
  }
}

function hasCapacity(candidate: Candidate): boolean {
  return candidate.ownRequests < candidate.ownLimit;
}

/**
 * Gets the queued tokens: this entry's own work, which is exact, and the part of the report that other
 * entries sent.
 */
function getQueuedTokens(candidate: Candidate): number {
  const others = Math.max(0, candidate.reportedTokens - candidate.ownTokensAtReport);
  return candidate.ownTokens + others;
}

function drawSample(candidates: readonly Candidate[], size: number, random: RandomSource): Candidate[] {
  if (candidates.length <= size) return [...candidates];
  const rest = [...candidates];
  const sample: Candidate[] = [];
  while (sample.length < size) {
    const index = Math.floor(random.next() * rest.length);
    sample.push(rest[index]!);
    rest[index] = rest.at(-1)!;
    rest.pop();
  }
  return sample;
}

function getLongestPrefixHolder(candidates: readonly Candidate[]): Candidate | undefined {
  const holder = getCheapest(candidates, (candidate) => -candidate.heldTokens);
  return holder !== undefined && holder.heldTokens > 0 ? holder : undefined;
}

function getCheapest(
  candidates: readonly Candidate[],
  getCost: (candidate: Candidate) => number,
): Candidate | undefined {
  let cheapest: Candidate | undefined;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = getCost(candidate);
    if (cost < lowestCost) {
      cheapest = candidate;
      lowestCost = cost;
    }
  }
  return cheapest;
}
