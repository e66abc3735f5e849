/**
 * Targets that one entry may use, with their load and failures as observed by this entry.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */
import type { RandomSource } from "../consensus";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { StallDetector } from "./StallDetector";

/** Criteria for choosing a target. */
export interface TargetRequest {
  readonly service: string;
  /** "" for a plain service. */
  readonly model: string;
  /** Ids of the targets that the request has already been sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Checks whether a target may be used; every target may be by default. */
  readonly isUsable?: (target: Target) => boolean;
}

interface TargetState {
  target: Target;
  inFlight: number;
  /** Until this time the target is only used when there is no other. */
  suspectedUntil: number;
  failures: number;
  /** When data for any request last arrived from the target. */
  lastActivityAt: number;
  readonly stallDetector: StallDetector;
}

/** How long a target is avoided after its first failure; doubled with each consecutive failure. */
const MIN_SUSPICION_MS = 500;
const MAX_SUSPICION_MS = 4_000;
const NEVER = Number.NEGATIVE_INFINITY;
/** Random part of a score, smaller than any relevant difference. */
const TIE_BREAK = 1e-6;
/** Penalty of a suspected target, in requests per slot. */
const SUSPECT_PENALTY = 1_000;

/** Targets of one entry and their requests in flight. */
export class TargetPool {
  private _targets = new Map<string, TargetState>();
  private readonly _random: RandomSource;
  private _lastActivityAt = NEVER;

  /** @param random - Breaks ties, so that different entries choose different targets. */
  constructor(random: RandomSource) {
    this._random = random;
  }

  /** Replaces the targets; the state of targets that remain is retained. */
  setTargets(targets: readonly Target[]): void {
    this._targets = new Map(
      targets.map((target) => {
        const existing = this._targets.get(target.id);
        if (existing === undefined) return [target.id, createState(target)];
        existing.target = target;
        return [target.id, existing];
      }),
    );
  }

  /** Checks whether a target is in the pool. */
  hasTarget(id: string): boolean {
    return this._targets.has(id);
  }

  /** Checks whether a service has any target. */
  hasService(service: string): boolean {
    for (const { target } of this._targets.values()) if (target.service === service) return true;
    return false;
  }

  /** Gets the number of requests in flight at a target. */
  getInFlight(id: string): number {
    return this._targets.get(id)?.inFlight ?? 0;
  }

  /** Gets all targets. */
  getTargets(): Target[] {
    return [...this._targets.values()].map(({ target }) => target);
  }

  /** Gets the number of failure domains that have targets of a service. */
  countDomains(service: string): number {
    const targets = this.getTargets().filter((target) => target.service === service);
    return new Set(targets.map(({ failureDomain }) => failureDomain)).size;
  }

  /** Gets how many requests the targets of a service and model can run concurrently. */
  getSlots(service: string, model: string): number {
    return this.getTargets()
      .filter((target) => target.service === service && target.model === model)
      .reduce((sum, target) => sum + target.slots, 0);
  }

  /** Chooses the target with the fewest requests in flight per slot; `undefined` when none matches. */
  chooseTarget(now: number, request: TargetRequest): Target | undefined {
    let best: TargetState | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const state of this._targets.values()) {
      if (!isMatch(state.target, request)) continue;
      const score = this._getScore(now, state);
      if (score < bestScore) {
        best = state;
        bestScore = score;
      }
    }
    return best?.target;
  }

  /** Checks whether a target is avoided at the moment. */
  isSuspected(now: number, id: string): boolean {
    const state = this._targets.get(id);
    return state !== undefined && this._isAvoided(now, state);
  }

  /** Checks whether all streams of a target have stalled. */
  isStalled(now: number, id: string): boolean {
    return this._targets.get(id)?.stallDetector.isStalled(now) ?? false;
  }

  /** Gets the stall detector of a target; `undefined` for an unknown target. */
  getStallDetector(id: string): StallDetector | undefined {
    return this._targets.get(id)?.stallDetector;
  }

  /** Records the start of a request. Returns a function that records its end. */
  startRequest(id: string): () => void {
    const state = this._targets.get(id);
    if (state === undefined) return () => {};
    state.inFlight += 1;
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      state.inFlight -= 1;
    };
  }

  /** Records that data arrived from a target. */
  addActivity(now: number, id: string): void {
    this._lastActivityAt = now;
    const state = this._targets.get(id);
    if (state !== undefined) state.lastActivityAt = now;
  }

  /** Gets when data last arrived from any target, monotonic milliseconds. */
  get lastActivityAt(): number {
    return this._lastActivityAt;
  }

  /** Gets when data last arrived from a target, monotonic milliseconds. */
  getLastActivityAt(id: string): number {
    return this._targets.get(id)?.lastActivityAt ?? NEVER;
  }

  /** Records a successful answer: the target is no longer avoided. */
  addSuccess(id: string): void {
    const state = this._targets.get(id);
    if (state === undefined) return;
    state.failures = 0;
    state.suspectedUntil = 0;
  }

  /** Records a failure: the target is avoided for 0.5 to 4 s. */
  addFailure(now: number, id: string): void {
    const state = this._targets.get(id);
    if (state === undefined) return;
    const suspicionMs = Math.min(MAX_SUSPICION_MS, MIN_SUSPICION_MS * 2 ** state.failures);
    state.failures += 1;
    state.suspectedUntil = Math.max(state.suspectedUntil, now + suspicionMs);
  }

  private _getScore(now: number, state: TargetState): number {
    const load = state.inFlight / Math.max(1, state.target.slots);
    const penalty = this._isAvoided(now, state) ? SUSPECT_PENALTY : 0;
    return load + penalty + this._random.next() * TIE_BREAK;
  }

  private _isAvoided(now: number, state: TargetState): boolean {
    return state.suspectedUntil > now || state.stallDetector.isStalled(now);
  }
}

function createState(target: Target): TargetState {
  return {
    target,
    inFlight: 0,
    suspectedUntil: 0,
    failures: 0,
    lastActivityAt: NEVER,
    stallDetector: new StallDetector(),
  };
}

function isMatch(target: Target, { service, model, excluded, isUsable }: TargetRequest): boolean {
  if (target.service !== service || target.model !== model || excluded.has(target.id)) return false;
  return isUsable === undefined || isUsable(target);
}
