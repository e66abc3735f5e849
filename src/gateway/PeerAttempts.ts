/** The attempts of one request at other entries, to which this entry relays it. */
import type { IncomingMessage } from "node:http";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import type { AttemptFailure } from "./Attempt";
import type { AttemptGrant } from "./AttemptState";
import type { DestinationChooser } from "./DestinationChooser";
import type { ExchangeRequest } from "./ExchangeRequest";
import type { GatewayRefusal } from "./GatewayRefusal";
import {
  formatRelay,
  RELAY_REQUEST_HEADER,
  RELAY_SECRET_HEADER,
  type RelayedAnswer,
  readRelayedAnswer,
} from "./relay";
import { mayRepeat } from "./timeouts";

export interface PeerAttemptsOptions {
  readonly request: ExchangeRequest;
  readonly destinations: DestinationChooser;
  /** Shared by all entries; `undefined` where none is configured. */
  readonly secret: string | undefined;
}

/** Relayed attempts of one request. */
export class PeerAttempts {
  private readonly _options: PeerAttemptsOptions;
  /** Peers that sent the head of an answer. */
  private readonly _answeredIds = new Set<string>();
  private _refusal: GatewayRefusal | undefined;
  private _servedBy: string | undefined;
  private _isCounted = false;

  /** @param options - The request, and what is known of peers. */
  constructor(options: PeerAttemptsOptions) {
    this._options = options;
  }

  /** Gets the final refusal by a peer; `undefined` when none has refused the request finally. */
  get refusal(): GatewayRefusal | undefined {
    return this._refusal;
  }

  /** Gets the address of the entry that answered for this one; `undefined` when none did. */
  get servedBy(): string | undefined {
    return this._servedBy;
  }

  /** Records that the request was counted for the retry budget. */
  setCounted(): void {
    this._isCounted = true;
  }

  /** Records a final refusal by a peer; no further attempt is made. */
  setRefusal(refusal: GatewayRefusal): void {
    this._refusal = refusal;
  }

  /** Records that a peer completed its answer. */
  addSuccess({ address }: Target): void {
    this._servedBy = address;
  }

  /**
   * Decides what the next peer may do with the request. While a further peer may be asked, one attempt is kept
   * for it: what a peer that does not answer was granted stays taken, because it may have used it.
   * @param takenCount - Number of attempts of the route that are taken.
   * @param triedIds - Peers that have been chosen, including this one.
   */
  createGrant(now: number, takenCount: number, triedIds: ReadonlySet<string>): AttemptGrant {
    const { request, destinations } = this._options;
    const { service, call, route } = request;
    const left = Math.max(0, route.maxAttempts - takenCount);
    const hasOther = destinations.hasPeer(now, { service, model: call.model, excluded: triedIds });
    return {
      attempts: left > 1 && mayRepeat(route) && hasOther ? left - 1 : left,
      mayResume: route.kind === "stream" && route.isResumable,
    };
  }

  /**
   * Creates the headers of the request: those of the caller and the state of the exchange.
   * @param isRepeat - Whether endpoints may have received the request before, or still may.
   * @param lastEventId - Id of the event after which a stream continues.
   */
  createHeaders(
    now: number,
    { attempts }: AttemptGrant,
    isRepeat: boolean,
    lastEventId: string | undefined,
  ): string[] {
    const { request, secret } = this._options;
    const relayed = formatRelay({
      leftMs: Math.max(0, request.deadlineAt - now),
      ageMs: now - request.firstRequestedAt,
      attempts,
      ...(lastEventId === undefined ? {} : { lastEventId }),
      isCounted: this._isCounted,
      isRepeat: isRepeat || request.isRepeat,
    });
    const secretHeaders = secret === undefined ? [] : [RELAY_SECRET_HEADER, secret];
    return [...request.headers, RELAY_REQUEST_HEADER, relayed, ...secretHeaders];
  }

  /**
   * Reads how a peer answered.
   * @throws InvalidRelay
   */
  readAnswer({ id }: Target, incoming: IncomingMessage): RelayedAnswer {
    try {
      const relayed = readRelayedAnswer(incoming.headers);
      this._answeredIds.add(id);
      return relayed;
    } catch (cause) {
      incoming.destroy();
      throw cause;
    }
  }

  /** Records a failed attempt. A peer without retries left still runs requests that are sent for the first time. */
  addFailure(now: number, peer: Target, failure: AttemptFailure): void {
    if (failure.lacksRetry === true) return;
    const hasHead = this._answeredIds.has(peer.id);
    const hasRefusedOnce = failure.wasNotRun && this._refusal === undefined;
    if (!hasHead || hasRefusedOnce) this._options.destinations.addPeerFailure(now, peer);
  }
}
