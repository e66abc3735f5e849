/** Orders from the leader to the instances of replicas. */
import type { Incarnation } from "../ids";

/** The receiver of an order. An engine distinguishes incarnations only by address and id. */
export interface OrderReceiver extends Incarnation {
  /** host:port */
  readonly address: string;
}

/** Makes the instance join a replica and load the model if its host does not have it yet. */
export interface JoinOrder {
  readonly kind: "join";
  readonly replicaId: string;
  readonly epoch: number;
  readonly model: string;
  /** Instance ids, the head first. */
  readonly members: readonly string[];
  /**
   * Number of orders that the instance must have begun; with any other number it refuses the order as
   * `unfit`. `undefined` to join whatever the instance has done before.
   */
  readonly expectedOrders?: number;
}

/** Makes the head of a replica accept requests. */
export interface OpenOrder {
  readonly kind: "open";
  readonly replicaId: string;
  readonly epoch: number;
}

/** Makes the head of a replica reject new requests; requests in progress may finish. */
export interface CloseOrder {
  readonly kind: "close";
  readonly replicaId: string;
  readonly epoch: number;
}

/** Makes the instance leave a replica immediately. */
export interface LeaveOrder {
  readonly kind: "leave";
  readonly replicaId: string;
  readonly epoch: number;
}

/** Loads a model onto the instance's host before a replica needs it. */
export interface StageOrder {
  readonly kind: "stage";
  readonly model: string;
}

export type InstanceOrder = JoinOrder | OpenOrder | CloseOrder | LeaveOrder | StageOrder;

/**
 * The result of an order.
 *
 * `begun` and `done`: the instance accepted it. `unfit`: it does not apply in the instance's state. `stale`:
 * the instance has already seen a newer epoch or fencing token. `elsewhere`: another incarnation listens at
 * the address. `absent`: no process listens there. `unanswered`: no answer came, and the instance may still
 * execute the order, even much later.
 */
export type OrderOutcome = "begun" | "done" | "unfit" | "stale" | "elsewhere" | "absent" | "unanswered";

/**
 * Which instance answered at an address: the expected one, or another one, which proves that the expected one
 * has ended. `unknown`: there was no clear answer.
 */
export type Identity = "itself" | "another" | "unknown";

/** The result of probing an instance for a heartbeat. */
export type ProbeOutcome = "present" | "silent" | "absent";

/** What an instance tells of itself when asked. All values are of the same moment. */
export interface InstanceStatus {
  /** Start time of the incarnation, Unix milliseconds; 0 when the instance does not report it. */
  readonly born: number;
  /** The replica that the instance is in; `undefined` for none. */
  readonly place: { readonly replicaId: string; readonly epoch: number } | undefined;
  /** Number of orders that the incarnation has begun; `undefined` when the instance does not report it. */
  readonly orderCount: number | undefined;
}

/** Sends orders and probes to instances. */
export interface InstanceOrders {
  /** Checks whether the given instance listens at its address. Never throws. */
  identify(receiver: OrderReceiver, timeoutMs: number): Promise<Identity>;
  /**
   * Asks the incarnation that listens at an address for its status, which may be some hundred milliseconds
   * old. Never throws.
   * @returns `undefined` when there was no clear answer.
   */
  askStatus(receiver: OrderReceiver, timeoutMs: number): Promise<InstanceStatus | undefined>;
  /** Checks whether any instance answers at an address. Never throws. */
  probe(receiver: OrderReceiver, timeoutMs: number): Promise<ProbeOutcome>;
  /**
   * Sends one order. Never throws.
   * @param fence - Fencing token. An engine that checks tokens answers `stale` to a token below the highest
   * one that it has received.
   */
  send(receiver: OrderReceiver, order: InstanceOrder, fence: number): Promise<OrderOutcome>;
}
