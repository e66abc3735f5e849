/** The callers' interface: takes each request through the filters, in order. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Clock } from "../clock";
import type { RandomSource } from "../consensus";
import { Connections, listen } from "../http";
import type { EntryLease } from "../leases";
import type { LoadFacts } from "../policy";
import { handleHealthRequest } from "../process";
import { createAnswerWriter, writeRefusal } from "./AnswerWriter";
import type { Claims } from "./Claims";
import type { ActiveConfiguration, ClusterView } from "./ClusterView";
import {
  type Account,
  type Admission,
  acceptRequest,
  classifyRequest,
  type Ending,
  identifyRequest,
  type ModelDispatch,
  type ModelRequest,
  type ServiceDispatch,
  type ServiceRequest,
} from "./filters";
import { MeanTokens } from "./MeanTokens";
import { Refusal } from "./Refusal";
import type { ReplicaRouter } from "./ReplicaRouter";
import type { ClassifiedRequest, IdentifiedRequest } from "./requests";

/** What an entry server works with. */
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
  readonly models: ModelDispatch;
  readonly services: ServiceDispatch;
  readonly account: Account;
}

/** The part of an ending that the dispatch tells. */
type Served = Omit<Ending, "request" | "refusal">;

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_MS = 30_000;
const LAPSED_RETRY_MS = 1_000;
const LAPSED_TTL_MS = 1_000;
const NOT_SERVED: Served = { servedBy: "", epoch: 0, firstTokenMs: undefined, tokens: 0, retries: 0 };

/** Callers that connect without a pause hold a stop up for so long at most. */
const MAX_ACCEPT_MS = 500;

/** The server of one entry. */
export class EntryServer {
  private readonly _options: EntryServerOptions;
  private readonly _server: Server;
  private readonly _connections: Connections;
  private readonly _meanTokens = new MeanTokens();
  private _requests = 0;
  private _isStopping = false;

  /**
   * @param options - The parts of the entry.
   */
  constructor(options: EntryServerOptions) {
    this._options = options;
    this._server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    this._connections = new Connections(this._server, () => options.clock.getMonotonicMs());
    this._server.on("request", (request, response) => void this._handle(request, response));
  }

  /** Gets how many requests are being worked on, waiting ones included. */
  get requestCount(): number {
    return this._requests;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await listen(this._server, this._options.listen);
  }

  /** Serves on, but ends each connection with its answer. */
  announceStop(): void {
    this._isStopping = true;
    this._connections.announceClose();
  }

  /** Stops listening; resolves once every answer is over and no caller uses its connection any more. */
  async stop(): Promise<void> {
    await this._connections.drain(MAX_ACCEPT_MS);
    this._server.close();
  }

  /** Gives the reason why the entry is not ready, if it is not. */
  getUnreadyReason(): string | undefined {
    const { lease, view, clock } = this._options;
    if (this._isStopping) return "it is stopping";
    if (view.configuration === undefined) return "no configuration is in force";
    return lease.isHeld(clock.getMonotonicMs()) ? undefined : "its lease has lapsed";
  }

