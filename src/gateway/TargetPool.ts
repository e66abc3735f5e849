/**
 * The targets that one entry may use, with what it knows of each.
 *
 * Pure: times are monotonic milliseconds given by the caller.
 */
import type { RandomSource } from "../consensus";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { AnswerPace } from "./StallDetector";

/** What a choice is made for. */
export interface TargetRequest {
  readonly service: string;
  /** "" for a plain service. */
  readonly model: string;
  /** Targets that this request was sent to already. */
  readonly excluded: ReadonlySet<string>;
}

interface TargetState {
  target: Target;
  inFlight: number;
  /** Before this time it is used only when there is no other. */
  suspectUntil: number;
  failures: number;
  /** When any request heard anything of it. */
  heardAt: number;
  readonly pace: AnswerPace;
}

/** How long a target is avoided after its first failure; doubled with each that follows. */
const SUSPICION_MS = 500;
const MAX_SUSPICION_MS = 4_000;
const NEVER = Number.NEGATIVE_INFINITY;
/** Random part of a score, below any difference that matters. */
const TIE_BREAK = 1e-6;
/** Requests that a suspect counts as, against one that is not. */
const SUSPECT_LOAD = 1_000;

/** A target's requests in flight. */
export class TargetPool {
  private _targets = new Map<string, TargetState>();
  private readonly _random: RandomSource;

  /**
   * @param random - Breaks ties, so that entries don't all choose alike.
   */
  constructor(random: RandomSource) {
    this._random = random;
  }

  /** Sets the targets; what is known of those that stay is kept. */
  setTargets(targets: readonly Target[]): void {
    this._targets = new Map(
      targets.map((target) => {
        const known = this._targets.get(target.id);
        if (known === undefined) return [target.id, createState(target)];
        known.target = target;
        return [target.id, known];
      }),
    );
  }

  /** Checks whether a target may still be used. */
  hasTarget(id: string): boolean {
    return this._targets.has(id);
  }

  /** Gets how many requests are in flight at a target. */
  getInFlight(id: string): number {
    return this._targets.get(id)?.inFlight ?? 0;
  }

  /** Gets how many requests the targets of a service and model run at once. */
  getSlots(service: string, model: string): number {
    const targets = [...this._targets.values()].map((state) => state.target);
    return targets
      .filter((target) => target.service === service && target.model === model)
      .reduce((sum, target) => sum + target.slots, 0);
  }

  /** Chooses the target with the fewest requests a slot. */
  chooseTarget(now: number, request: TargetRequest): Target | undefined {
    let best: TargetState | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const state of this._targets.values()) {
      if (!isWanted(state.target, request)) continue;
      const score = this._getScore(now, state);
      if (score < bestScore) {
        best = state;
        bestScore = score;
      }
    }
    return best?.target;
  }

  /** Checks whether a target is avoided now. */
  isSuspect(now: number, id: string): boolean {
    const state = this._targets.get(id);
    return state !== undefined && this._isAvoided(now, state);
  }

  /** Checks whether a target's streams all stand still. */
  isStalled(now: number, id: string): boolean {
    return this._targets.get(id)?.pace.isStalled(now) ?? false;
  }

  /** Gets the pace of a target's streams, if it is known. */
  getPace(id: string): AnswerPace | undefined {
    return this._targets.get(id)?.pace;
  }

  /** Notes the beginning of a request; gives what notes its end. */
  startRequest(id: string): () => void {
    const state = this._targets.get(id);
    if (state === undefined) return () => {};
    state.inFlight += 1;
    let isOver = false;
    return () => {
      if (isOver) return;
      isOver = true;
      state.inFlight -= 1;
    };
  }

  /** Notes that something was heard of a target. */
  addSign(now: number, id: string): void {
    const state = this._targets.get(id);
    if (state !== undefined) state.heardAt = now;
  }

  /** Gets when anything was heard of a target. */
  getHeardAt(id: string): number {
    return this._targets.get(id)?.heardAt ?? NEVER;
  }

  /** Notes that a target answered as it should. */
  addSuccess(id: string): void {
    const state = this._targets.get(id);
    if (state === undefined) return;
    state.failures = 0;
    state.suspectUntil = 0;
  }

  /** Notes that a target failed: it is avoided for a while. */
  addFailure(now: number, id: string): void {
    const state = this._targets.get(id);
    if (state === undefined) return;
    const span = Math.min(MAX_SUSPICION_MS, SUSPICION_MS * 2 ** state.failures);
    state.failures += 1;
    state.suspectUntil = Math.max(state.suspectUntil, now + span);
  }

  private _getScore(now: number, state: TargetState): number {
    const load = state.inFlight / Math.max(1, state.target.slots);
    const penalty = this._isAvoided(now, state) ? SUSPECT_LOAD : 0;
    return load + penalty + this._random.next() * TIE_BREAK;
  }

  private _isAvoided(now: number, state: TargetState): boolean {
    return state.suspectUntil > now || state.pace.isStalled(now);
  }
}

function createState(target: Target): TargetState {
  return { target, inFlight: 0, suspectUntil: 0, failures: 0, heardAt: NEVER, pace: new AnswerPace() };
}

function isWanted(target: Target, { service, model, excluded }: TargetRequest): boolean {
  return target.service === service && target.model === model && !excluded.has(target.id);
}
