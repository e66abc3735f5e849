/** The HTTP server for callers. Passes each request through the filters in order. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Clock } from "../clock";
import type { RandomSource } from "../consensus";
import { Connections, listen } from "../http";
import type { EntryLease } from "../leases";
import type { Metrics } from "../metrics";
import type { LoadFacts } from "../policy";
import { handleHealthRequest } from "../process";
import { type BodyReservation, createHttpServer, type MemoryBudget } from "../server";
import { createAnswerWriter, writeRefusal } from "./AnswerWriter";
import type { Claims } from "./Claims";
import type { ActiveConfiguration, ClusterView } from "./ClusterView";
import {
  type Admission,
  acceptRequest,
  classifyRequest,
  identifyRequest,
  type ModelDispatch,
  type ModelRequest,
  type RequestRecord,
  type RequestRecorder,
  type ServiceDispatch,
  type ServiceRequest,
} from "./filters";
import { MeanTokens } from "./MeanTokens";
import { Refusal } from "./Refusal";
import type { ReplicaRouter } from "./ReplicaRouter";
import type { ClassifiedRequest, IdentifiedRequest } from "./requests";

export interface EntryServerOptions {
  /** host:port */
  readonly listen: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly view: ClusterView;
  readonly lease: EntryLease;
  readonly router: ReplicaRouter;
  readonly admission: Admission;
  readonly claims: Claims;
  readonly modelDispatch: ModelDispatch;
  readonly serviceDispatch: ServiceDispatch;
  readonly requestRecorder: RequestRecorder;
  /** Memory for the bodies of all requests. */
  readonly memory: MemoryBudget;
  readonly metrics: Metrics;
  /** Maximum number of callers' connections. */
  readonly maxConnections: number;
}

/** The part of a request record that the dispatch filter determines. */
type DispatchResult = Omit<RequestRecord, "request" | "refusal">;

const MAX_HEADER_BYTES = 16_384;
const KEEP_ALIVE_MS = 30_000;
const UNAVAILABLE_RETRY_MS = 1_000;
const EXPIRED_LEASE_TTL_MS = 1_000;
/** Refusals after which the rest of the body must not be parsed as the next request. */
const ENDING_CODES: ReadonlySet<string> = new Set(["body_too_large", "slow_body"]);
const NOT_DISPATCHED: DispatchResult = {
  servedBy: "",
  epoch: 0,
  firstTokenMs: undefined,
  tokens: 0,
  retries: 0,
};

/**
 * Bytes that a request takes for each byte of its body: the body, its text, the prompt in it, and the body that is
 * sent to the endpoint.
 */
const COST_PER_BYTE = 4;
/** Maximum time for which callers that keep opening connections can delay a stop, milliseconds. */
const MAX_STOP_DELAY_MS = 500;

/** The HTTP server of one entry. */
export class EntryServer {
  private readonly _options: EntryServerOptions;
  private readonly _server: Server;
  private readonly _connections: Connections;
  private readonly _meanTokens = new MeanTokens();
  private _requestCount = 0;
  private _isStopping = false;

  /** @param options - The components of the entry. */
  constructor(options: EntryServerOptions) {
    this._options = options;
    this._server = createHttpServer({ maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: KEEP_ALIVE_MS });
    this._connections = new Connections(this._server, () => options.clock.getMonotonicMs(), {
      maxConnections: options.maxConnections,
      endSlowest: (now) => options.memory.endSlowest(now),
      onFull: () => options.metrics.increment("connections_full", 1, { server: "entry" }),
    });
    this._server.on("request", (request, response) => void this._handle(request, response));
  }

  /** Gets the number of requests in progress, including queued ones. */
  get requestCount(): number {
    return this._requestCount;
  }

  async start(): Promise<void> {
    await listen(this._server, this._options.listen);
  }

  /** Closes each connection after its next answer. The server still accepts requests. */
  announceStop(): void {
    this._isStopping = true;
    this._connections.announceClose();
  }

  /** Stops listening. Resolves once all answers are complete and no caller uses its connection any more. */
  async stop(): Promise<void> {
    await this._connections.drain(MAX_STOP_DELAY_MS);
    this._server.close();
  }

