/**
 * Fifth filter, for services: sends a call to one endpoint and relays its answer.
 *
 * The rules are those of model requests: a call is attempted again only if it is repeatable or provably did
 * not run, and never after the first byte of an answer. An endpoint's answer is relayed with any status.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../../clock";
import type { RandomSource } from "../../consensus";
import type { ServiceEndpoint } from "../../gen/ploverstage/v1/control_pb";
import { checkServerRuns, type HttpClient } from "../../http";
import type { EntryLease } from "../../leases";
import { type Candidate, EndpointPool, LeastWorkPlacement, RetryBudget, type Work } from "../../routing";
import { ANSWER_HEADER } from "../AnswerWriter";
import type { Claims } from "../Claims";
import type { ActiveConfiguration, ClusterView } from "../ClusterView";
import type { Failure } from "../failures";
import { Refusal } from "../Refusal";
import type { ClassifiedRequest, ServiceCall } from "../requests";
import type { Admission, Placer } from "./Admission";
import { passOnAnswer } from "./passOnAnswer";
import { runAttempts } from "./runAttempts";

/** A classified service call. */
export type ServiceRequest = ClassifiedRequest & { readonly call: ServiceCall };

export interface ServiceResult {
  readonly instanceId: string;
  readonly status: number;
  readonly retries: number;
}

export interface ServiceDispatchOptions {
  readonly clock: Clock;
  readonly view: ClusterView;
  readonly admission: Admission;
  readonly claims: Claims;
  readonly lease: EntryLease;
  readonly client: HttpClient;
  readonly random: RandomSource;
}

interface ServiceRoute {
  readonly endpoint: ServiceEndpoint;
  readonly work: Work;
}

/** Headers that apply to one connection and are not forwarded (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
  "content-length",
]);
const NOT_RUN_RETRY_MS = 500;

/** Runs service calls. */
export class ServiceDispatch {
  private readonly _options: ServiceDispatchOptions;
  private readonly _retryBudget = new RetryBudget();
  private readonly _pool = new EndpointPool();
  private readonly _placement = new LeastWorkPlacement();

  /** @param options - Clock, view, client and the other components of the entry. */
  constructor(options: ServiceDispatchOptions) {
    this._options = options;
  }

  /** Removes endpoints that are no longer in the view. */
  updateEndpoints(): void {
    this._pool.retain(this._options.view.getServiceInstanceIds());
  }

