/**
 * Tracks whether the system is still forming its first replicas.
 *
 * The weight store does not count loads before there are requests, and loads are short then, so all of them
 * should begin as early as possible. The first formation ends permanently once nothing loads any more or once
 * a replica had to be retired. Pure.
 */
import { ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { InstanceFacts, PlanningFacts } from "../planner";

/** The first formation as seen by one leader. */
export class FirstFormation {
  private _isInProgress: boolean;
  private _hasLoaded = false;
  private _isUpdated = false;

  /**
   * @param isFirstStart - Whether this process was started together with the whole system, for the first
   * time.
   */
  constructor(isFirstStart: boolean) {
    this._isInProgress = isFirstStart;
  }

  /** Checks whether the first replicas are being formed. */
  get isInProgress(): boolean {
    return this._isInProgress;
  }

  /** Updates the state from the current facts. */
  update({ instances, replicas }: PlanningFacts): void {
    // Replicas that already serve were formed under an earlier leader, and their progress is not available
    // here.
    const isInherited = !this._isUpdated && replicas.some((replica) => !isForming(replica));
    this._isUpdated = true;
    const isLoading = instances.some(readsWeights) || replicas.some(isForming);
    this._hasLoaded ||= isLoading;
    const hasRetired = replicas.some((replica) => replica.phase === ReplicaPhase.RETIRING);
    if (isInherited || hasRetired || (this._hasLoaded && !isLoading)) this._isInProgress = false;
  }
}

function readsWeights(instance: InstanceFacts): boolean {
  return instance.readsWeights ?? instance.isLoading;
}

function isForming({ phase }: { readonly phase: ReplicaPhase }): boolean {
  return phase === ReplicaPhase.FORMING;
}
