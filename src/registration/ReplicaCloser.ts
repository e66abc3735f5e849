/**
 * Closes retiring replicas and decides when they have ended.
 *
 * A replica whose head may still accept requests has not ended: the head first has to be confirmed as closed,
 * broken or ended. The other members are ordered to leave at the same time, so that each of them has
 * confirmed its own leave before it joins another replica (see `LeaveConfirmations`), and so that a head that
 * answers no order breaks for lack of members. Pure: this class decides, the controller sends.
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

/** Time limits for closing a replica. */
export interface ClosingTimes {
  /** Maximum time that a closed head may spend on requests in progress. */
  readonly drainMs: number;
  /** How long a replica stalls before it breaks. */
  readonly stallMs: number;
}

/**
 * Why a retiring replica has ended. Its head left it, ended, is broken or is in a newer replica; or the head
 * must have broken since a member left (`memberLeft`); or all members that are present left a head that does
 * not answer (`membersLeft`). Such a head has to confirm its own leave before it joins another replica.
 */
export type EndReason = "headLeft" | "headEnded" | "headBroken" | "headMoved" | "membersLeft" | "memberLeft";

interface Closing {
  readonly since: number;
  /** Whether requests in progress may finish first. */
  readonly drains: boolean;
  isClosed: boolean;
  hasLeft: boolean;
  leaveAttempts: number;
  /** Members whose order to leave has completed, answered or not. */
  readonly orderedMembers: Set<string>;
  /** Members that confirmed that they left. */
  readonly leftMembers: Set<string>;
  /** Whether a present member had not confirmed its leave when orders were last computed. */
  isAwaitingMembers: boolean;
  isHeadUnreachable: boolean;
  /** When the first member left a head that does not answer. */
  memberLeftAt: number | undefined;
}

/**
 * Unanswered orders to leave after which a head counts as unreachable and a member is ordered to leave
 * instead.
 */
const MAX_HEAD_LEAVE_ATTEMPTS = 1;
/** The clocks of instances run at slightly different rates. */
const BREAK_MARGIN_MS = 700;

/**
 * Outcomes that prove that the instance is not in the replica that the order named.
 *
 * A refused connection is not one of them: a partition that resets connections looks the same to control,
 * while entries still reach the head. Instances that were released on a refused connection were then in two
 * replicas. A refused fencing token is not one either: it shows that there is a newer leader, but not where
 * the instance is.
 */
export const LEFT_OUTCOMES: ReadonlySet<OrderOutcome> = new Set(["done", "begun", "unfit", "elsewhere"]);

/** The retiring replicas of one leadership term. */
export class ReplicaCloser {
  private readonly _registry: InstanceRegistry;
  private readonly _closings = new Map<string, Closing>();

  /** @param registry - The latest reports of instances. */
  constructor(registry: InstanceRegistry) {
    this._registry = registry;
  }

  /**
   * Sets the retiring replicas.
   * @param drains - Whether a replica may finish its requests in progress first.
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
        leaveAttempts: 0,
        orderedMembers: new Set(),
        leftMembers: new Set(),
        isAwaitingMembers: true,
        isHeadUnreachable: false,
        memberLeftAt: undefined,
      });
    }
  }

  /** Checks whether a retiring replica has ended, so that its instances may be chosen again. */
  hasEnded(now: number, replica: Replica, times: ClosingTimes): boolean {
    return this.getEndReason(now, replica, times) !== undefined;
  }

  /**
   * Gets the reason why a retiring replica has ended.
   * @returns `undefined` while it has not ended.
   */
  getEndReason(now: number, replica: Replica, times: ClosingTimes): EndReason | undefined {
    const closing = this._closings.get(replica.id);
    if (closing === undefined) return undefined;
    const head = replica.members[0]!;
    if (closing.hasLeft) return "headLeft";
    // Another instance answered at the head's address, or the head restarted and lost its state.
    if (this._registry.hasEnded(head)) return "headEnded";
    const place = this._registry.getInstance(head.instanceId)?.report.place;
    const isOwn = place?.replicaId === replica.id && place.epoch === replica.epoch;
    if (isOwn && place.state === PlaceState.BROKEN) return "headBroken";
    if (place !== undefined && place.epoch > replica.epoch) return "headMoved";
    // Without this rule a crashed head blocked the other instances for 4.7 s, the time for which they might
    // still have accepted requests with it.
    const { memberLeftAt, leftMembers, isAwaitingMembers, isHeadUnreachable } = closing;
    if (isHeadUnreachable && leftMembers.size > 0 && !isAwaitingMembers) return "membersLeft";
    const mustBeBroken = memberLeftAt !== undefined && now - memberLeftAt > times.stallMs + BREAK_MARGIN_MS;
    return mustBeBroken ? "memberLeft" : undefined;
  }

