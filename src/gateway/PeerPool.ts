/**
 * Other entries to which this entry may relay requests, with their load and failures as observed by this
 * entry. Pure: times are monotonic milliseconds given by the caller.
 */
import { create } from "@bufbuild/protobuf";
import type { RandomSource } from "../consensus";
import { type EntryEndpoint, type Target, TargetSchema } from "../gen/ploverstage/v1/fleet_pb";

/** Criteria for choosing a peer. */
export interface PeerRequest {
  readonly service: string;
  readonly model: string;
  /** Ids of the peers that the request has already been sent to. */
  readonly excluded: ReadonlySet<string>;
}

interface PeerState {
  endpoint: EntryEndpoint;
  inFlight: number;
  /** Until when the peer is avoided, by service. */
  readonly avoidedUntil: Map<string, number>;
  /** When data for any request last arrived from the peer. */
  lastActivityAt: number;
}

/** How long a peer is avoided after it failed or refused a request that did not run. */
const AVOIDANCE_MS = 500;
/** Random part of a load, smaller than one request. */
const TIE_BREAK = 1e-3;
const ID_PREFIX = "peer:";
const NEVER = Number.NEGATIVE_INFINITY;

/** Checks whether a target is another entry. */
export function isPeer({ id }: Target): boolean {
  return id.startsWith(ID_PREFIX);
}

/** Peers of one entry and the requests that it relays to them. */
export class PeerPool {
  private readonly _peers = new Map<string, PeerState>();
  private readonly _random: RandomSource;

  /** @param random - Breaks ties, so that different entries choose different peers. */
  constructor(random: RandomSource) {
    this._random = random;
  }

  /** Gets whether no peer is known. */
  get isEmpty(): boolean {
    return this._peers.size === 0;
  }

  /** Replaces the peers; the state of peers that remain is retained. */
  setPeers(endpoints: readonly EntryEndpoint[]): void {
    const ids = new Set(endpoints.map(getPeerId));
    for (const id of this._peers.keys()) if (!ids.has(id)) this._peers.delete(id);
    for (const endpoint of endpoints) {
      const existing = this._peers.get(getPeerId(endpoint));
      if (existing !== undefined) existing.endpoint = endpoint;
      else
        this._peers.set(getPeerId(endpoint), {
          endpoint,
          inFlight: 0,
          avoidedUntil: new Map(),
          lastActivityAt: NEVER,
        });
    }
  }

  /** Chooses the peer with the fewest relayed requests in flight; `undefined` when none may be used now. */
  choosePeer(now: number, { service, model, excluded }: PeerRequest): Target | undefined {
    let best: PeerState | undefined;
    let bestLoad = Number.POSITIVE_INFINITY;
    for (const [id, peer] of this._peers) {
      if (excluded.has(id) || !isUsable(now, peer, service)) continue;
      const load = peer.inFlight + this._random.next() * TIE_BREAK;
      if (load >= bestLoad) continue;
      best = peer;
      bestLoad = load;
    }
    return best === undefined ? undefined : createTarget(best.endpoint, service, model);
  }

  /** Records the start of a relayed request. Returns a function that records its end. */
  startRequest(id: string): () => void {
    const peer = this._peers.get(id);
    if (peer === undefined) return () => {};
    peer.inFlight += 1;
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      peer.inFlight -= 1;
    };
  }

  /** Records that data arrived from a peer. */
  addActivity(now: number, id: string): void {
    const peer = this._peers.get(id);
    if (peer !== undefined) peer.lastActivityAt = now;
  }

  /**
   * Records that a relayed request has been idle. A peer that sent data for other requests meanwhile works: the
   * request waits at one of its endpoints.
   */
  addIdle(now: number, peer: Target, idleMs: number): void {
    const lastActivityAt = this._peers.get(peer.id)?.lastActivityAt ?? NEVER;
    if (lastActivityAt <= now - idleMs) this.addFailure(now, peer);
  }

  /** Records that a peer failed, or refused a request that did not run. */
  addFailure(now: number, { id, service }: Target): void {
    this._peers.get(id)?.avoidedUntil.set(service, now + AVOIDANCE_MS);
  }
}

function isUsable(now: number, { endpoint, avoidedUntil }: PeerState, service: string): boolean {
  return !endpoint.lostServices.includes(service) && (avoidedUntil.get(service) ?? now) <= now;
}

function getPeerId({ peerAddress }: EntryEndpoint): string {
  return `${ID_PREFIX}${peerAddress}`;
}

function createTarget(endpoint: EntryEndpoint, service: string, model: string): Target {
  return create(TargetSchema, {
    id: getPeerId(endpoint),
    service,
    model,
    address: endpoint.peerAddress,
    failureDomain: endpoint.failureDomain,
  });
}
