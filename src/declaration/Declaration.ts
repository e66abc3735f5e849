/**
 * What operators declare under a version of their own: routes, services, organisations.
 *
 * All times are milliseconds, weights are ratios, sizes are bytes.
 */

/** How often a request of a route may run. */
export type RouteKind = "repeatable" | "notRepeatable" | "stream";

/** One share of a route's requests. */
export interface SplitShare {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host below one path. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may go on elsewhere after the last event that arrived. */
  readonly isResumable: boolean;
  /** The longest time that a request is held. */
  readonly timeoutMs: number;
  /** Time to the whole answer, of a stream to its first event, within which it is in time. */
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that is in time; `undefined` when none is named. */
  readonly gapObjectiveMs: number | undefined;
  /** A caller that has heard nothing of a stream for so long leaves; `undefined` when that isn't known. */
  readonly callerTimeoutMs?: number | undefined;
  /** Rank, 0 first. */
  readonly priority: number;
  readonly split: readonly SplitShare[];
  /** Endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  readonly allowsAnonymous: boolean;
}

/** A model whose replicas span instances. */
export interface DeclaredModel {
  readonly name: string;
  readonly instancesPerReplica: number;
  /** Part of the service's work. */
  readonly share: number;
  /** Factor on all times of its replicas. */
  readonly pace: number;
  /** How long an instance takes to load it from the weight store. */
  readonly loadMs: number;
  /** How long an instance takes to load it from its own host. */
  readonly warmMs: number;
}

/** What is published of a service's engines. */
export interface EngineProfile {
  /** Requests that a replica works on at once. */
  readonly slots: number;
  readonly models: readonly DeclaredModel[];
  /** Loads that may begin in a second, over all instances. */
  readonly loadsPerSecond: number;
  /** Loads at a time past which each takes longer. */
  readonly concurrentLoads: number;
}

/** A service: plain, or one whose instances form replicas of models. */
export interface DeclaredService {
  readonly name: string;
  /** Connections that one instance takes from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineProfile | undefined;
}

/** An organisation with the keys by which its callers are known. */
export interface DeclaredOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number;
}

/** Bounds on what callers send. */
export interface DeclaredLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

/** A whole declaration. */
export interface Declaration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly DeclaredService[];
  /** `undefined` when callers need no key. */
  readonly organisations: readonly DeclaredOrganisation[] | undefined;
  readonly limits: DeclaredLimits;
}

/** The written form of declarations. */
export interface DeclarationFormat {
  /**
   * Reads and checks a document.
   * @throws InvalidDeclaration - When any part of it can't be used.
   */
  parse(document: Uint8Array): Declaration;
}
