/**
 * Which instances answered themselves that they are out of the replica that they were in last.
 *
 * An instance that takes a place in a replica while it is still in another one, whose head may be open,
 * is in two at once. What else is known of a replica is no proof that its head takes no requests: orders to
 * leave, join and open it may be carried out late, and a head that is to break may break later. So each
 * instance is asked to leave by itself, and takes its next place only once it has answered. Its answer also
 * speaks for an instance that started again under its id: it holds no place. Pure: times are monotonic
 * milliseconds given by the caller.
 */
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import type { StateMachine } from "../state";
import type { InstanceRegistry } from "./InstanceRegistry";

/** A place that an instance holds as far as is known. */
export interface HeldPlace {
  readonly replicaId: string;
  readonly epoch: number;
}

interface GivenUp {
  readonly epoch: number;
  readonly at: number;
}

/** The answers to one leader. */
export class GivenUpPlaces {
  private readonly _registry: InstanceRegistry;
  private readonly _getMachine: () => StateMachine;
  private readonly _givenUp = new Map<string, GivenUp>();
  /** By instance: the newest replica that gave it a place and served, but for those that still stand. */
  private _released = new Map<string, Replica>();
  private _assignmentIndex = -1;

  /**
   * @param registry - What instances say of their places.
   * @param getMachine - Gives the agreed state.
   */
  constructor(registry: InstanceRegistry, getMachine: () => StateMachine) {
    this._registry = registry;
    this._getMachine = getMachine;
  }

  /** Notes that an instance answered that it is not in the replica of an epoch. */
  addLeave(now: number, instanceId: string, epoch: number): void {
    const known = this._givenUp.get(instanceId);
    if (known === undefined || epoch >= known.epoch) this._givenUp.set(instanceId, { epoch, at: now });
  }

  /** Gets when an instance answered last that it is out of a replica; `undefined` if it never told this leader. */
  getAnsweredAt(instanceId: string): number | undefined {
    return this._givenUp.get(instanceId)?.at;
  }

  /**
   * Gets the place that an instance has to leave before it takes another one.
   * @param next - The replica that it is to join.
   * @returns `undefined` when it is in none whose head may be open.
   */
  getHeldPlace(instanceId: string, next: Replica): HeldPlace | undefined {
    const agreed = this._getReleased(instanceId);
    const reported = this._getReported(instanceId, next);
    const held = (reported?.epoch ?? 0) >= (agreed?.epoch ?? 0) ? reported : agreed;
    if (held === undefined || held.epoch >= next.epoch || this._neverServed(held)) return undefined;
    return this._hasLeft(instanceId, held) ? undefined : held;
  }

  /** A place that it reports after its answer was taken again by an order that was carried out late. */
  private _hasLeft(instanceId: string, { epoch }: HeldPlace): boolean {
    const givenUp = this._givenUp.get(instanceId);
    if (givenUp === undefined || givenUp.epoch < epoch) return false;
    const instance = this._registry.getInstance(instanceId);
    const isBack = instance?.report.place?.epoch === epoch && instance.reportedAt > givenUp.at;
    return !isBack;
  }

  private _getReported(instanceId: string, next: Replica): HeldPlace | undefined {
    const place = this._registry.getInstance(instanceId)?.report.place;
    if (place === undefined || place.replicaId === next.id) return undefined;
    return { replicaId: place.replicaId, epoch: place.epoch };
  }

  /** What never served was never ordered to open; what is not known here may have been. */
  private _neverServed({ replicaId }: HeldPlace): boolean {
    return this._getMachine().getReplica(replicaId)?.servedAtIndex === 0;
  }

  private _getReleased(instanceId: string): HeldPlace | undefined {
    const machine = this._getMachine();
    if (machine.assignmentIndex !== this._assignmentIndex) {
      this._assignmentIndex = machine.assignmentIndex;
      this._released = findReleased(machine);
    }
    const replica = this._released.get(instanceId);
    return replica === undefined ? undefined : { replicaId: replica.id, epoch: replica.epoch };
  }
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
