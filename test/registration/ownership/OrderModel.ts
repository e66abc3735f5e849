/**
 * Simulates the network between the leader and the instances: orders arrive, are lost, lose their answer, or
 * are executed seconds later, after newer ones.
 *
 * Time is simulated.
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

/** Probabilities of faults, as fractions of all orders. */
export interface OrderFaults {
  /** The order is not executed. */
  readonly lost: number;
  /** The order is executed, and its answer is lost. */
  readonly unanswered: number;
  /** The order gets no answer and is executed seconds later, after newer ones. */
  readonly late: number;
  /** Maximum extra delay of an order, and of its answer, milliseconds. */
  readonly slowMs?: number;
}

/** No faults: all orders arrive and are answered. */
export const RELIABLE: OrderFaults = { lost: 0, unanswered: 0, late: 0 };

/** Access to the simulated fleet. */
export interface OrderModelOptions {
  readonly random: RandomSource;
  readonly getNow: () => number;
  /** Gets the instance that listens at an address. */
  readonly getListener: (address: string) => InstanceModel | undefined;
  /** Gets all incarnations of an instance, ended or not. */
  readonly getIncarnations: (id: string) => readonly InstanceModel[];
  readonly runAfter: (milliseconds: number, run: () => void) => void;
  /** Called when an instance leaves a place. */
  readonly onPlaceLeft: (place: Place, instanceId: string) => void;
}

/** Timeout of an order that gets no answer, milliseconds. */
const ORDER_TIMEOUT_MS = 1_000;
/** Travel time of an order and its answer, milliseconds. */
const ORDER_LATENCY_MS = 10;
/** Minimum and maximum delay of orders that are executed late, milliseconds. */
const LATE_RANGE_MS = [2_000, 12_000] as const;

/** Orders to simulated instances, with faults. */
export class OrderModel implements InstanceOrders {
  /** The faults of orders from now on. */
  faults: OrderFaults = RELIABLE;
  /** A deliberate defect: orders to leave are answered but not executed, and no place is told. */
  ignoresLeaves = false;
  /** Instances that joined a replica while the head of their earlier one accepted requests. */
  readonly shared: string[] = [];
  private readonly _options: OrderModelOptions;

  constructor(options: OrderModelOptions) {
    this._options = options;
  }

  async send(receiver: OrderReceiver, order: InstanceOrder, fence: number): Promise<OrderOutcome> {
    const { random, getListener, runAfter } = this._options;
    const drawn = random.next();
    const { lost, unanswered, late } = this.faults;
    await wait(ORDER_LATENCY_MS);
    await this._waitExtraDelay();
    const listener = getListener(receiver.address);
    if (listener === undefined) return "absent";
    if (listener.isPartitioned || drawn < lost) return awaitTimeout();
    if (drawn < lost + unanswered) {
      this._execute(receiver, order, fence);
      return awaitTimeout();
    }
    if (drawn < lost + unanswered + late) {
      const [shortest, longest] = LATE_RANGE_MS;
      const lateMs = shortest + Math.floor(random.next() * (longest - shortest));
      runAfter(lateMs, () => this._execute(receiver, order, fence));
      return awaitTimeout();
    }
    const outcome = this._execute(receiver, order, fence);
    await this._waitExtraDelay();
    return outcome;
  }

  /** Checks which instance answers, by an order that may be lost like any other. */
  async identify({ instanceId, address }: OrderReceiver, timeoutMs: number): Promise<Identity> {
    const { lost, unanswered, late } = this.faults;
    const isLost = this._options.random.next() < lost + unanswered + late;
    await wait(ORDER_LATENCY_MS);
    const listener = this._options.getListener(address);
    if (listener === undefined) return "unknown";
    if (isLost || listener.isPartitioned) await wait(timeoutMs);
    if (isLost || listener.isPartitioned) return "unknown";
    return listener.id === instanceId ? "itself" : "another";
  }

  /** Gets the status that the incarnation had a moment ago. */
  async askStatus({ instanceId, address }: OrderReceiver, timeoutMs: number) {
    await wait(ORDER_LATENCY_MS);
    await this._waitExtraDelay();
    const { getListener, getNow } = this._options;
    const listener = getListener(address);
    if (listener?.isPartitioned === true) await wait(timeoutMs);
    if (listener?.id !== instanceId || listener.isPartitioned) return undefined;
    const answer = listener.getStatus(getNow());
    if (this.ignoresLeaves) return { ...answer, place: undefined };
    await this._waitExtraDelay();
    return answer;
  }

  /** Probes an instance. */
  async probe({ address }: OrderReceiver, timeoutMs: number): Promise<ProbeOutcome> {
    await wait(ORDER_LATENCY_MS);
    const { slowMs = 0 } = this.faults;
    if (slowMs > 0 && this._options.random.next() * slowMs > timeoutMs) return "silent";
    const listener = this._options.getListener(address);
    if (listener === undefined) return "absent";
    return listener.isPartitioned ? "silent" : "present";
  }

  private async _waitExtraDelay(): Promise<void> {
    const { slowMs = 0 } = this.faults;
    if (slowMs > 0) await wait(this._options.random.next() * slowMs);
  }

  private _execute(receiver: OrderReceiver, order: InstanceOrder, fence: number): OrderOutcome {
    const { getNow, getListener, onPlaceLeft } = this._options;
    const listener = getListener(receiver.address);
    if (listener === undefined) return "absent";
    if (listener.id !== receiver.instanceId) return "elsewhere";
    if (order.kind === "leave" && this.ignoresLeaves) return "done";
    const previous = listener.place;
    const wasAccepting = previous !== undefined && this._acceptsRequests(previous);
    const outcome = listener.execute(getNow(), order, fence, (place) => onPlaceLeft(place, listener.id));
    const { place } = listener;
    if (wasAccepting && place !== undefined && place.replicaId !== previous.replicaId) {
      this.shared.push(`${listener.id} joined ${place.replicaId} while ${previous.replicaId} was open`);
    }
    return outcome;
  }

  private _acceptsRequests(place: Place): boolean {
    return this._options.getIncarnations(place.members[0]!).some((head) => head.acceptsRequestsOf(place));
  }
}

async function awaitTimeout(): Promise<OrderOutcome> {
  await wait(ORDER_TIMEOUT_MS);
  return "unanswered";
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
