/**
 * Simulates an instance that follows the rules of replicas: it joins and leaves them, and as the head of a
 * replica it stalls and then breaks after it has lost a member.
 *
 * Time is simulated, and everything is an argument.
 */
import { PlaceState } from "../../../src/gen/ploverstage/v1/fleet_pb";
import type { Incarnation } from "../../../src/ids";
import type { InstanceOrder, InstanceStatus, JoinOrder, OrderOutcome } from "../../../src/registration";

/** Times of an instance, milliseconds. */
export const INSTANCE_TIMES = {
  /** Time to join with weights that are staged on the host. */
  joinMs: 600,
  loadMs: 1_000,
  openMs: 300,
  /** Age of an answer about the status. */
  answerAgeMs: 200,
  /** How long a head that lost a member stalls before it breaks. */
  stallMs: 4_000,
} as const;

/** A place in a replica. */
export interface Place {
  readonly replicaId: string;
  readonly epoch: number;
  readonly members: readonly string[];
  state: PlaceState;
  /** The next change of the state. */
  next: { readonly at: number; readonly state: PlaceState } | undefined;
  /** For a head: when it breaks because it lost a member. */
  brokenAt: number | undefined;
}

/** The state that a host keeps when its instances restart. */
export interface Host {
  readonly name: string;
  /** The address of the current incarnation, or of the last one. */
  address: string;
  readonly fabricDomain: string;
  /** The offset of the host's clock from the true time, milliseconds. */
  clockErrorMs: number;
  staged: string | undefined;
}

/** States in which a head accepts requests. */
const ACCEPTING_STATES = new Set([PlaceState.OPEN, PlaceState.CLOSING]);

/** One incarnation of an instance. */
export class InstanceModel {
  readonly id: string;
  /** Start time by the host's clock; 0 if the instance does not report it. */
  readonly born: number;
  readonly host: Host;
  readonly address: string;
  isAlive = true;
  /** Whether the network between control and the instance is partitioned. All other connections work. */
  isPartitioned = false;
  sequence = 0;
  place: Place | undefined;
  private _orderCount = 0;
  /** The answers about the status that were true since the given times, oldest first. */
  private readonly _answers: { readonly at: number; readonly answer: InstanceStatus }[] = [
    { at: Number.NEGATIVE_INFINITY, answer: { born: 0, place: undefined, orderCount: 0 } },
  ];
  private _newestEpoch = 0;
  private _newestFence = 0;

  private readonly _checksFences: boolean;

  constructor({ instanceId, born }: Incarnation, host: Host, checksFences: boolean) {
    this.id = instanceId;
    this.born = born;
    this.host = host;
    this.address = host.address;
    this._checksFences = checksFences;
  }

  /** Checks whether requests can start in a replica of which this instance is the head. */
  acceptsRequestsOf(place: Place): boolean {
    const { place: own } = this;
    if (!this.isAlive || own?.replicaId !== place.replicaId || own.epoch !== place.epoch) return false;
    return ACCEPTING_STATES.has(own.state);
  }

  /** Completes the state changes that are due. */
  advance(now: number): void {
    const { place } = this;
    if (place === undefined) return;
    if (place.next !== undefined && now >= place.next.at) {
      place.state = place.next.state;
      place.next = undefined;
    }
    if (place.brokenAt !== undefined && now >= place.brokenAt) {
      place.state = PlaceState.BROKEN;
      place.next = undefined;
    }
  }

  /** Marks, on the head, that a member was lost or joined another replica. */
  loseMember(now: number): void {
    if (this.place !== undefined) this.place.brokenAt ??= now + INSTANCE_TIMES.stallMs;
  }

  /** Gets the answer about the status, which is as old as the instance's answers are. */
  getStatus(now: number): InstanceStatus {
    return {
      ...this._answers.findLast(({ at }) => at <= now - INSTANCE_TIMES.answerAgeMs)!.answer,
      born: this.born,
    };
  }

  /**
   * Executes an order.
   * @param onPlaceLeft - Called with the place that the instance had until now.
   */
  execute(
    now: number,
    order: InstanceOrder,
    fence: number,
    onPlaceLeft: (place: Place) => void,
  ): OrderOutcome {
    const outcome = this._execute(now, order, fence, onPlaceLeft);
    if (outcome === "begun") this._orderCount += 1;
    const { place, _orderCount: orderCount } = this;
    this._answers.push({ at: now, answer: { born: this.born, place: place && { ...place }, orderCount } });
    return outcome;
  }

  private _execute(
    now: number,
    order: InstanceOrder,
    fence: number,
    onPlaceLeft: (place: Place) => void,
  ): OrderOutcome {
    if (this._checksFences && fence < this._newestFence) return "stale";
    this._newestFence = Math.max(fence, this._newestFence);
    if (order.kind === "stage") {
      this.host.staged = order.model;
      return "begun";
    }
    if (order.kind === "join") return this._join(now, order, onPlaceLeft);
    const { place } = this;
    if (place?.replicaId !== order.replicaId || place.epoch !== order.epoch) return "unfit";
    switch (order.kind) {
      case "leave":
        this.place = undefined;
        onPlaceLeft(place);
        return "done";
      case "open":
        if (place.state === PlaceState.OPEN) return "done";
        if (place.state !== PlaceState.READY || place.members[0] !== this.id) return "unfit";
        place.next = { at: now + INSTANCE_TIMES.openMs, state: PlaceState.OPEN };
        return "begun";
      case "close":
        if (place.state !== PlaceState.OPEN) return "unfit";
        place.state = PlaceState.READY;
        return "begun";
    }
  }

  private _join(now: number, order: JoinOrder, onPlaceLeft: (place: Place) => void): OrderOutcome {
    const { replicaId, epoch, members, model, expectedOrders } = order;
    if (expectedOrders !== undefined && expectedOrders !== this._orderCount) return "unfit";
    if (epoch < this._newestEpoch) return "stale";
    const previous = this.place;
    if (previous?.replicaId === replicaId && previous.epoch === epoch) return "done";
    this._newestEpoch = epoch;
    if (previous !== undefined) onPlaceLeft(previous);
    const joinMs = this.host.staged === model ? INSTANCE_TIMES.joinMs : INSTANCE_TIMES.loadMs;
    this.host.staged = model;
    this.place = {
      replicaId,
      epoch,
      members,
      state: PlaceState.JOINING,
      next: { at: now + joinMs, state: PlaceState.READY },
      brokenAt: undefined,
    };
    return "begun";
  }
}
