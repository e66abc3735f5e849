/**
 * Tracks which instances are proven to have left their last replica.
 *
 * An instance that joins a replica while it is still in another one, whose head may be open, is in two
 * replicas at once. Nothing else proves that the head of the earlier replica accepts no requests: delayed
 * orders to leave, join and open it may still be executed, and a head that is about to break may break later
 * than expected. Therefore each instance is ordered to leave, and joins its next replica only after it has
 * confirmed and has been asked for its place.
 *
 * The confirmation alone is no proof: a delayed order to join may be executed after it. The answer about the
 * place tells how many orders the instance had begun when it was in no replica, and the next join is bound to
 * that number. Pure: times are monotonic milliseconds given by the caller.
 */
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { StateMachine } from "../state";
import type { InstanceStatus } from "./InstanceOrders";
import type { InstanceRegistry } from "./InstanceRegistry";

/** The place in a replica that an instance may still occupy. */
export interface OccupiedPlace {
  readonly replicaId: string;
  readonly epoch: number;
}

interface Leave {
  readonly epoch: number;
  readonly at: number;
}

/** Proof that an instance had left the replica of an epoch. */
interface Absence extends Leave {
  /** Number of orders that the instance had begun. */
  readonly orderCount: number;
}

/** An instance is asked again when its last answer is older than this, in milliseconds. */
const MAX_ABSENCE_AGE_MS = 1_500;

/** The leave confirmations that one leader received. */
export class LeaveConfirmations {
  private readonly _registry: InstanceRegistry;
  private readonly _getMachine: () => StateMachine;
  private readonly _leaves = new Map<string, Leave>();
  private readonly _absences = new Map<string, Absence>();
  /** By instance: its newest replica that has served and been released. */
  private _released = new Map<string, Replica>();
  private _assignmentIndex = -1;
  private _revision = 0;

  /**
   * @param registry - The latest reports of instances.
   * @param getMachine - Gets the committed state.
   */
  constructor(registry: InstanceRegistry, getMachine: () => StateMachine) {
    this._registry = registry;
    this._getMachine = getMachine;
  }

  /** Gets a number that increases whenever an instance is proven to have left. */
  get revision(): number {
    return this._revision;
  }

  /** Adds the confirmation of an instance that it is not in the replica of an epoch. */
  addLeave(now: number, instanceId: string, epoch: number): void {
    const newest = this._leaves.get(instanceId);
    if (newest === undefined || epoch >= newest.epoch) this._leaves.set(instanceId, { epoch, at: now });
  }

  /**
   * Checks whether an instance has confirmed that it left the replica of an epoch, and has reported no return
   * since.
   */
  hasConfirmed(instanceId: string, epoch: number): boolean {
    const leave = this._leaves.get(instanceId);
    if (leave === undefined || leave.epoch < epoch) return false;
    const instance = this._registry.getInstance(instanceId);
    return !(instance?.report.place?.epoch === epoch && instance.reportedAt > leave.at);
  }

  /** Removes the confirmation of an instance, whose status shows that it is in the replica. */
  removeLeave(instanceId: string): void {
    this._leaves.delete(instanceId);
  }

  /**
   * Adds the status of an instance, which it told after it had confirmed its leave.
   * @param epoch - Epoch of the replica that it left.
   * @returns Whether the status proves that the instance has left that replica.
   */
  addStatus(now: number, instanceId: string, epoch: number, { place, orderCount }: InstanceStatus): boolean {
    const leave = this._leaves.get(instanceId);
    // A place in a newer replica proves it too: an instance is in one replica only.
    const hasLeft = place === undefined || place.epoch > epoch;
    if (leave === undefined || leave.epoch < epoch || !hasLeft || orderCount === undefined) return false;
    this._absences.set(instanceId, { epoch, orderCount, at: now });
    this._revision += 1;
    return true;
  }

