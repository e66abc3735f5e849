/**
 * Finds heads that took their place again in a replica that was released.
 *
 * An order to join that got no answer may be carried out seconds later, after the head has left: it is a
 * head again, and an order to open of the same kind, or of a leader that does not know that it was
 * deposed, opens it. Engines that check fencing tokens refuse both. For those that don't, such a head is
 * told to leave again: it serves nobody whom entries send, and could not be told from one that is busy.
 * Pure: times are monotonic milliseconds given by the caller.
 */
import { PlaceState } from "../gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { StateMachine } from "../state";
import type { InstanceRegistry } from "./InstanceRegistry";

/** A broken head takes no requests. */
const TAKEN_STATES = new Set([PlaceState.JOINING, PlaceState.READY, PlaceState.OPEN, PlaceState.CLOSING]);

/** The stray heads that one leader knows of. */
export class StrayHeads {
  private readonly _registry: InstanceRegistry;
  private readonly _getMachine: () => StateMachine;
  private readonly _startedAt: number;
  /** By replica: when its head was last known to be out of it, or the replica was released. */
  private readonly _outAt = new Map<string, number>();

  /**
   * @param registry - What instances say of their places.
   * @param getMachine - Gives the agreed state.
   * @param startedAt - When the leader's term began.
   */
  constructor(registry: InstanceRegistry, getMachine: () => StateMachine, startedAt: number) {
    this._registry = registry;
    this._getMachine = getMachine;
    this._startedAt = startedAt;
  }

  /** Notes that a replica was released: only what its head says later counts. */
  addRelease(now: number, replicaId: string): void {
    this._outAt.set(replicaId, now);
  }

  /** Notes that an instance answered that it is out of a replica; of others than heads that says nothing. */
  addLeave(now: number, instanceId: string, replicaId: string): void {
    const head = this._getMachine().getReplica(replicaId)?.members[0];
    if (head?.instanceId === instanceId) this._outAt.set(replicaId, now);
  }

  /** Gets the released replicas whose heads are in them again. */
  getReplicas(): Replica[] {
    return this._registry.getInstances().flatMap(({ report }) => {
      const replica = this._getReleased(report.place?.replicaId);
      if (replica === undefined || replica.members[0]!.instanceId !== report.instanceId) return [];
      return this._isStray(replica) ? [replica] : [];
    });
  }

  /** What never served was never ordered to open; what is not known may be newer than what is known here. */
  private _getReleased(replicaId: string | undefined): Replica | undefined {
    const replica = replicaId === undefined ? undefined : this._getMachine().getReplica(replicaId);
    return replica?.phase === ReplicaPhase.RELEASED && replica.servedAtIndex > 0 ? replica : undefined;
  }

  private _isStray({ id, epoch, members }: Replica): boolean {
    const head = this._registry.getInstance(members[0]!.instanceId);
    const place = head?.report.place;
    if (head === undefined || place?.replicaId !== id || place.epoch !== epoch) return false;
    return TAKEN_STATES.has(place.state) && head.reportedAt > (this._outAt.get(id) ?? this._startedAt);
  }
}
