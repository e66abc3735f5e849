/** The platform beneath the system: which instances there are. */
import type { InstanceId } from "../ids";

/** What an instance runs. */
export type InstanceKind = "engine" | "service";

/** One instance as the platform lists it; the list lags. */
export interface Instance {
  readonly id: InstanceId;
  /** host:port of its interface. */
  readonly address: string;
  readonly kind: InstanceKind;
  /** Name of the plain service, "" for an engine. */
  readonly service: string;
  readonly failureDomain: string;
  /** Instances of one replica must share it. */
  readonly fabricDomain: string;
  readonly isLeaving: boolean;
  /** Whether it refuses orders and requests of an older epoch. */
  readonly checksOrders: boolean;
}

/** The platform's interface. */
export interface InstanceSource {
  /**
   * Gets the instances that the platform knows of.
   * @throws UnreachableEndpoint, LostAnswer, MalformedAnswer
   */
  getInstances(timeoutMs: number): Promise<Instance[]>;
}