  private async _handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    if (incoming.method === "GET" && this._answerQuestion(incoming.url ?? "", response)) return;
    this._requests += 1;
    try {
      await this._run(incoming, response);
    } finally {
      this._requests -= 1;
      this._options.admission.update();
    }
  }

  /** Answers what needs no endpoint. */
  private _answerQuestion(url: string, response: ServerResponse): boolean {
    if (handleHealthRequest(url, response, () => this.getUnreadyReason())) return true;
    if (url === "/v1/addresses") sendJson(response, this._createAddresses());
    else if (url === "/v1/models") sendJson(response, this._createModels());
    else return false;
    return true;
  }

  /** Addresses come in random order, so that callers who take the first one spread. */
  private _createAddresses() {
    const { view, clock, lease, random } = this._options;
    const addresses = view.entries.map((entry) => ({ ...pickAddress(entry), order: random.next() }));
    const ttlMs = view.configuration?.declared.timing.addressTtl ?? LAPSED_TTL_MS;
    return {
      addresses: addresses.sort((a, b) => a.order - b.order).map(({ order: _, ...address }) => address),
      ttl_ms: lease.isHeld(clock.getMonotonicMs()) ? ttlMs : Math.min(ttlMs, LAPSED_TTL_MS),
    };
  }

  private _createModels() {
    const models = this._options.view.configuration?.declared.models ?? [];
    const names = models.flatMap((model) => [
      model.name,
      ...model.adapters.map((name) => `${model.name}/${name}`),
    ]);
    return { object: "list", data: names.map((id) => ({ id, object: "model", owned_by: "ploverstage" })) };
  }

  private async _run(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const receivedAt = this._options.clock.getMonotonicMs();
    let request: ClassifiedRequest | undefined;
    let refusal: Refusal | undefined;
    let served = NOT_SERVED;
    try {
      const active = this._getActiveOrThrow();
      const accepted = await acceptRequest(receivedAt, incoming, active.declared.limits);
      const identified = identifyRequest(accepted, active.declared);
      this._throwIfLapsed();
      request = this._classify(identified, active);
      served = await this._dispatch(request, active, response);
    } catch (cause) {
      refusal = toRefusal(cause);
      this._refuse(response, refusal, request?.id ?? "");
    }
    if (request !== undefined) this._end({ request, refusal, ...served }, response);
  }

  private _getActiveOrThrow(): ActiveConfiguration {
    const active = this._options.view.configuration;
    if (active !== undefined) return active;
    const reason = "no configuration is in force at this entry";
    throw new Refusal({
      code: "control_unreachable",
      outcome: "not-run",
      reason,
      retryAfterMs: LAPSED_RETRY_MS,
    });
  }

  private _throwIfLapsed(): void {
    if (this._options.lease.isHeld(this._options.clock.getMonotonicMs())) return;
    const reason = "this entry's lease has lapsed; ask another address";
    throw new Refusal({ code: "lease_lapsed", outcome: "not-run", reason, retryAfterMs: LAPSED_RETRY_MS });
  }

  private _classify(request: IdentifiedRequest, active: ActiveConfiguration): ClassifiedRequest {
    const { clock, admission } = this._options;
    const now = clock.getMonotonicMs();
    return classifyRequest(now, request, active, {
      wallMs: clock.getWallMs(),
      load: this._getLoad(now, request, active),
      organisationQueued: admission.getOrganisationLength(request.organisation.name),
      getMeanTokens: (className) => this._meanTokens.getMean(className),
    });
  }

  private _getLoad(now: number, request: IdentifiedRequest, active: ActiveConfiguration): LoadFacts {
    const { admission, router } = this._options;
    const slots = router.getSlots(now, request.target);
    return {
      queued: admission.queueLength,
      queue_ms: admission.getQueueMs(`${request.call.kind}:${request.target}`),
      utilisation:
        slots === 0 ? 0 : router.getRequestCount() / Math.max(slots, active.declared.groups.length),
    };
  }

  private async _dispatch(
    request: ClassifiedRequest,
    active: ActiveConfiguration,
    response: ServerResponse,
  ): Promise<Served> {
    const controller = new AbortController();
    const timer = setTimeout(() => controller.abort(createTimeout()), active.declared.limits.total);
    response.once("close", () => {
      if (!response.writableFinished) controller.abort(createLeft());
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
  ): Promise<Served> {
    const createdS = Math.floor(this._options.clock.getWallMs() / MS_PER_SECOND);
    const writer = createAnswerWriter(response, request.id, request.call, createdS);
    const result = await this._options.models.run(request, active, writer, signal);
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
  ): Promise<Served> {
    const result = await this._options.services.run(request, active, response, signal);
    const firstTokenMs = this._options.clock.getMonotonicMs() - request.receivedAt;
    return { servedBy: result.instanceId, epoch: 0, firstTokenMs, tokens: 0, retries: result.retries };
  }

  private _refuse(response: ServerResponse, refusal: Refusal, requestId: string): void {
    const isLapsed = refusal.code === "lease_lapsed";
    const others = isLapsed ? this._options.view.entries.map((entry) => entry.address) : [];
    writeRefusal(
      response,
      requestId,
      refusal,
      others.filter((address) => address !== this._options.listen),
    );
  }

  private _end(ending: Ending, response: ServerResponse): void {
    const outcome = ending.refusal?.outcome ?? "done";
    this._options.claims.settle(ending.request, outcome, response.statusCode);
    this._options.account.addEnding(ending);
  }
}

const MS_PER_SECOND = 1_000;

function pickAddress(entry: { address: string; failureDomain: string }) {
  return { address: entry.address, failure_domain: entry.failureDomain };
}

function sendJson(response: ServerResponse, body: object): void {
  response.writeHead(200, { "content-type": "application/json", "cache-control": "no-store" });
  response.end(JSON.stringify(body));
}

function toRefusal(cause: unknown): Refusal {
  if (cause instanceof Refusal) return cause;
  return new Refusal({ code: "internal_error", outcome: "unknown", reason: String(cause) });
}

function createLeft(): Refusal {
  return new Refusal({ code: "caller_left", outcome: "unknown", reason: "the caller closed the connection" });
}

function createTimeout(): Refusal {
  return new Refusal({
    code: "total_time_exceeded",
    outcome: "unknown",
    reason: "it took longer than allowed",
  });
}
