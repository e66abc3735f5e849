/** Orders to the instances of replicas. */
import type { Life } from "../ids";

/** Whom an order goes to; engines tell lives apart by nothing but their address and id. */
export interface OrderReceiver extends Life {
  /** host:port */
  readonly address: string;
}

/** Takes a place in a replica; loads the model where it has to. */
export interface JoinOrder {
  readonly kind: "join";
  readonly replicaId: string;
  readonly epoch: number;
  readonly model: string;
  /** Instance ids, the head first. */
  readonly members: readonly string[];
}

/** Lets the head of a replica take requests. */
export interface OpenOrder {
  readonly kind: "open";
  readonly replicaId: string;
  readonly epoch: number;
}

/** Ends new requests at the head of a replica; those under way may end. */
export interface CloseOrder {
  readonly kind: "close";
  readonly replicaId: string;
  readonly epoch: number;
}

/** Gives a place in a replica up at once. */
export interface LeaveOrder {
  readonly kind: "leave";
  readonly replicaId: string;
  readonly epoch: number;
}

/** Loads a model onto the instance's host, ahead of need. */
export interface StageOrder {
  readonly kind: "stage";
  readonly model: string;
}

/** Any order. */
export type InstanceOrder = JoinOrder | OpenOrder | CloseOrder | LeaveOrder | StageOrder;

/**
 * What an order came to: `begun` or `done`; `unfit` for the instance's state; `stale`
 * against a newer epoch or fencing token; `elsewhere` when another life has the address; `absent` when
 * nothing listens there; `unanswered` when it may be carried out yet, even much later.
 */
export type OrderOutcome = "begun" | "done" | "unfit" | "stale" | "elsewhere" | "absent" | "unanswered";

/**
 * Which instance answered at an address: the one that was asked for, or another one, which proves that
 * the one asked for has ended; `unknown` when there was no clear answer.
 */
export type Identity = "itself" | "another" | "unknown";

/** What asking an instance for a sign of life came to. */
export type ProbeOutcome = "present" | "silent" | "absent";

/** Gives orders, and asks for a sign of life. */
export interface InstanceOrders {
  /** Asks at an address whether this instance runs there; never throws. */
  identify(receiver: OrderReceiver, timeoutMs: number): Promise<Identity>;
  /**
   * Asks whoever listens at an address when it started; never throws.
   * @returns The start of that life, 0 when it does not tell it; `undefined` when there was no clear answer.
   */
  askBorn(receiver: OrderReceiver, timeoutMs: number): Promise<number | undefined>;
  /** Asks whether any instance answers at an address; never throws. */
  probe(receiver: OrderReceiver, timeoutMs: number): Promise<ProbeOutcome>;
  /**
   * Sends one order; never throws.
   * @param fence - Fencing token: an engine that checks tokens refuses one below the highest that it has
   * seen as `stale`.
   */
  send(receiver: OrderReceiver, order: InstanceOrder, fence: number): Promise<OrderOutcome>;
}
