/**
 * The facts of a view that follow from the committed state, independent of the leader that published the
 * view.
 *
 * Every consensus member applies the committed state, so a control process need not wait for the leader to
 * publish these facts: a committed declaration is in force, and a departed instance or a retired replica
 * receives no more requests.
 */
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { type Declaration, type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { getIncarnationKey, parseIncarnationKey } from "../ids";
import type { StateMachine } from "../state";

/** The part of the committed state that is needed here. */
export type CommittedState = Pick<
  StateMachine,
  "getDeclaration" | "getReplica" | "getKnownReplicas" | "getDepartures" | "hasDeparted"
>;

/**
 * Maximum number of departures to publish, the newest ones. An entry that still has an older target drops it
 * with the complete view, seconds later. With more departures than the number of removals that a view
 * retains, each change would send all departures to all watchers again.
 */
const MAX_PUBLISHED_DEPARTURES = 300;

/** The committed state as applied by this process. */
export class CommittedFacts {
  private readonly _getState: () => CommittedState;

  /** @param getState - Gets the currently applied state; a snapshot replaces the object. */
  constructor(getState: () => CommittedState) {
    this._getState = getState;
  }

  /** Gets the newest committed declaration. */
  get declaration(): Declaration | undefined {
    return this._getState().getDeclaration();
  }

  /**
   * Checks whether a target may receive no more requests. Returns `false` for a target that is not in the
   * applied state.
   */
  hasEnded(target: Target): boolean {
    const state = this._getState();
    if (target.model === "") return state.hasDeparted(parseIncarnationKey(target.instanceId, target.id));
    const replica = state.getReplica(target.id);
    return replica !== undefined && hasReplicaEnded(state, replica);
  }

  /** Gets the ids of all targets that may receive no more requests. */
  getEndedTargetIds(): string[] {
    const state = this._getState();
    const ended = state.getKnownReplicas().filter((replica) => hasReplicaEnded(state, replica));
    return [
      ...ended.map(({ id }) => id),
      ...state.getDepartures().slice(-MAX_PUBLISHED_DEPARTURES).map(getIncarnationKey),
    ];
  }
}

function hasReplicaEnded(state: CommittedState, { phase, members }: Replica): boolean {
  if (phase === ReplicaPhase.RETIRING || phase === ReplicaPhase.RELEASED) return true;
  return members.some((member) => state.hasDeparted(member));
}
