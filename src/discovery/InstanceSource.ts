/** The interface to the platform that runs the instances. */
import type { InstanceId } from "../ids";

/** The program that an instance runs. */
export type InstanceKind = "engine" | "service";

/** An instance as listed by the platform; the list may be outdated. */
export interface Instance {
  readonly id: InstanceId;
  /** host:port of its interface. */
  readonly address: string;
  readonly kind: InstanceKind;
  /** Name of the plain service; "" for an engine. */
  readonly service: string;
  readonly failureDomain: string;
  /** All instances of a replica must have the same fabric domain. */
  readonly fabricDomain: string;
  readonly isLeaving: boolean;
  /** Whether the instance refuses orders and requests of an older epoch. */
  readonly checksOrders: boolean;
}

/** The platform's interface. */
export interface InstanceSource {
  /**
   * Gets the instances that the platform lists.
   * @throws UnreachableEndpoint, LostAnswer, MalformedAnswer
   */
  getInstances(timeoutMs: number): Promise<Instance[]>;
}