  /** Gets the reason why the entry is not ready, or `undefined` if it is ready. */
  getUnreadyReason(): string | undefined {
    const { lease, view, clock } = this._options;
    if (this._isStopping) return "the entry is stopping";
    if (view.configuration === undefined) return "the entry has no active configuration";
    return lease.isHeld(clock.getMonotonicMs()) ? undefined : "the lease of the entry has expired";
  }

  private async _handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    if (incoming.method === "GET" && this._answerQuery(incoming.url ?? "", response)) return;
    this._requestCount += 1;
    // The organisation is known after the body has been read; until then all share the room of one.
    const owner = { organisation: undefined, isRepeatable: true, costPerByte: COST_PER_BYTE };
    const reservation = this._options.memory.open(owner);
    try {
      await this._run(incoming, response, reservation);
    } finally {
      reservation.release(this._options.clock.getMonotonicMs());
      this._requestCount -= 1;
      this._options.admission.update();
    }
  }

  /**
   * Answers health, address and model queries, which need no endpoint. Returns whether the URL is one of
   * them.
   */
  private _answerQuery(url: string, response: ServerResponse): boolean {
    if (handleHealthRequest(url, response, () => this.getUnreadyReason())) return true;
    if (url === "/v1/addresses") sendJson(response, this._createAddresses());
    else if (url === "/v1/models") sendJson(response, this._createModelList());
    else return false;
    return true;
  }

  /** The order of the addresses is random, so callers that use the first one spread over all entries. */
  private _createAddresses() {
    const { view, clock, lease, random } = this._options;
    const addresses = view.entries.map((entry) => ({ ...toAddressJson(entry), order: random.next() }));
    const ttlMs = view.configuration?.declared.timing.addressTtl ?? EXPIRED_LEASE_TTL_MS;
    return {
      addresses: addresses.sort((a, b) => a.order - b.order).map(({ order: _, ...address }) => address),
      ttl_ms: lease.isHeld(clock.getMonotonicMs()) ? ttlMs : Math.min(ttlMs, EXPIRED_LEASE_TTL_MS),
    };
  }

  private _createModelList() {
    const models = this._options.view.configuration?.declared.models ?? [];
    const names = models.flatMap((model) => [
      model.name,
      ...model.adapters.map((name) => `${model.name}/${name}`),
    ]);
    return { object: "list", data: names.map((id) => ({ id, object: "model", owned_by: "ploverstage" })) };
  }

  private async _run(
    incoming: IncomingMessage,
    response: ServerResponse,
    reservation: BodyReservation,
  ): Promise<void> {
    const receivedAt = this._options.clock.getMonotonicMs();
    let request: ClassifiedRequest | undefined;
    let refusal: Refusal | undefined;
    let dispatchResult = NOT_DISPATCHED;
    try {
      const active = this._getActiveOrThrow();
      const accepted = await acceptRequest(receivedAt, incoming, active.declared.limits, {
        reservation,
        getNow: () => this._options.clock.getMonotonicMs(),
      });
      const identified = identifyRequest(accepted, active.declared);
      this._throwIfLeaseExpired();
      request = this._classify(identified, active);
      dispatchResult = await this._dispatch(request, active, response);
    } catch (cause) {
      refusal = toRefusal(cause);
      if (ENDING_CODES.has(refusal.code)) response.setHeader("connection", "close");
      this._writeRefusal(response, refusal, request?.id ?? "");
    }
    if (request !== undefined) this._recordResult({ request, refusal, ...dispatchResult }, response);
  }

  private _getActiveOrThrow(): ActiveConfiguration {
    const active = this._options.view.configuration;
    if (active !== undefined) return active;
    const reason = "this entry has no active configuration";
    throw new Refusal({
      code: "control_unreachable",
      outcome: "not-run",
      reason,
      retryAfterMs: UNAVAILABLE_RETRY_MS,
    });
  }

  private _throwIfLeaseExpired(): void {
    if (this._options.lease.isHeld(this._options.clock.getMonotonicMs())) return;
    const reason = "the lease of this entry has expired; use another address";
    throw new Refusal({
      code: "lease_lapsed",
      outcome: "not-run",
      reason,
      retryAfterMs: UNAVAILABLE_RETRY_MS,
    });
  }

  private _classify(request: IdentifiedRequest, active: ActiveConfiguration): ClassifiedRequest {
    const { clock, admission } = this._options;
    const now = clock.getMonotonicMs();
    return classifyRequest(now, request, active, {
      wallMs: clock.getWallMs(),
      load: this._getLoad(now, request, active),
      organisationQueued: admission.getOrganisationQueueLength(request.organisation.name),
      getMeanTokens: (className) => this._meanTokens.getMean(className),
    });
  }

  private _getLoad(now: number, request: IdentifiedRequest, active: ActiveConfiguration): LoadFacts {
    const { admission, router } = this._options;
    const slots = router.getSlots(now, request.target);
    return {
      queued: admission.queueLength,
      queue_ms: admission.getQueueingMs(`${request.call.kind}:${request.target}`),
      utilisation:
        slots === 0 ? 0 : router.getRequestCount() / Math.max(slots, active.declared.groups.length),
    };
  }

  private async _dispatch(
    request: ClassifiedRequest,
    active: ActiveConfiguration,
    response: ServerResponse,
  ): Promise<DispatchResult> {
    const controller = new AbortController();
    const timer = setTimeout(() => controller.abort(createTimeoutRefusal()), active.declared.limits.total);
    response.once("close", () => {
      if (!response.writableFinished) controller.abort(createCallerLeftRefusal());
    });
    try {
      if (request.call.kind === "model") {
        return await this._dispatchModel(request as ModelRequest, active, response, controller.signal);
      }
      return await this._dispatchService(request as ServiceRequest, active, response, controller.signal);
    } finally {
      clearTimeout(timer);
    }
  }

  private async _dispatchModel(
    request: ModelRequest,
    active: ActiveConfiguration,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<DispatchResult> {
    const createdS = Math.floor(this._options.clock.getWallMs() / MS_PER_SECOND);
    const writer = createAnswerWriter(response, request.id, request.call, createdS);
    const result = await this._options.modelDispatch.run(request, active, writer, signal);
    this._meanTokens.addAnswer(request.requestClass.name, result.tokens);
    const epoch = this._options.view.getReplica(result.replicaId)?.epoch ?? 0;
    const { firstTokenMs, tokens, retries } = result;
    return { servedBy: result.replicaId, epoch, firstTokenMs, tokens, retries };
  }

  private async _dispatchService(
    request: ServiceRequest,
    active: ActiveConfiguration,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<DispatchResult> {
    const result = await this._options.serviceDispatch.run(request, active, response, signal);
    const firstTokenMs = this._options.clock.getMonotonicMs() - request.receivedAt;
    return { servedBy: result.instanceId, epoch: 0, firstTokenMs, tokens: 0, retries: result.retries };
  }

  private _writeRefusal(response: ServerResponse, refusal: Refusal, requestId: string): void {
    const isLeaseExpired = refusal.code === "lease_lapsed";
    const entryAddresses = isLeaseExpired ? this._options.view.entries.map((entry) => entry.address) : [];
    writeRefusal(
      response,
      requestId,
      refusal,
      entryAddresses.filter((address) => address !== this._options.listen),
    );
  }

  private _recordResult(record: RequestRecord, response: ServerResponse): void {
    const outcome = record.refusal?.outcome ?? "done";
    this._options.claims.complete(record.request, outcome, response.statusCode);
    this._options.requestRecorder.addRecord(record);
  }
}

const MS_PER_SECOND = 1_000;

function toAddressJson(entry: { address: string; failureDomain: string }) {
  return { address: entry.address, failure_domain: entry.failureDomain };
}

function sendJson(response: ServerResponse, body: object): void {
  const text = JSON.stringify(body);
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    "cache-control": "no-store",
  });
  response.end(text);
}

function toRefusal(cause: unknown): Refusal {
  if (cause instanceof Refusal) return cause;
  return new Refusal({ code: "internal_error", outcome: "unknown", reason: String(cause) });
}

function createCallerLeftRefusal(): Refusal {
  return new Refusal({ code: "caller_left", outcome: "unknown", reason: "the caller closed the connection" });
}

function createTimeoutRefusal(): Refusal {
  return new Refusal({
    code: "total_time_exceeded",
    outcome: "unknown",
    reason: "the request exceeded the maximum total time",
  });
}
