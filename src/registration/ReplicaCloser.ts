/**
 * Closes retiring replicas, and tells when they are over.
 *
 * A replica whose head may still take requests stands: it has to be known as closed, broken or gone
 * first. Its members are told to leave together with it, so that each has answered for itself by the time
 * it is given another place (`GivenUpPlaces`), and a head that answers no order breaks without them.
 * Pure: it decides, the controller sends.
 */
import { PlaceState } from "../gen/ploverstage/v1/fleet_pb";
import type { Replica } from "../gen/ploverstage/v1/state_pb";
import type { InstanceOrder, OrderOutcome, OrderReceiver } from "./InstanceOrders";
import type { InstanceRegistry } from "./InstanceRegistry";

/** An order that is due now. */
export interface DueOrder {
  readonly receiver: OrderReceiver;
  readonly order: InstanceOrder;
}

/** Bounds on closing. */
export interface ClosingTimes {
  /** How long a head may work on what it has, once closed. */
  readonly drainMs: number;
  /** How long a replica stands still before it breaks. */
  readonly stallMs: number;
}

/**
 * Why a retiring replica is over: its head has left it, has ended, is broken, is in a newer replica, or must
 * have broken since a member left; or all members that are there have left a head that does not answer,
 * which is asked itself before it is given another place.
 */
export type EndGround = "headLeft" | "headEnded" | "headBroken" | "headMoved" | "membersLeft" | "memberLeft";

interface Closing {
  readonly since: number;
  /** Whether requests under way may end first. */
  readonly drains: boolean;
  isClosed: boolean;
  hasLeft: boolean;
  leaveAsks: number;
  /** Members that an order to leave has come back from, answered or not. */
  readonly askedMembers: Set<string>;
  /** Members that answered that they have left. */
  readonly leftMembers: Set<string>;
  /** Whether a member that is there has not answered so yet, as far as was looked at. */
  awaitsMembers: boolean;
  isHeadLost: boolean;
  /** When a member left a head that does not answer. */
  memberLeftAt: number | undefined;
}

/** Orders to leave that a head may miss before a member is taken out instead. */
const HEAD_PATIENCE_ASKS = 1;
/** Clocks of instances differ a little in rate. */
const BREAK_MARGIN_MS = 700;

/**
 * Outcomes after which the instance is certainly not in the replica that the order named. A refused
 * connection is none of them: a partition that resets connections looks the same from here, while
 * entries go on reaching the head, and instances released then were in two replicas. Nor is a refused
 * fencing token: it tells of a newer leader, not of the instance's place.
 */
export const LEFT_OUTCOMES: ReadonlySet<OrderOutcome> = new Set(["done", "begun", "unfit", "elsewhere"]);

/** The retiring replicas of one term. */
export class ReplicaCloser {
  private readonly _registry: InstanceRegistry;
  private readonly _closings = new Map<string, Closing>();

  /**
   * @param registry - What instances say of themselves.
   */
  constructor(registry: InstanceRegistry) {
    this._registry = registry;
  }

  /**
   * Notes the retiring replicas.
   * @param drains - Whether a replica may end its work first.
   */
  setRetiring(now: number, retiring: readonly Replica[], drains: (replica: Replica) => boolean): void {
    const ids = new Set(retiring.map((replica) => replica.id));
    for (const id of this._closings.keys()) if (!ids.has(id)) this._closings.delete(id);
    for (const replica of retiring) {
      if (this._closings.has(replica.id)) continue;
      this._closings.set(replica.id, {
        since: now,
        drains: drains(replica),
        isClosed: false,
        hasLeft: false,
        leaveAsks: 0,
        askedMembers: new Set(),
        leftMembers: new Set(),
        awaitsMembers: true,
        isHeadLost: false,
        memberLeftAt: undefined,
      });
    }
  }

  /** Checks whether a retiring replica is over: its instances may be chosen again. */
  hasEnded(now: number, replica: Replica, times: ClosingTimes): boolean {
    return this.getEndReason(now, replica, times) !== undefined;
  }

  /**
   * Gets the ground on which a retiring replica is over.
   * @returns `undefined` while it is not.
   */
  getEndReason(now: number, replica: Replica, times: ClosingTimes): EndGround | undefined {
    const closing = this._closings.get(replica.id);
    if (closing === undefined) return undefined;
    const head = replica.members[0]!;
    if (closing.hasLeft) return "headLeft";
    // Another instance answered at its address, or it started again and holds nothing of before.
    if (this._registry.hasEnded(head)) return "headEnded";
    const place = this._registry.getInstance(head.instanceId)?.report.place;
    const isOwn = place?.replicaId === replica.id && place.epoch === replica.epoch;
    if (isOwn && place.state === PlaceState.BROKEN) return "headBroken";
    if (place !== undefined && place.epoch > replica.epoch) return "headMoved";
    // A head that had crashed held the others for 4.7 s: as long as they might still take requests with it.
    const { memberLeftAt, leftMembers, awaitsMembers, isHeadLost } = closing;
    if (isHeadLost && leftMembers.size > 0 && !awaitsMembers) return "membersLeft";
    const mustBeBroken = memberLeftAt !== undefined && now - memberLeftAt > times.stallMs + BREAK_MARGIN_MS;
    return mustBeBroken ? "memberLeft" : undefined;
  }