  /** Records that an instance has begun an order that was bound to its proof. The order may be sent again. */
  addBegunOrder(instanceId: string): void {
    const absence = this._absences.get(instanceId);
    if (absence !== undefined)
      this._absences.set(instanceId, { ...absence, orderCount: absence.orderCount + 1 });
  }

  /** Removes the proof for an instance, which refused an order that was bound to it. */
  removeAbsence(instanceId: string): void {
    this._absences.delete(instanceId);
  }

  /**
   * Gets the number of orders that an instance had begun when it was proven to have left its last replica;
   * `undefined` without a recent proof.
   */
  getOrderCount(now: number, instanceId: string): number | undefined {
    const absence = this._absences.get(instanceId);
    return absence !== undefined && isRecent(now, absence) ? absence.orderCount : undefined;
  }

  /**
   * Gets when an instance last confirmed that it left a replica; `undefined` if it never did to this leader.
   */
  getLeftAt(instanceId: string): number | undefined {
    return this._leaves.get(instanceId)?.at;
  }

  /**
   * Gets the place that an instance has to be proven to have left before it joins another replica.
   * @param next - The replica that it is to join.
   * @returns `undefined` when the instance is in no other replica whose head may be open.
   */
  getOccupiedPlace(now: number, instanceId: string, next: Replica): OccupiedPlace | undefined {
    const committed = this._getReleasedPlace(instanceId);
    const reported = this._getReportedPlace(instanceId, next);
    const occupied = (reported?.epoch ?? 0) >= (committed?.epoch ?? 0) ? reported : committed;
    if (occupied === undefined || occupied.epoch >= next.epoch || this._neverServed(occupied))
      return undefined;
    return this._hasLeft(now, instanceId, occupied) ? undefined : occupied;
  }

  /**
   * Checks whether an instance was proven to have left a place and has not rejoined since. A report after the
   * proof that still names the place means that a delayed order made the instance rejoin.
   */
  private _hasLeft(now: number, instanceId: string, { epoch }: OccupiedPlace): boolean {
    const absence = this._absences.get(instanceId);
    if (absence === undefined || absence.epoch < epoch || !isRecent(now, absence)) return false;
    const instance = this._registry.getInstance(instanceId);
    const hasRejoined = instance?.report.place?.epoch === epoch && instance.reportedAt > absence.at;
    return !hasRejoined;
  }

  private _getReportedPlace(instanceId: string, next: Replica): OccupiedPlace | undefined {
    const place = this._registry.getInstance(instanceId)?.report.place;
    if (place === undefined || place.replicaId === next.id) return undefined;
    return { replicaId: place.replicaId, epoch: place.epoch };
  }

  /**
   * Checks whether a replica never served, and so never received an order to open. A replica that is missing
   * here may have served.
   */
  private _neverServed({ replicaId }: OccupiedPlace): boolean {
    return this._getMachine().getReplica(replicaId)?.servedAtIndex === 0;
  }

  private _getReleasedPlace(instanceId: string): OccupiedPlace | undefined {
    const machine = this._getMachine();
    if (machine.assignmentIndex !== this._assignmentIndex) {
      this._assignmentIndex = machine.assignmentIndex;
      this._released = findReleased(machine);
    }
    const replica = this._released.get(instanceId);
    return replica === undefined ? undefined : { replicaId: replica.id, epoch: replica.epoch };
  }
}

function isRecent(now: number, { at }: Absence): boolean {
  return now - at <= MAX_ABSENCE_AGE_MS;
}

function findReleased(machine: StateMachine): Map<string, Replica> {
  const released = machine
    .getKnownReplicas()
    .filter(({ phase, servedAtIndex }) => phase === ReplicaPhase.RELEASED && servedAtIndex > 0)
    .sort((a, b) => a.epoch - b.epoch);
  const newest = new Map<string, Replica>();
  for (const replica of released) {
    for (const { instanceId } of replica.members) newest.set(instanceId, replica);
  }
  return newest;
}