  /**
   * Gets the orders that are due for a retiring replica, if it has not ended.
   * @param isAbsent - Whether an instance counts as absent. The orders do not wait for an absent head: its
   * last reported state is out of date, and it takes long until the head is broken. With such a wait, the
   * other instances are idle until then, 14.6 s and 18.8 s in two repairs.
   */
  getDueOrders(
    now: number,
    replica: Replica,
    times: ClosingTimes,
    isAbsent: (instanceId: string) => boolean,
  ): DueOrder[] {
    const closing = this._closings.get(replica.id);
    if (closing === undefined || this.hasEnded(now, replica, times)) return [];
    const { id: replicaId, epoch } = replica;
    const head = replica.members[0]!;
    const isHeadAbsent = isAbsent(head.instanceId);
    if (closing.drains && !closing.isClosed && !isHeadAbsent) {
      return [{ receiver: head, order: { kind: "close", replicaId, epoch } }];
    }
    if (!isHeadAbsent && this._isDraining(now, replica, closing, times)) return [];
    closing.isHeadUnreachable = isHeadAbsent || closing.leaveAttempts >= MAX_HEAD_LEAVE_ATTEMPTS;
    const receivers = new Set<OrderReceiver>();
    // Once a member has left, the head breaks without an order.
    if (closing.memberLeftAt === undefined) receivers.add(head);
    const awaited = replica.members
      .slice(1)
      .filter(({ instanceId }) => !closing.leftMembers.has(instanceId) && !isAbsent(instanceId));
    closing.isAwaitingMembers = awaited.length > 0;
    for (const member of awaited) if (isDueMember(closing, member)) receivers.add(member);
    const reachable = closing.isHeadUnreachable ? this._getReachableMember(replica) : undefined;
    if (closing.memberLeftAt === undefined && reachable !== undefined) receivers.add(reachable);
    return [...receivers].map((receiver) => ({ receiver, order: { kind: "leave", replicaId, epoch } }));
  }

  /** Records the outcome of a close or leave order, on which the next orders depend. */
  addOutcome(now: number, replica: Replica, due: DueOrder, outcome: OrderOutcome): void {
    const closing = this._closings.get(replica.id);
    if (closing === undefined) return;
    const isHead = due.receiver.instanceId === replica.members[0]!.instanceId;
    if (due.order.kind === "close") {
      // Also set if the order failed: it is not repeated, and the next order tells the head to leave.
      closing.isClosed = true;
      if (outcome === "elsewhere") closing.hasLeft = true;
      return;
    }
    if (isHead) closing.leaveAttempts += 1;
    else closing.orderedMembers.add(due.receiver.instanceId);
    if (!LEFT_OUTCOMES.has(outcome)) return;
    if (isHead) {
      closing.hasLeft = true;
      return;
    }
    closing.leftMembers.add(due.receiver.instanceId);
    closing.memberLeftAt ??= now;
  }

  /**
   * Checks whether a head still has requests in progress. A closed head reports ready once they are finished.
   */
  private _isDraining(now: number, replica: Replica, closing: Closing, times: ClosingTimes): boolean {
    if (!closing.drains || now - closing.since > times.drainMs) return false;
    const place = this._registry.getInstance(replica.members[0]!.instanceId)?.report.place;
    const isOwn = place?.replicaId === replica.id && place.epoch === replica.epoch;
    return isOwn && (place.state === PlaceState.OPEN || place.state === PlaceState.CLOSING);
  }

  /** Gets the member that reported last, which is the most likely one to answer. */
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
 * Checks whether a member is due for an order to leave. Each member receives one order. A member that did not
 * answer receives another one before it joins another replica, or when the head is unreachable and all
 * members wait for its answer.
 */
function isDueMember({ isHeadUnreachable, orderedMembers }: Closing, { instanceId }: OrderReceiver): boolean {
  return isHeadUnreachable || !orderedMembers.has(instanceId);
}
