/**
 * Chooses where a request is sent: to an endpoint, or to another entry while this entry's links to endpoints
 * are lost.
 *
 * Callers that hold this entry's address still reach it, so refusing them here would fail requests that other
 * entries can serve. Pure: times are monotonic milliseconds given by the caller.
 */
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import type { SentAttempt } from "./Attempt";
import type { LinkFailure, LinkMonitor, LinkState } from "./LinkMonitor";
import { isPeer, type PeerPool, type PeerRequest } from "./PeerPool";
import type { TargetPool } from "./TargetPool";

/** Criteria for choosing a destination. */
export interface DestinationRequest extends PeerRequest {
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether the request may be relayed to another entry. */
  readonly mayRelay: boolean;
}

export interface DestinationChooserOptions {
  readonly pool: TargetPool;
  readonly peers: PeerPool;
  readonly links: LinkMonitor;
  /** Checks whether an idle connection to an address is open. */
  readonly hasIdleConnection: (address: string) => boolean;
  /** Gets how late this process ran recently, milliseconds. */
  readonly getLagMs: () => number;
  /** Called when the state of the links to a service's endpoints changes. */
  readonly onLinkChange: (now: number, service: string, state: LinkState) => void;
}

/** Failures observed by a process that ran later than this are no evidence about links. */
const MAX_LAG_MS = 250;

/** Chooses the destinations of one entry's requests. */
export class DestinationChooser {
  private readonly _options: DestinationChooserOptions;
  /** The last state of each service that was reported. */
  private readonly _states = new Map<string, LinkState>();

  /** @param options - Endpoints, peers and links. */
  constructor(options: DestinationChooserOptions) {
    this._options = options;
  }

  /** Gets the state of the links to the endpoints of a service. */
  getState(service: string): LinkState {
    return this._options.links.getState(service);
  }

  /**
   * Checks whether lost links explain that an attempt broke off and its endpoint refuses connections. They do
   * not when the endpoint accepted a new connection for it after the loss was detected.
   */
  explainsBreak({ target, startedAt, isNewConnection }: SentAttempt): boolean {
    const detectedAt = this._options.links.getLossDetectedAt(target.service);
    if (detectedAt === undefined) return false;
    return !isNewConnection || startedAt < detectedAt;
  }

  /** Chooses an endpoint or a peer; `undefined` when there is none. */
  choose(now: number, request: DestinationRequest): Target | undefined {
    const { links, pool, hasIdleConnection } = this._options;
    const state = links.getState(request.service);
    if (state === "sound") return pool.chooseTarget(now, request);
    if (state === "noConnections") {
      const isUsable = ({ address }: Target) => hasIdleConnection(address);
      const connected = pool.chooseTarget(now, { ...request, isUsable });
      if (connected !== undefined) return connected;
    }
    if (!request.mayRelay) return undefined;
    return links.mayTry(now, request.service, request.isRepeatable)
      ? pool.chooseTarget(now, request)
      : this._choosePeer(now, request);
  }

  /** Records that a request is sent; one that is sent to an endpoint without links finds out about them. */
  addAttempt(now: number, target: Target): void {
    const { links, hasIdleConnection } = this._options;
    if (isPeer(target)) return;
    const state = this.getState(target.service);
    const isTrial = state === "noConnections" ? !hasIdleConnection(target.address) : state === "lost";
    if (isTrial) links.addTrial(now);
  }

  /** Records that data arrived from an endpoint, over a new connection or one that had been used before. */
  addAnswer(now: number, target: Target, isNewConnection: boolean): void {
    this._options.links.addAnswer(now, target, isNewConnection);
    this._reportChange(now, target.service);
  }

  /** Records that an endpoint accepted a new connection, over which nothing has arrived yet. */
  addConnection(now: number, target: Target): void {
    this._options.links.addConnection(now, target);
  }

  /** Records a failed attempt at an endpoint. */
  addFailure(now: number, failure: LinkFailure): void {
    const { links, pool, getLagMs } = this._options;
    const { service } = failure.target;
    // Data that arrived meanwhile has not been processed yet.
    if (getLagMs() > MAX_LAG_MS) return;
    links.addFailure(now, failure, pool.countDomains(service));
    this._reportChange(now, service);
  }

  /** Checks whether there is a peer that may be chosen for a request. */
  hasPeer(now: number, request: PeerRequest): boolean {
    return this._options.peers.choosePeer(now, request) !== undefined;
  }

  /** Records that a request is relayed to a peer. Returns a function that records its end. */
  startRelay(peer: Target): () => void {
    return this._options.peers.startRequest(peer.id);
  }

  /** Records that data arrived from a peer. */
  addPeerActivity(now: number, { id }: Target): void {
    this._options.peers.addActivity(now, id);
  }

  /** Records that a relayed request has been idle. */
  addPeerIdle(now: number, peer: Target, idleMs: number): void {
    this._options.peers.addIdle(now, peer, idleMs);
  }

  /** Records that a peer failed, or refused a request that did not run. */
  addPeerFailure(now: number, peer: Target): void {
    this._options.peers.addFailure(now, peer);
  }

  /** An entry without peers, or whose endpoints accept connections, still sends requests to endpoints. */
  private _choosePeer(now: number, request: DestinationRequest): Target | undefined {
    const { links, peers, pool } = this._options;
    const peer = peers.choosePeer(now, request);
    if (peer !== undefined) return peer;
    const mayBeReachable = peers.isEmpty || links.canConnect(request.service);
    return mayBeReachable ? pool.chooseTarget(now, request) : undefined;
  }

  private _reportChange(now: number, service: string): void {
    const state = this.getState(service);
    if (state === (this._states.get(service) ?? "sound")) return;
    this._states.set(service, state);
    this._options.onLinkChange(now, service, state);
  }
}
