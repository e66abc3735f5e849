/**
 * Orders on their way to the instances of a model: they arrive, are lost, lose their answer, or are
 * carried out seconds later, after newer ones.
 *
 * A test of our own code: time is simulated.
 */
import type { RandomSource } from "../../../src/consensus";
import type {
  Identity,
  InstanceOrder,
  InstanceOrders,
  OrderOutcome,
  OrderReceiver,
  ProbeOutcome,
} from "../../../src/registration";
import type { InstanceModel, Place } from "./InstanceModel";

/** What may happen to an order, as parts of all orders. */
export interface OrderFaults {
  /** It is not carried out. */
  readonly lost: number;
  /** It is carried out, and its answer is lost. */
  readonly unanswered: number;
  /** It gets no answer and is carried out seconds later, after newer ones. */
  readonly late: number;
  /** An order, and its answer, are under way for up to so long beyond the usual, milliseconds. */
  readonly slowMs?: number;
}

/** Orders that arrive and are answered. */
export const RELIABLE: OrderFaults = { lost: 0, unanswered: 0, late: 0 };

/** The instances that orders go to. */
export interface OrderModelOptions {
  readonly random: RandomSource;
  readonly getNow: () => number;
  /** Gets who listens at an address. */
  readonly getListener: (address: string) => InstanceModel | undefined;
  /** Gets all lives of an instance, ended or not. */
  readonly getLives: (id: string) => readonly InstanceModel[];
  readonly runAfter: (milliseconds: number, run: () => void) => void;
  /** Called when an instance gives a place up. */
  readonly onPlaceGivenUp: (place: Place, instanceId: string) => void;
}

/** An order that gets no answer is waited for so long, milliseconds. */
const ANSWER_MS = 1_000;
/** An order and its answer travel for so long, milliseconds. */
const ORDER_MS = 10;
/** Orders that are carried out late wait for so long at the least and at the most, milliseconds. */
const LATE_MS = [2_000, 12_000] as const;

/** Orders, and what they came to. */
export class OrderModel implements InstanceOrders {
  /** What happens to orders from now on. */
  faults: OrderFaults = RELIABLE;
  /** A defect on purpose: orders to leave are answered and not carried out. */
  ignoresLeaves = false;
  /** Instances that took a place while the head of their earlier one took requests. */
  readonly shared: string[] = [];
  private readonly _options: OrderModelOptions;

  constructor(options: OrderModelOptions) {
    this._options = options;
  }

  /** Sends one order. */
  async send(receiver: OrderReceiver, order: InstanceOrder, fence: number): Promise<OrderOutcome> {
    const { random, getListener, runAfter } = this._options;
    const drawn = random.next();
    const { lost, unanswered, late } = this.faults;
    await wait(ORDER_MS);
    await this._waitSlow();
    const listener = getListener(receiver.address);
    if (listener === undefined) return "absent";
    if (listener.isCut || drawn < lost) return miss();
    if (drawn < lost + unanswered) {
      this._carryOut(receiver, order, fence);
      return miss();
    }
    if (drawn < lost + unanswered + late) {
      const [shortest, longest] = LATE_MS;
      const lateMs = shortest + Math.floor(random.next() * (longest - shortest));
      runAfter(lateMs, () => this._carryOut(receiver, order, fence));
      return miss();
    }
    const outcome = this._carryOut(receiver, order, fence);
    await this._waitSlow();
    return outcome;
  }

  /** Asks by an order, which may be lost as any other. */
  async identify({ instanceId, address }: OrderReceiver, timeoutMs: number): Promise<Identity> {
    const { lost, unanswered, late } = this.faults;
    const isLost = this._options.random.next() < lost + unanswered + late;
    await wait(ORDER_MS);
    const listener = this._options.getListener(address);
    if (listener === undefined) return "unknown";
    if (isLost || listener.isCut) await wait(timeoutMs);
    if (isLost || listener.isCut) return "unknown";
    return listener.id === instanceId ? "itself" : "another";
  }

  /** Asks which life of an instance answers. */
  async askBorn({ instanceId, address }: OrderReceiver, timeoutMs: number): Promise<number | undefined> {
    await wait(ORDER_MS);
    const listener = this._options.getListener(address);
    if (listener?.isCut === true) await wait(timeoutMs);
    return listener?.id === instanceId && !listener.isCut ? listener.born : undefined;
  }

  /** Asks for a sign of life. */
  async probe({ address }: OrderReceiver, timeoutMs: number): Promise<ProbeOutcome> {
    await wait(ORDER_MS);
    const { slowMs = 0 } = this.faults;
    if (slowMs > 0 && this._options.random.next() * slowMs > timeoutMs) return "silent";
    const listener = this._options.getListener(address);
    if (listener === undefined) return "absent";
    return listener.isCut ? "silent" : "present";
  }

  private async _waitSlow(): Promise<void> {
    const { slowMs = 0 } = this.faults;
    if (slowMs > 0) await wait(this._options.random.next() * slowMs);
  }

  private _carryOut(receiver: OrderReceiver, order: InstanceOrder, fence: number): OrderOutcome {
    const { getNow, getListener, onPlaceGivenUp } = this._options;
    const listener = getListener(receiver.address);
    if (listener === undefined) return "absent";
    if (listener.id !== receiver.instanceId) return "elsewhere";
    if (order.kind === "leave" && this.ignoresLeaves) return "done";
    const before = listener.place;
    const isTaking = before !== undefined && this._mayTakeRequests(before);
    const outcome = listener.take(getNow(), order, fence, (place) => onPlaceGivenUp(place, listener.id));
    const { place } = listener;
    if (isTaking && place !== undefined && place.replicaId !== before.replicaId) {
      this.shared.push(
        `${listener.id} took a place in ${place.replicaId} while ${before.replicaId} was open`,
      );
    }
    return outcome;
  }

  private _mayTakeRequests(place: Place): boolean {
    return this._options.getLives(place.members[0]!).some((head) => head.takesRequestsOf(place));
  }
}

async function miss(): Promise<OrderOutcome> {
  await wait(ANSWER_MS);
  return "unanswered";
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
