/**
 * What the agreed state says of a view, whichever leader showed it.
 *
 * Every member applies what is agreed, so that a control process need not be shown it by the leader: a declaration
 * that is agreed on holds, and an instance that left or a replica that retired takes no work any more.
 */
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { type Declaration, type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { getLifeKey, parseLifeKey } from "../ids";
import type { StateMachine } from "../state";

/** What is needed of the agreed state. */
export type AgreedState = Pick<
  StateMachine,
  "getDeclaration" | "getReplica" | "getKnownReplicas" | "getDepartures" | "hasDeparted"
>;

/**
 * Departures that are named, the newest ones: whoever holds an older target drops it with the complete view, seconds
 * later. With more of them than a view keeps removals each change would tell all watchers of all of them again.
 */
const TOLD_DEPARTURES = 300;

/** The agreed state as far as it is applied here. */
export class CommittedFacts {
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
    return replica !== undefined && isOver(state, replica);
  }

  /** Gets the targets that are to take no work any more, whoever holds them. */
  getEndedTargetIds(): string[] {
    const state = this._getState();
    const ended = state.getKnownReplicas().filter((replica) => isOver(state, replica));
    return [...ended.map(({ id }) => id), ...state.getDepartures().slice(-TOLD_DEPARTURES).map(getLifeKey)];
  }
}

function isOver(state: AgreedState, { phase, members }: Replica): boolean {
  if (phase === ReplicaPhase.RETIRING || phase === ReplicaPhase.RELEASED) return true;
  return members.some((member) => state.hasDeparted(member));
}
