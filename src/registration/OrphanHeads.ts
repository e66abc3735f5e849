/**
 * Finds orphan heads: heads that rejoined a replica after it was released.
 *
 * An instance may execute an unanswered order to join seconds later, after it has left, and become a head
 * again. A delayed order to open, or one from a leader that has not noticed yet that it was deposed, then
 * opens it. Engines that check fencing tokens refuse both orders. For other engines, this class finds such
 * heads so that they are ordered to leave again: entries send no requests to them, and the leader could not
 * distinguish them from busy heads. Pure: times are monotonic milliseconds given by the caller.
 */
import { PlaceState } from "../gen/ploverstage/v1/fleet_pb";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { StateMachine } from "../state";
import type { InstanceRegistry } from "./InstanceRegistry";

/** States in which a head is in its replica. A broken head is not included, since it accepts no requests. */
const ACTIVE_STATES = new Set([PlaceState.JOINING, PlaceState.READY, PlaceState.OPEN, PlaceState.CLOSING]);

/** The orphan heads of one leadership term. */
export class OrphanHeads {
  private readonly _registry: InstanceRegistry;
  private readonly _getMachine: () => StateMachine;
  private readonly _startedAt: number;
  /** By replica: when its head last confirmed that it had left, or when the replica was released. */
  private readonly _leftAt = new Map<string, number>();

  /**
   * @param registry - The latest reports of instances.
   * @param getMachine - Gets the committed state.
   * @param startedAt - When the leader's term began.
   */
  constructor(registry: InstanceRegistry, getMachine: () => StateMachine, startedAt: number) {
    this._registry = registry;
    this._getMachine = getMachine;
    this._startedAt = startedAt;
  }

  /** Adds the release of a replica: only later reports of its head count. */
  addRelease(now: number, replicaId: string): void {
    this._leftAt.set(replicaId, now);
  }

  /**
   * Adds the confirmation of an instance that it is not in a replica. Ignored for members other than the
   * head.
   */
  addLeave(now: number, instanceId: string, replicaId: string): void {
    const head = this._getMachine().getReplica(replicaId)?.members[0];
    if (head?.instanceId === instanceId) this._leftAt.set(replicaId, now);
  }

  /** Gets the released replicas whose heads are in them again. */
  getReplicas(): Replica[] {
    return this._registry.getInstances().flatMap(({ report }) => {
      const replica = this._getReleased(report.place?.replicaId);
      if (replica === undefined || replica.members[0]!.instanceId !== report.instanceId) return [];
      return this._isOrphan(replica) ? [replica] : [];
    });
  }

  /**
   * Gets a released replica that has served. A replica that never served never received an order to open; a
   * replica that is missing here may be newer than the state of this leader.
   */
  private _getReleased(replicaId: string | undefined): Replica | undefined {
    const replica = replicaId === undefined ? undefined : this._getMachine().getReplica(replicaId);
    return replica?.phase === ReplicaPhase.RELEASED && replica.servedAtIndex > 0 ? replica : undefined;
  }

  private _isOrphan({ id, epoch, members }: Replica): boolean {
    const head = this._registry.getInstance(members[0]!.instanceId);
    const place = head?.report.place;
    if (head === undefined || place?.replicaId !== id || place.epoch !== epoch) return false;
    return ACTIVE_STATES.has(place.state) && head.reportedAt > (this._leftAt.get(id) ?? this._startedAt);
  }
}
