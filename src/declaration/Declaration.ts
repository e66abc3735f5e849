/**
 * Declarations of routes, services and organisations. Operators choose their version numbers.
 *
 * Times are in milliseconds, weights are ratios, and sizes are in bytes.
 */

/** Specifies whether requests of a route may run more than once, and whether they stream. */
export type RouteKind = "repeatable" | "notRepeatable" | "stream";

/** A service's share of the requests of a route. */
export interface SplitShare {
  readonly service: string;
  readonly weight: number;
}

/** A route for requests to one host below one path. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may be resumed at another endpoint after the last received event. */
  readonly isResumable: boolean;
  /** Maximum time until a request ends, including queueing. */
  readonly timeoutMs: number;
  /** Latency objective: the time to the complete answer, or to the first event of a stream. */
  readonly objectiveMs: number;
  /** Objective for the longest gap between two events of a stream; `undefined` if none is declared. */
  readonly gapObjectiveMs: number | undefined;
  /** Time without an event after which callers abandon a stream; `undefined` if unknown. */
  readonly callerTimeoutMs?: number | undefined;
  /** Priority rank; 0 is served first. */
  readonly priority: number;
  readonly split: readonly SplitShare[];
  /** Maximum number of endpoints to which one request is sent. */
  readonly maxAttempts: number;
  readonly allowsAnonymous: boolean;
}

/** A model whose replicas consist of several instances. */
export interface DeclaredModel {
  readonly name: string;
  readonly instancesPerReplica: number;
  /** Fraction of the service's work. */
  readonly share: number;
  /** Factor that scales all durations of the model's replicas. */
  readonly pace: number;
  /** Time that an instance takes to load the model from the weight store. */
  readonly loadMs: number;
  /** Time that an instance takes to load the model from its own host. */
  readonly warmMs: number;
}

/** Published properties of a service's engines. */
export interface EngineProfile {
  /** Number of requests that a replica runs concurrently. */
  readonly slots: number;
  readonly models: readonly DeclaredModel[];
  /** Maximum number of loads that start per second, over all instances. */
  readonly loadsPerSecond: number;
  /** Number of concurrent loads above which each load takes longer. */
  readonly concurrentLoads: number;
}

/** A service: a plain one, or one whose instances form replicas of models. */
export interface DeclaredService {
  readonly name: string;
  /** Maximum number of connections that an instance accepts from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineProfile | undefined;
}

/** An organisation and the API keys that identify its callers. */
export interface DeclaredOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number;
}

/** Limits on requests of callers. */
export interface DeclaredLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

export interface Declaration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly DeclaredService[];
  /** `undefined` if callers need no key. */
  readonly organisations: readonly DeclaredOrganisation[] | undefined;
  readonly limits: DeclaredLimits;
}

/** A document format of declarations. */
export interface DeclarationFormat {
  /**
   * Parses and validates a document.
   * @throws InvalidDeclaration - If any part of the document is invalid.
   */
  parse(document: Uint8Array): Declaration;
}
