/**
 * Detects that this entry reaches no endpoints although they work: its own links are lost.
 *
 * Two kinds of evidence are kept apart: answers of endpoints, and new connections to them. Connections may
 * live on while new ones fail. After a loss, single requests find out whether the links are back. Pure: times
 * are monotonic milliseconds given by the caller.
 */
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { ARRIVAL_TOLERANCE_MS, type EndpointFailure, FailureTrack } from "./FailureTrack";

/** Which endpoints of a service this entry reaches. */
export type LinkState =
  | "sound"
  /** New connections fail; those that are open still carry answers. */
  | "noConnections"
  /** Nothing arrives from any endpoint. */
  | "lost";

/** A failed attempt, as evidence about links. */
export interface LinkFailure extends EndpointFailure {
  /** Whether a new connection failed; otherwise one that had carried answers was silent or broke off. */
  readonly isNewConnection: boolean;
}

interface ServiceLinks {
  readonly answers: FailureTrack;
  readonly connections: FailureTrack;
  /** Since when new connections are accepted; `undefined` after one that failed. */
  connectableSince: number | undefined;
}

/** Endpoints that must fail while no other one answers. */
const MIN_SILENT_ENDPOINTS = 2;
/**
 * Endpoints to which new connections must fail. New connections are rare where open ones are reused, so that
 * more endpoints may crash between two that succeed.
 */
const MIN_UNCONNECTED_ENDPOINTS = 3;
/**
 * Time for which new connections must have been accepted before requests that may not be repeated also find
 * out whether answers arrive again. Until then only repeatable requests do.
 */
const TRIAL_OF_ALL_MS = 1_000;
/** A request that finds out whether answers arrive counts as failed without an answer for this time. */
const TRIAL_TIMEOUT_MS = 500;

/** Links of one entry to the endpoints of all services. */
export class LinkMonitor {
  private readonly _services = new Map<string, ServiceLinks>();
  private _trialAt = Number.NEGATIVE_INFINITY;

  /** Gets the state of the links to the endpoints of a service. */
  getState(service: string): LinkState {
    if (this._isFailing(service, "answers")) return "lost";
    return this._isFailing(service, "connections") ? "noConnections" : "sound";
  }

  /** Gets when it was detected that a service's links are lost; `undefined` while they are not. */
  getLossDetectedAt(service: string): number | undefined {
    if (this.getState(service) !== "lost") return undefined;
    const times = [...this._services.values()].map(
      ({ answers }) => answers.detectedAt ?? Number.POSITIVE_INFINITY,
    );
    return this._services.get(service)?.answers.detectedAt ?? Math.min(...times);
  }

  /** Gets whether the links to the endpoints of any service are not sound. */
  get hasLoss(): boolean {
    return [...this._services.keys()].some((service) => this.getState(service) !== "sound");
  }

  /** Gets the services none of whose endpoints answers. */
  get lostServices(): string[] {
    return [...this._services.keys()].filter((service) => this.getState(service) === "lost").sort();
  }

  /** Discards what is known of services that have no endpoints any more, since none of them can answer again. */
  retainServices(services: ReadonlySet<string>): void {
    for (const service of this._services.keys()) if (!services.has(service)) this._services.delete(service);
  }

  /** Gets the failures since the last success of a service's endpoints. */
  getFailures(service: string): readonly EndpointFailure[] {
    const links = this._services.get(service);
    return links === undefined ? [] : [...links.answers.failures, ...links.connections.failures];
  }

  /** Records that data arrived from an endpoint, over a new connection or one that had been used before. */
  addAnswer(now: number, { service }: Target, isNewConnection: boolean): void {
    const links = this._getLinks(service);
    links.answers.addSuccess(now);
    if (isNewConnection) links.connections.addSuccess(now);
  }

  /** Records that an endpoint accepted a new connection, over which nothing has arrived yet. */
  addConnection(now: number, { service }: Target): void {
    const links = this._getLinks(service);
    links.connectableSince ??= now;
    links.answers.addConnection();
    links.connections.addConnection();
  }

  /**
   * Records a failed attempt.
   * @param domainCount - Number of failure domains that have endpoints of the service.
   */
  addFailure(now: number, failure: LinkFailure, domainCount: number): void {
    const links = this._getLinks(failure.target.service);
    const wasFailing = links.answers.failingSince !== undefined;
    links.answers.addFailure(now, failure, domainCount);
    // What was accepted before the loss says nothing about now.
    if (!wasFailing && links.answers.failingSince !== undefined) links.connectableSince = undefined;
    if (!failure.isNewConnection) return;
    links.connections.addFailure(now, failure, domainCount);
    links.connectableSince = undefined;
  }

  /** Checks whether endpoints of a service accept new connections, as far as this entry has tried. */
  canConnect(service: string): boolean {
    return this._getLinks(service).connectableSince !== undefined;
  }

  /**
   * Checks whether a request may find out now whether endpoints answer again. One request at a time may.
   * @param isRepeatable - Whether the request may be sent to another endpoint if it gets no answer.
   */
  mayTry(now: number, service: string, isRepeatable: boolean): boolean {
    const { connectableSince } = this._getLinks(service);
    if (connectableSince === undefined || now - this._trialAt < TRIAL_TIMEOUT_MS) return false;
    return isRepeatable || now - connectableSince >= TRIAL_OF_ALL_MS;
  }

  /** Records that a request was sent to find out whether endpoints answer again. */
  addTrial(now: number): void {
    this._trialAt = now;
  }

  /**
   * A service with few requests also counts as failing when no endpoint of any service has succeeded since
   * another service's endpoints began to fail.
   */
  private _isFailing(service: string, kind: "answers" | "connections"): boolean {
    const own = this._services.get(service)?.[kind];
    if (own?.failingSince !== undefined) return true;
    const tracks = [...this._services.values()].map((links) => links[kind]);
    const lastSuccessAt = Math.max(...tracks.map((track) => track.lastSuccessAt)) - ARRIVAL_TOLERANCE_MS;
    return tracks.some(({ failingSince }) => failingSince !== undefined && failingSince >= lastSuccessAt);
  }

  private _getLinks(service: string): ServiceLinks {
    const existing = this._services.get(service);
    if (existing !== undefined) return existing;
    const links = {
      answers: new FailureTrack(MIN_SILENT_ENDPOINTS),
      connections: new FailureTrack(MIN_UNCONNECTED_ENDPOINTS),
      connectableSince: undefined,
    };
    this._services.set(service, links);
    return links;
  }
}
