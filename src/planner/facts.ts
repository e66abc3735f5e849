/** What the group planner knows, and what it may decide. Plain data. */
import type { Configuration } from "../configuration";
import type { Replica } from "../gen/ploverstage/v1/state_pb";
import type { InstanceId } from "../ids";

/** The part of a configuration that the planner looks at. */
export type PlanningConfiguration = Pick<Configuration, "models" | "groups" | "planning" | "weightStore"> & {
  readonly timing: Pick<Configuration["timing"], "presenceWindow" | "lease">;
  /**
   * Whether instances that hold a model wait for others to load it before they form a
   * replica, so that they stay free for one that can be formed sooner.
   */
  readonly stagesFirst?: boolean;
  /** With it: the only model that instances of a fabric domain load when none of them holds one. */
  readonly modelByDomain?: ReadonlyMap<string, string>;
};

/** One engine instance as the planner sees it. Times are monotonic milliseconds. */
export interface InstanceFacts {
  readonly id: InstanceId;
  /** Start of its present life, Unix milliseconds by its own clock; 0 when it does not tell. */
  readonly born: number;
  readonly address: string;
  readonly failureDomain: string;
  readonly fabricDomain: string;
  readonly isLeaving: boolean;
  /** Whether it refuses orders and requests of an older epoch. */
  readonly checksOrders: boolean;
  /** When it last answered; -Infinity when it never did. */
  readonly answeredAt: number;
  /** Epoch it says it is in. */
  readonly epoch: number;
  /** Whether it says that the replica of this epoch is broken: joining again does not mend that. */
  readonly isBroken?: boolean;
  /** Whether it says that its model is loaded and its place in the replica taken. */
  readonly isReady: boolean;
  readonly model: string;
  readonly modelVersion: string;
  /** Whether an order to load is on its way or being carried out. */
  readonly isLoading: boolean;
  /** Whether it takes up a part of the weight store's rate; by default whenever it is loading. */
  readonly readsWeights?: boolean;
  /** Model that it loads ahead of need, if it does. */
  readonly stagingModel?: string;
  /** Whether it may have ended, as far as is known, so that it is not chosen for a replica. */
  readonly isUncertain?: boolean;
  /** When it was lost lately, ascending. */
  readonly losses: readonly number[];
}

/** Everything the planner looks at. */
export interface PlanningFacts {
  readonly instances: readonly InstanceFacts[];
  /** Replicas of the agreed state that are not released. */
  readonly replicas: readonly Replica[];
  /** Whether leases of earlier leaders have run out, so that instances may be moved. */
  readonly areOldLeasesExpired: boolean;
  /** Retiring replicas that no lease allows any more. */
  readonly retiredInForce: ReadonlySet<string>;
  /** Retiring replicas whose time to drain is over. */
  readonly drainedReplicas: ReadonlySet<string>;
  /** Requests in flight by replica, as live entries report them. */
  readonly inFlight: ReadonlyMap<string, number>;
  /** How long instances were away lately before they came back, or gave up on; milliseconds. */
  readonly absences: readonly Absence[];
}

/** One past absence of an instance. */
export interface Absence {
  readonly durationMs: number;
  /** Whether it came back with its place; else it was away at least so long, or had restarted. */
  readonly cameBack: boolean;
}

/** Takes free instances as a new replica. */
export interface FormReplicaAction {
  readonly kind: "formReplica";
  readonly group: string;
  readonly members: readonly InstanceFacts[];
  readonly reason: string;
}

/** Orders an instance of a forming replica to load and join. */
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

/** Lets a whole replica serve. */
export interface ServeReplicaAction {
  readonly kind: "serveReplica";
  readonly replica: Replica;
}

/** Ends new work on a replica. */
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

/** Any decision of the planner. */
export type Action =
  | FormReplicaAction
  | LoadInstanceAction
  | WarmInstanceAction
  | ServeReplicaAction
  | RetireReplicaAction
  | ReleaseReplicaAction;
