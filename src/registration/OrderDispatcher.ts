/**
 * Sends orders to instances: one at a time to each instance, again after a delay if there was no clear
 * answer, and with no more model loads than the weight store can serve.
 */
import { type Clock, TurnQueue } from "../clock";
import { getIncarnationKey, type Incarnation, type IncarnationKey } from "../ids";
import type { Logger, Metrics } from "../metrics";
import type {
  InstanceOrder,
  InstanceOrders,
  InstanceStatus,
  OrderOutcome,
  OrderReceiver,
} from "./InstanceOrders";
import { type LoadLimit, LoadLimiter } from "./LoadLimiter";

export interface OrderDispatcherOptions {
  /** The leader's term. */
  readonly term: number;
  readonly orders: InstanceOrders;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called with an incarnation that has ended: another instance answered at its address. */
  readonly onEnd: (life: Incarnation) => void;
  /** Gets the limit in force; `undefined` while the weight store does not count loads. */
  readonly getLoadLimit: () => LoadLimit | undefined;
}

/** A model load that was ordered in advance and may still be running. */
interface Staging {
  readonly model: string;
  readonly until: number;
}

/** Delay before an order without a clear answer is sent again. */
const RESEND_DELAY_MS = 700;
/** An instance that accepted an order to load reports the load within this time. */
const MAX_LOAD_REPORT_DELAY_MS = 1_500;
/** A load ordered in advance counts as running from its order on, for at most this time. */
const MAX_STAGING_MS = 40_000;

/**
 * Orders that are started in one turn of the event loop. Forming the first replicas takes one order to each
 * instance. If a new leader on a small CPU core started all of them in one turn, it would delay its
 * heartbeats and be voted out.
 */
const ORDERS_PER_TURN = 8;

/**
 * Fencing tokens reserved for one term: far more than a term ever sends. Tokens remain exact as doubles for
 * two million terms.
 */
const FENCES_PER_TERM = 2 ** 32;

/** Sends the orders of one leadership term. */
export class OrderDispatcher {
  private readonly _options: OrderDispatcherOptions;
  private readonly _limiter = new LoadLimiter();
  private readonly _turns = new TurnQueue(ORDERS_PER_TURN);
  /** When an order with the same content was last sent to the same instance. */
  private readonly _sentAt = new Map<string, number>();
  /**
   * Keyed by incarnation: an instance that restarted has not received the orders of its earlier incarnation.
   */
  private readonly _busy = new Set<IncarnationKey>();
  private readonly _staging = new Map<IncarnationKey, Staging>();
  /** When an instance was last ordered to load a model. */
  private readonly _loadOrderedAt = new Map<IncarnationKey, number>();
  private _completedCount = 0;
  private _fence: number;

  constructor(options: OrderDispatcherOptions) {
    this._options = options;
    this._fence = options.term * FENCES_PER_TERM;
  }

  /** Gets the number of orders that were answered, failed or timed out. */
  get completedCount(): number {
    return this._completedCount;
  }

  /** Checks whether an order to an instance is in progress. */
  isBusy(life: Incarnation): boolean {
    return this._busy.has(getIncarnationKey(life));
  }

  /**
   * Checks whether an instance was ordered to load so recently that it may not have reported the load yet.
   */
  hasRecentLoadOrder(now: number, life: Incarnation): boolean {
    return (
      now - (this._loadOrderedAt.get(getIncarnationKey(life)) ?? Number.NEGATIVE_INFINITY) <
      MAX_LOAD_REPORT_DELAY_MS
    );
  }

  /**
   * Gets the model that an instance is loading in advance.
   * @param staged - Models that the instance reports as staged.
   */
  getStagingModel(now: number, life: Incarnation, staged: readonly string[]): string | undefined {
    const staging = this._staging.get(getIncarnationKey(life));
    if (staging === undefined || staging.until <= now || staged.includes(staging.model)) return undefined;
    return staging.model;
  }

  /**
   * Sends an order unless one to the same instance is in progress or the same order was sent less than 700 ms
   * ago.
   * @returns `undefined` when the order was not sent.
   */
  async send(receiver: OrderReceiver, order: InstanceOrder): Promise<OrderOutcome | undefined> {
    const now = this._options.clock.getMonotonicMs();
    if (!this._isDue(now, receiver, order)) return undefined;
    return this._send(now, receiver, order);
  }

  /**
   * Sends an order that makes its receiver load a model, if the weight store can serve one more load.
   * @returns `undefined` when the order was not sent.
   */
  async sendLoad(receiver: OrderReceiver, order: InstanceOrder): Promise<OrderOutcome | undefined> {
    const now = this._options.clock.getMonotonicMs();
    if (!this._isDue(now, receiver, order)) return undefined;
    if (!this._limiter.tryAddLoad(now, this._options.getLoadLimit())) return undefined;
    const key = getIncarnationKey(receiver);
    this._loadOrderedAt.set(key, now);
    if (order.kind !== "stage") return this._send(now, receiver, order);
    this._staging.set(key, { model: order.model, until: now + MAX_STAGING_MS });
    const outcome = await this._send(now, receiver, order);
    if (outcome !== "begun" && outcome !== "done") this._staging.delete(key);
    return outcome;
  }

  /** Asks an instance for its status. Questions are started in turns like orders. */
  async askStatus(receiver: OrderReceiver, timeoutMs: number): Promise<InstanceStatus | undefined> {
    await this._turns.waitForTurn();
    return this._options.orders.askStatus(receiver, timeoutMs);
  }

  private _isDue(now: number, life: Incarnation, order: InstanceOrder): boolean {
    if (this.isBusy(life)) return false;
    const sentAt = this._sentAt.get(getOrderKey(life, order));
    return sentAt === undefined || now - sentAt >= RESEND_DELAY_MS;
  }

  private async _send(now: number, receiver: OrderReceiver, order: InstanceOrder): Promise<OrderOutcome> {
    const { clock, orders, logger, metrics } = this._options;
    const { instanceId } = receiver;
    const key = getIncarnationKey(receiver);
    this._busy.add(key);
    this._sentAt.set(getOrderKey(receiver, order), now);
    // The token increases with each order and term, so that engines refuse orders that arrive late or come
    // from a deposed leader.
    this._fence += 1;
    const fence = this._fence;
    await this._turns.waitForTurn();
    const outcome = await orders.send(receiver, order, fence);
    this._busy.delete(key);
    this._completedCount += 1;
    if (outcome === "elsewhere") this._options.onEnd(receiver);
    // A refused join is not repeated but sent with another number of expected orders.
    if (outcome === "unfit" && order.kind === "join" && order.expectedOrders !== undefined)
      this._sentAt.delete(getOrderKey(receiver, order));
    const tookMs = Math.round(clock.getMonotonicMs() - now);
    metrics.increment("instance_orders", 1, { order: order.kind, outcome });
    logger.info({ event: "order_sent", instance: instanceId, order, outcome, took_ms: tookMs });
    return outcome;
  }
}

function getOrderKey(life: Incarnation, order: InstanceOrder): string {
  const subject = order.kind === "stage" ? order.model : `${order.replicaId}/${order.epoch}`;
  return `${getIncarnationKey(life)}/${order.kind}/${subject}`;
}