  /**
   * Gets the orders that a retiring replica needs now, if it is not over.
   * @param isSilent - Whether an instance is taken for absent. Where that is the head, nothing
   * is waited for: what it said last of its work is out of date, and the time until it breaks
   * is long. Its other instances were idle for 14.6 and 18.8 s in two repairs that waited.
   */
  getDueOrders(
    now: number,
    replica: Replica,
    times: ClosingTimes,
    isSilent: (instanceId: string) => boolean,
  ): DueOrder[] {
    const closing = this._closings.get(replica.id);
    if (closing === undefined || this.hasEnded(now, replica, times)) return [];
    const { id: replicaId, epoch } = replica;
    const head = replica.members[0]!;
    const isHeadSilent = isSilent(head.instanceId);
    if (closing.drains && !closing.isClosed && !isHeadSilent) {
      return [{ receiver: head, order: { kind: "close", replicaId, epoch } }];
    }
    if (!isHeadSilent && this._isDraining(now, replica, closing, times)) return [];
    closing.isHeadLost = isHeadSilent || closing.leaveAsks >= HEAD_PATIENCE_ASKS;
    const receivers = new Set<OrderReceiver>();
    // Once a member has left, the head breaks by itself.
    if (closing.memberLeftAt === undefined) receivers.add(head);
    const awaited = replica.members
      .slice(1)
      .filter(({ instanceId }) => !closing.leftMembers.has(instanceId) && !isSilent(instanceId));
    closing.awaitsMembers = awaited.length > 0;
    for (const member of awaited) if (isDueMember(closing, member)) receivers.add(member);
    const reachable = closing.isHeadLost ? this._getReachableMember(replica) : undefined;
    if (closing.memberLeftAt === undefined && reachable !== undefined) receivers.add(reachable);
    return [...receivers].map((receiver) => ({ receiver, order: { kind: "leave", replicaId, epoch } }));
  }

  /** Notes what an order came to. */
  addOutcome(now: number, replica: Replica, due: DueOrder, outcome: OrderOutcome): void {
    const closing = this._closings.get(replica.id);
    if (closing === undefined) return;
    const isHead = due.receiver.instanceId === replica.members[0]!.instanceId;
    if (due.order.kind === "close") {
      // A head that can't be closed is left at once.
      closing.isClosed = true;
      if (outcome === "elsewhere") closing.hasLeft = true;
      return;
    }
    if (isHead) closing.leaveAsks += 1;
    else closing.askedMembers.add(due.receiver.instanceId);
    if (!LEFT_OUTCOMES.has(outcome)) return;
    if (isHead) {
      closing.hasLeft = true;
      return;
    }
    closing.leftMembers.add(due.receiver.instanceId);
    closing.memberLeftAt ??= now;
  }

  /** A closed head is ready again once its work is over. */
  private _isDraining(now: number, replica: Replica, closing: Closing, times: ClosingTimes): boolean {
    if (!closing.drains || now - closing.since > times.drainMs) return false;
    const place = this._registry.getInstance(replica.members[0]!.instanceId)?.report.place;
    const isOwn = place?.replicaId === replica.id && place.epoch === replica.epoch;
    return isOwn && (place.state === PlaceState.OPEN || place.state === PlaceState.CLOSING);
  }

  /** The member that reported last is the likeliest to answer. */
  private _getReachableMember(replica: Replica): OrderReceiver | undefined {
    const members = replica.members.slice(1).filter((member) => {
      const place = this._registry.getInstance(member.instanceId)?.report.place;
      return place?.replicaId === replica.id && place.epoch === replica.epoch;
    });
    const getReportedAt = (member: OrderReceiver) =>
      this._registry.getInstance(member.instanceId)?.reportedAt ?? Number.NEGATIVE_INFINITY;
    return members.sort((a, b) => getReportedAt(b) - getReportedAt(a))[0];
  }
}

/**
 * Members are asked once: who does not answer is asked again before it takes another place, or when all of
 * them wait for its answer since their head is lost.
 */
function isDueMember({ isHeadLost, askedMembers }: Closing, { instanceId }: OrderReceiver): boolean {
  return isHeadLost || !askedMembers.has(instanceId);
}
