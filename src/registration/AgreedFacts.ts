/**
 * What the agreed state says of a view, whichever leader showed it.
 *
 * Every member applies what is agreed, so that a control process need not be shown it by the leader: a declaration
 * that is agreed on holds, and an instance that left or a replica that retired takes no work any more.
 */
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { type Declaration, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { parseLifeKey } from "../ids";
import type { StateMachine } from "../state";

/** What is needed of the agreed state. */
export type AgreedState = Pick<StateMachine, "getDeclaration" | "getReplica" | "hasDeparted">;

/** The agreed state as far as it is applied here. */
export class AgreedFacts {
  private readonly _getState: () => AgreedState;

  /**
   * @param getState - Gives the state as applied now; a snapshot replaces it.
   */
  constructor(getState: () => AgreedState) {
    this._getState = getState;
  }

  /** Gets the newest declaration that is agreed on. */
  get declaration(): Declaration | undefined {
    return this._getState().getDeclaration();
  }

  /** Checks whether a target is to take no work any more; one that is not known here may take it. */
  hasEnded(target: Target): boolean {
    const state = this._getState();
    if (target.model === "") return state.hasDeparted(parseLifeKey(target.instanceId, target.id));
    const replica = state.getReplica(target.id);
    if (replica === undefined) return false;
    const { phase, members } = replica;
    const isOver = phase === ReplicaPhase.RETIRING || phase === ReplicaPhase.RELEASED;
    return isOver || members.some((member) => state.hasDeparted(member));
  }
}
