/** Input and output types of the group planner. Plain data. */
import type { Configuration } from "../configuration";
import type { Replica } from "../gen/ploverstage/v1/state_pb";
import type { InstanceId } from "../ids";

/** The part of a configuration that the planner uses. */
export type PlanningConfiguration = Pick<Configuration, "models" | "groups" | "planning" | "weightStore"> & {
  readonly timing: Pick<Configuration["timing"], "presenceWindow" | "lease">;
  /**
   * Whether a replica is formed only from instances that either all hold its model or all lack it. Instances
   * that hold a model then stay free until enough others have loaded it, so that a replica that can be formed
   * sooner may use them.
   */
  readonly stagesFirst?: boolean;
  /**
   * Used with `stagesFirst`: the only model that instances of a fabric domain load when none of them holds
   * one.
   */
  readonly modelByDomain?: ReadonlyMap<string, string>;
};

/** The planner's data on one engine instance. Times are monotonic milliseconds. */
export interface InstanceFacts {
  readonly id: InstanceId;
  /**
   * Start time of the current incarnation, in Unix milliseconds by the instance's own clock; 0 when not
   * reported.
   */
  readonly born: number;
  readonly address: string;
  readonly failureDomain: string;
  readonly fabricDomain: string;
  readonly isLeaving: boolean;
  /** Whether the instance refuses orders and requests of an older epoch. */
  readonly checksOrders: boolean;
  /** Time of the last answer; -Infinity when there was none. */
  readonly answeredAt: number;
  /** The epoch that the instance reports. */
  readonly epoch: number;
  /**
   * Whether the instance reports that the replica of this epoch is broken. Joining again does not repair it.
   */
  readonly isBroken?: boolean;
  /** Whether the instance reports that its model is loaded and that it has joined the replica. */
  readonly isReady: boolean;
  readonly model: string;
  readonly modelVersion: string;
  /** Whether an order to load has been sent or is being executed. */
  readonly isLoading: boolean;
  /** Whether the instance takes up a share of the weight store's rate; by default, whenever it is loading. */
  readonly readsWeights?: boolean;
  /** Model that the instance is loading ahead of need, if any. */
  readonly stagingModel?: string;
  /** Whether the instance may have ended. It is then not chosen for a replica. */
  readonly isUncertain?: boolean;
  /** Times of the most recent losses, ascending. */
  readonly losses: readonly number[];
}

/** The input of a planner run. */
export interface PlanningFacts {
  readonly instances: readonly InstanceFacts[];
  /** Replicas of the committed state that are not released. */
  readonly replicas: readonly Replica[];
  /** Whether all leases of earlier leaders have expired, so that instances may be moved. */
  readonly areOldLeasesExpired: boolean;
  /** Retiring replicas that no lease allows any more. */
  readonly retiredInForce: ReadonlySet<string>;
  /** Retiring replicas whose drain time has ended. */
  readonly drainedReplicas: ReadonlySet<string>;
  /** Requests in flight by replica, as reported by live entries. */
  readonly inFlight: ReadonlyMap<string, number>;
  /** Recent absences of instances that have returned or been abandoned. */
  readonly absences: readonly Absence[];
}

/** A past absence of an instance. */
export interface Absence {
  readonly durationMs: number;
  /**
   * Whether the instance returned with its place in the replica. If not, it restarted or was absent for at
   * least this duration.
   */
  readonly cameBack: boolean;
}

/** Forms a new replica from free instances. */
export interface FormReplicaAction {
  readonly kind: "formReplica";
  readonly group: string;
  readonly members: readonly InstanceFacts[];
  readonly reason: string;
}

/** Orders an instance of a forming replica to load the model and join. */
export interface LoadInstanceAction {
  readonly kind: "loadInstance";
  readonly replica: Replica;
  readonly instance: InstanceFacts;
  readonly rank: number;
}

/** Orders a free instance to load a model ahead of need, so that a repair needs no load. */
export interface WarmInstanceAction {
  readonly kind: "warmInstance";
  readonly instance: InstanceFacts;
  readonly model: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
}

/** Lets a complete replica serve. */
export interface ServeReplicaAction {
  readonly kind: "serveReplica";
  readonly replica: Replica;
}

/** Stops new requests to a replica. */
export interface RetireReplicaAction {
  readonly kind: "retireReplica";
  readonly replica: Replica;
  readonly reason: string;
}

/** Frees the instances of a retired replica. */
export interface ReleaseReplicaAction {
  readonly kind: "releaseReplica";
  readonly replica: Replica;
}

/** Any action that the planner returns. */
export type Action =
  | FormReplicaAction
  | LoadInstanceAction
  | WarmInstanceAction
  | ServeReplicaAction
  | RetireReplicaAction
  | ReleaseReplicaAction;