  /**
   * Runs a call to completion.
   * @param signal - Aborted when the caller disconnects.
   * @throws Refusal - If the answer is not complete.
   */
  async run(
    request: ServiceRequest,
    active: ActiveConfiguration,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<ServiceResult> {
    const { limits } = active.declared;
    this._retryBudget.addRequest(limits.retryRatio);
    const excluded = new Set<string>();
    const placer = this._createPlacer(active, excluded);
    const { result, retries } = await runAttempts<ServiceRoute, Omit<ServiceResult, "retries">>({
      admit: () => this._options.admission.admit(request, placer, limits.queueLength, signal),
      attempt: async (route) => {
        await this._options.claims.claimOnce(request);
        const status = await this._attempt(request, route, active, response, signal).catch(
          (cause: unknown) => {
            throw signal.aborted ? signal.reason : cause;
          },
        );
        return { instanceId: route.endpoint.instanceId, status };
      },
      recordFailure: (route, failure) => {
        const end = failure.isEndpointFault ? "failed" : "cancelled";
        route.work.end(this._options.clock.getMonotonicMs(), end);
        excluded.add(route.endpoint.instanceId);
      },
      mayRetry: (failure) => this._mayRetry(request, failure, response),
    });
    return { ...result, retries };
  }

  private _mayRetry(request: ServiceRequest, failure: Failure, response: ServerResponse): boolean {
    const mayRepeat = failure.wasNotRun || request.isRepeatable;
    if (!mayRepeat || !failure.isEndpointFault || response.headersSent) return false;
    return this._retryBudget.takeRetry();
  }

  private async _attempt(
    request: ServiceRequest,
    route: ServiceRoute,
    active: ActiveConfiguration,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<number> {
    const { call } = request;
    const { connect, idle } = active.declared.limits;
    const answer = await this._options.client.send({
      method: call.method,
      address: route.endpoint.address,
      path: call.path,
      headers: createRequestHeaders(request),
      body: call.body.length === 0 ? undefined : call.body,
      connectMs: connect,
      idleMs: idle,
      signal,
      isFresh: !request.isRepeatable,
      beforeSend: () => this._throwIfNotAllowed(request, route),
    });
    route.work.addProgress(this._options.clock.getMonotonicMs(), 0);
    await passOnAnswer(response, {
      incoming: answer,
      headers: createAnswerHeaders(answer, request, route.endpoint),
      address: route.endpoint.address,
      checkEnd: () => this._checkEnd(route.endpoint),
    });
    this._finish(request, route.work);
    return answer.statusCode ?? 0;
  }

  /**
   * Checks that the endpoint of an answer without a length still runs, unless it had announced its end.
   * @throws LostAnswer - When it has ended, so that the answer may have been cut.
   */
  private async _checkEnd({ service, instanceId, address }: ServiceEndpoint): Promise<void> {
    const { client, view } = this._options;
    const current = view.getServiceEndpoints(service);
    if (!current.some((endpoint) => endpoint.instanceId === instanceId)) return;
    await checkServerRuns(client, address);
  }

  private _finish(request: ServiceRequest, work: Work): void {
    const now = this._options.clock.getMonotonicMs();
    work.end(now, "answered");
    this._options.admission.addCompletion(request, request.cost, now - work.startedAt);
  }

  private _throwIfNotAllowed(request: ServiceRequest, route: ServiceRoute): void {
    const now = this._options.clock.getMonotonicMs();
    if (!this._options.lease.isHeld(now))
      throw createNotRunRefusal("lease_lapsed", "the lease of this entry has expired");
    if (now >= request.deadlineAt)
      throw createNotRunRefusal("deadline_expired", "the deadline of the request has passed");
    const current = this._options.view.getServiceEndpoints(request.target);
    if (current.some((endpoint) => endpoint.instanceId === route.endpoint.instanceId)) return;
    throw createNotRunRefusal("no_endpoint", `${route.endpoint.instanceId} is no longer available`);
  }

  private _createPlacer(active: ActiveConfiguration, excluded: ReadonlySet<string>): Placer<ServiceRoute> {
    return {
      unavailableCode: "no_endpoint",
      tryPlace: (now, request) => this._tryPlace(now, request, active, excluded),
      getSlots: (now, target) => {
        const endpoints = this._getAvailableEndpoints(now, target, excluded);
        return endpoints.reduce((sum, endpoint) => sum + this._getLimit(now, endpoint, active), 0);
      },
      hasEndpoint: (now, target) => this._getAvailableEndpoints(now, target, excluded).length > 0,
    };
  }

  private _tryPlace(
    now: number,
    request: ClassifiedRequest,
    active: ActiveConfiguration,
    excluded: ReadonlySet<string>,
  ): ServiceRoute | undefined {
    const endpoints = this._getAvailableEndpoints(now, request.target, excluded);
    const candidates = endpoints.map((endpoint) => this._createCandidate(now, endpoint, active));
    const chosen = this._placement.choose(candidates, 0, this._options.random);
    const endpoint = endpoints.find((candidate) => candidate.instanceId === chosen?.replicaId);
    if (endpoint === undefined) return undefined;
    return { endpoint, work: this._pool.startWork(now, endpoint.instanceId, request.cost) };
  }

  private _getAvailableEndpoints(
    now: number,
    service: string,
    excluded: ReadonlySet<string>,
  ): ServiceEndpoint[] {
    return this._options.view
      .getServiceEndpoints(service)
      .filter(
        (endpoint) => !excluded.has(endpoint.instanceId) && this._pool.isAvailable(now, endpoint.instanceId),
      );
  }

  private _getLimit(now: number, endpoint: ServiceEndpoint, active: ActiveConfiguration): number {
    const { slowStartShare } = this._pool.getFacts(now, endpoint.instanceId);
    const share = this._options.view.concurrencyShare * slowStartShare;
    return Math.max(1, Math.floor(active.declared.limits.serviceConcurrency * share));
  }

  private _createCandidate(now: number, endpoint: ServiceEndpoint, active: ActiveConfiguration): Candidate {
    const facts = this._pool.getFacts(now, endpoint.instanceId);
    return {
      replicaId: endpoint.instanceId,
      ownRequests: facts.requests,
      ownLimit: this._getLimit(now, endpoint, active),
      ownTokens: facts.tokens,
      reportedTokens: 0,
      ownTokensAtReport: 0,
      heldTokens: 0,
      slowness: 1,
    };
  }
}

function createNotRunRefusal(
  code: "lease_lapsed" | "deadline_expired" | "no_endpoint",
  reason: string,
): Refusal {
  return new Refusal({ code, outcome: "not-run", reason, retryAfterMs: NOT_RUN_RETRY_MS });
}

function createRequestHeaders(request: ServiceRequest): IncomingHttpHeaders {
  const headers = removeHopByHopHeaders(request.call.headers);
  headers[ANSWER_HEADER.requestId] = request.id;
  if (request.call.body.length > 0) headers["content-length"] = String(request.call.body.length);
  return headers;
}

function removeHopByHopHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const listed = (headers.connection ?? "").split(",").map((name) => name.trim().toLowerCase());
  const removed = new Set([...HOP_BY_HOP_HEADERS, ...listed]);
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !removed.has(name)));
}

/** Creates the head of an answer from the one of its endpoint. */
function createAnswerHeaders(
  { headers: received }: IncomingMessage,
  request: ServiceRequest,
  endpoint: ServiceEndpoint,
): IncomingHttpHeaders {
  const headers = removeHopByHopHeaders(received);
  const length = received["content-length"];
  if (length !== undefined) headers["content-length"] = length;
  headers[ANSWER_HEADER.requestId] = request.id;
  headers[ANSWER_HEADER.replica] = endpoint.instanceId;
  headers[ANSWER_HEADER.outcome] = "done";
  return headers;
}
