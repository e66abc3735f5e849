/**
 * Tells whether the system is still forming the first replicas of its life.
 *
 * The weight store doesn't count loads before there is work, and they are short: the sooner
 * all of them have begun, the better. It is over for good once nothing loads any more, or
 * once a replica had to be given up. Pure.
 */
import { ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { InstanceFacts, PlanningFacts } from "../planner";

/** The first formation, as one leader sees it. */
export class FirstFormation {
  private _isUnderWay: boolean;
  private _hasLoaded = false;
  private _hasLooked = false;

  /**
   * @param isFirstStart - Whether this process was started with the whole system, for the first time.
   */
  constructor(isFirstStart: boolean) {
    this._isUnderWay = isFirstStart;
  }

  /** Gets whether first replicas are being formed. */
  get isUnderWay(): boolean {
    return this._isUnderWay;
  }

  /** Looks at the facts of this moment. */
  update({ instances, replicas }: PlanningFacts): void {
    // What serves already was formed under an earlier leader: how far that got isn't known here.
    const isInherited = !this._hasLooked && replicas.some((replica) => !isForming(replica));
    this._hasLooked = true;
    const isLoading = instances.some(readsWeights) || replicas.some(isForming);
    this._hasLoaded ||= isLoading;
    const hasGivenUp = replicas.some((replica) => replica.phase === ReplicaPhase.RETIRING);
    if (isInherited || hasGivenUp || (this._hasLoaded && !isLoading)) this._isUnderWay = false;
  }
}

function readsWeights(instance: InstanceFacts): boolean {
  return instance.readsWeights ?? instance.isLoading;
}

function isForming({ phase }: { readonly phase: ReplicaPhase }): boolean {
  return phase === ReplicaPhase.FORMING;
}
