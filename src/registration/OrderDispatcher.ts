/**
 * Sends orders, one at a time to each instance, again after a while where no clear answer
 * came, and no more loads than the weight store bears.
 */
import { type Clock, TurnQueue } from "../clock";
import { getLifeKey, type Life, type LifeKey } from "../ids";
import type { Logger, Metrics } from "../metrics";
import type { InstanceOrder, InstanceOrders, OrderOutcome, OrderReceiver } from "./InstanceOrders";
import { type LoadLimit, LoadLimiter } from "./LoadLimiter";

/** What a dispatcher works with. */
export interface OrderDispatcherOptions {
  /** The leader's term. */
  readonly term: number;
  readonly orders: InstanceOrders;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called with a life that has ended: another instance answered at its address. */
  readonly onEnd: (life: Life) => void;
  /** Gives the limit in force; `undefined` while the weight store counts no loads. */
  readonly getLoadLimit: () => LoadLimit | undefined;
}

/** A load ordered ahead of need, that goes on as far as is known. */
interface Staging {
  readonly model: string;
  readonly until: number;
}

/** An order without a clear answer is sent again after this time. */
const RESEND_MS = 700;
/** An instance says that it loads by then, if it took the order. */
const LOAD_REPORTED_MS = 1_500;
/** A load ordered ahead of need is taken as going on from its order on, for so long at most. */
const STAGING_MS = 40_000;

/**
 * Orders that are begun in one turn of the event loop. Forming the first replicas is an order to each
 * instance: begun at once they would keep a new leader on a small core from its heartbeats, and it would be
 * voted out.
 */
const ORDERS_PER_TURN = 8;

/**
 * Orders that a term has fencing tokens for: far beyond what it ever sends, and tokens stay exact as
 * doubles for two million terms.
 */
const FENCES_PER_TERM = 2 ** 32;

/** Sends the orders of one term. */
export class OrderDispatcher {
  private readonly _options: OrderDispatcherOptions;
  private readonly _limiter = new LoadLimiter();
  private readonly _turns = new TurnQueue(ORDERS_PER_TURN);
  /** When an order of this content was sent to this instance last. */
  private readonly _sentAt = new Map<string, number>();
  /** What an earlier life of an instance was told, the next one knows nothing of. */
  private readonly _busy = new Set<LifeKey>();
  private readonly _staging = new Map<LifeKey, Staging>();
  /** When an instance was last told to load. */
  private readonly _toldToLoadAt = new Map<LifeKey, number>();
  private _answerCount = 0;
  private _fence: number;

  /**
   * @param options - Orders, clock and the limit on loads.
   */
  constructor(options: OrderDispatcherOptions) {
    this._options = options;
    this._fence = options.term * FENCES_PER_TERM;
  }

  /** Gets how many orders have come to an end, answered or not. */
  get answerCount(): number {
    return this._answerCount;
  }

  /** Checks whether an order to an instance is under way. */
  isBusy(life: Life): boolean {
    return this._busy.has(getLifeKey(life));
  }

  /** Checks whether an instance was told to load so lately that it may not have said so yet. */
  isToldToLoad(now: number, life: Life): boolean {
    return now - (this._toldToLoadAt.get(getLifeKey(life)) ?? Number.NEGATIVE_INFINITY) < LOAD_REPORTED_MS;
  }

  /**
   * Gets the model that an instance is loading ahead of need.
   * @param staged - Models that it says it holds.
   */
  getStagingModel(now: number, life: Life, staged: readonly string[]): string | undefined {
    const staging = this._staging.get(getLifeKey(life));
    if (staging === undefined || staging.until <= now || staged.includes(staging.model)) return undefined;
    return staging.model;
  }

  /**
   * Sends an order unless one is under way, or the same was sent a moment ago.
   * @returns `undefined` when it was not sent.
   */
  async send(receiver: OrderReceiver, order: InstanceOrder): Promise<OrderOutcome | undefined> {
    const now = this._options.clock.getMonotonicMs();
    if (!this._isDue(now, receiver, order)) return undefined;
    return this._send(now, receiver, order);
  }

  /**
   * Sends an order that makes its receiver load, if the weight store bears one more.
   * @returns `undefined` when it was not sent.
   */
  async sendLoad(receiver: OrderReceiver, order: InstanceOrder): Promise<OrderOutcome | undefined> {
    const now = this._options.clock.getMonotonicMs();
    if (!this._isDue(now, receiver, order)) return undefined;
    if (!this._limiter.tryAddLoad(now, this._options.getLoadLimit())) return undefined;
    const key = getLifeKey(receiver);
    this._toldToLoadAt.set(key, now);
    if (order.kind !== "stage") return this._send(now, receiver, order);
    this._staging.set(key, { model: order.model, until: now + STAGING_MS });
    const outcome = await this._send(now, receiver, order);
    if (outcome !== "begun" && outcome !== "done") this._staging.delete(key);
    return outcome;
  }

  private _isDue(now: number, life: Life, order: InstanceOrder): boolean {
    if (this.isBusy(life)) return false;
    const sentAt = this._sentAt.get(getOrderKey(life, order));
    return sentAt === undefined || now - sentAt >= RESEND_MS;
  }

  private async _send(now: number, receiver: OrderReceiver, order: InstanceOrder): Promise<OrderOutcome> {
    const { clock, orders, logger, metrics } = this._options;
    const { instanceId } = receiver;
    const key = getLifeKey(receiver);
    this._busy.add(key);
    this._sentAt.set(getOrderKey(receiver, order), now);
    // Rises with each order and term: what is carried out late, or sent by a deposed leader, is refused.
    this._fence += 1;
    const fence = this._fence;
    await this._turns.waitForTurn();
    const outcome = await orders.send(receiver, order, fence);
    this._busy.delete(key);
    this._answerCount += 1;
    if (outcome === "elsewhere") this._options.onEnd(receiver);
    const tookMs = Math.round(clock.getMonotonicMs() - now);
    metrics.increment("instance_orders", 1, { order: order.kind, outcome });
    logger.info({ event: "order_sent", instance: instanceId, order, outcome, took_ms: tookMs });
    return outcome;
  }
}

function getOrderKey(life: Life, order: InstanceOrder): string {
  const about = order.kind === "stage" ? order.model : `${order.replicaId}/${order.epoch}`;
  return `${getLifeKey(life)}/${order.kind}/${about}`;
}
