/**
 * An instance as it keeps the rules of replicas: takes places, gives them up, and as the head of a
 * replica stalls and then breaks once it has lost a member.
 *
 * A test of our own code: time is simulated, and everything is an argument.
 */
import { PlaceState } from "../../../src/gen/ploverstage/v1/fleet_pb";
import type { Life } from "../../../src/ids";
import type { InstanceOrder, JoinOrder, OrderOutcome } from "../../../src/registration";

/** Times of an instance, milliseconds. */
export const INSTANCE_TIMES = {
  /** Taking a place with weights that the host holds. */
  joinMs: 600,
  loadMs: 1_000,
  openMs: 300,
  /** How long a head that lost a member stalls before it is broken. */
  stallMs: 4_000,
} as const;

/** A place in a replica. */
export interface Place {
  readonly replicaId: string;
  readonly epoch: number;
  readonly members: readonly string[];
  state: PlaceState;
  /** When the state changes next, and to what. */
  next: { readonly at: number; readonly state: PlaceState } | undefined;
  /** As a head: when it will be broken, because it lost a member. */
  brokenAt: number | undefined;
}

/** What a host keeps over restarts of its instances. */
export interface Host {
  readonly name: string;
  /** Of the life that runs there, or ran last. */
  address: string;
  readonly fabricDomain: string;
  /** How far its clock is from the true time, milliseconds. */
  clockErrorMs: number;
  staged: string | undefined;
}

/** States in which a head takes requests. */
const TAKING = new Set([PlaceState.OPEN, PlaceState.CLOSING]);

/** One life of an instance. */
export class InstanceModel {
  readonly id: string;
  /** When it started, by its host's clock; 0 where it does not tell. */
  readonly born: number;
  readonly host: Host;
  /** Where it listens. */
  readonly address: string;
  isAlive = true;
  /** Whether control and the instance can't reach each other, while everyone else can. */
  isCut = false;
  sequence = 0;
  place: Place | undefined;
  private _newestEpoch = 0;
  private _newestFence = 0;

  private readonly _checksFences: boolean;

  constructor({ instanceId, born }: Life, host: Host, checksFences: boolean) {
    this.id = instanceId;
    this.born = born;
    this.host = host;
    this.address = host.address;
    this._checksFences = checksFences;
  }

  /** Checks whether requests may begin in the replica of which it is the head. */
  takesRequestsOf(place: Place): boolean {
    const { place: own } = this;
    if (!this.isAlive || own?.replicaId !== place.replicaId || own.epoch !== place.epoch) return false;
    return TAKING.has(own.state);
  }

  /** Lets what is under way end. */
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

  /** Notes, as a head, that a member is lost or took another place. */
  loseMember(now: number): void {
    if (this.place !== undefined) this.place.brokenAt ??= now + INSTANCE_TIMES.stallMs;
  }

  /**
   * Carries an order out.
   * @param onPlaceGivenUp - Called with the place that it had until now.
   */
  take(
    now: number,
    order: InstanceOrder,
    fence: number,
    onPlaceGivenUp: (place: Place) => void,
  ): OrderOutcome {
    if (this._checksFences && fence < this._newestFence) return "stale";
    this._newestFence = Math.max(fence, this._newestFence);
    if (order.kind === "stage") {
      this.host.staged = order.model;
      return "begun";
    }
    if (order.kind === "join") return this._join(now, order, onPlaceGivenUp);
    const { place } = this;
    if (place?.replicaId !== order.replicaId || place.epoch !== order.epoch) return "unfit";
    switch (order.kind) {
      case "leave":
        this.place = undefined;
        onPlaceGivenUp(place);
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

  private _join(now: number, order: JoinOrder, onPlaceGivenUp: (place: Place) => void): OrderOutcome {
    const { replicaId, epoch, members, model } = order;
    if (epoch < this._newestEpoch) return "stale";
    const before = this.place;
    if (before?.replicaId === replicaId && before.epoch === epoch) return "done";
    this._newestEpoch = epoch;
    if (before !== undefined) onPlaceGivenUp(before);
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
