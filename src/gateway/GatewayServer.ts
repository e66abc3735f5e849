/** HTTP server of a gateway: determines the route and the organisation of each request, and runs it. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../clock";
import type { RandomSource } from "../consensus";
import type { Route, RouteTable } from "../declaration";
import { breakOff, breakOffNow, Connections, closeAfter, listen } from "../http";
import type { Logger, Metrics } from "../metrics";
import type { ReceivedView } from "../registration";
import {
  type BodyFailure,
  BodyReader,
  type BodyReading,
  createHttpServer,
  dropBody,
  getDeclaredBytes,
  type RequestBody,
} from "../server";
import { CallerTimeouts } from "./CallerTimeouts";
import { createAnswerHeaders } from "./createAnswerHeaders";
import type { CallMetadata } from "./Dialect";
import { describeEnd } from "./describeEnd";
import { Exchange, type ExchangeDependencies } from "./Exchange";
import type { ExchangeRequest } from "./ExchangeRequest";
import { createFinalRefusal, createNotRunRefusal, GatewayRefusal } from "./GatewayRefusal";
import { dropHeaders, FRAMING_HEADERS, getEndToEndHeaders } from "./headers";
import { getHoldEnd } from "./holdTime";
import { NewServices } from "./NewServices";
import { PlainExchange } from "./PlainExchange";
import type { CompleteAnswer } from "./PlainSource";
import { type Authorization, isDenial, isProvisional, RequestAuthorizer } from "./RequestAuthorizer";
import { RequestHold } from "./RequestHold";
import { RequestLog } from "./RequestLog";
import type { RequestProgress } from "./RequestProgress";
import { createRelayAnswerHeaders, type RelayedRequest } from "./relay";
import { StreamExchange } from "./StreamExchange";
import { mayRepeat } from "./timeouts";
import { addRelayOutcome, refuseMalformed, writeRefusal } from "./writeRefusal";

export interface GatewayServerOptions {
  /** host:port */
  readonly listen: string;
  /** Maximum number of callers' connections; unlimited by default. */
  readonly maxConnections?: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dependencies: ExchangeDependencies;
  /** Gets the routes of the current declaration; `undefined` until one has been received. */
  readonly getRoutes: () => RouteTable | undefined;
  /**
   * Gets whether a leader has confirmed that declaration to this process, and a control process is publishing
   * its view to this entry.
   */
  readonly isConfirmed: () => boolean;
  /**
   * Gets the routes of a newer declaration that may be in force; `undefined` without one, and once a leader
   * has confirmed the declaration.
   */
  readonly getProposedRoutes: () => RouteTable | undefined;
  /** Gets which control process last published its view to this entry, and how long ago. */
  readonly getPublishedView: () => ReceivedView;
  /** Called with each accepted request. */
  readonly onRequest: () => void;
}

const MAX_HEADER_BYTES = 16_384;
const STOPPING_RETRY_MS = 50;
/** Callers reuse a connection up to the declared time, so the server closes it a little later. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;

/** What a request waits for. */
interface Expectation {
  readonly reason: "declaration" | "targets";
  /** Since when this entry has been expecting it, monotonic milliseconds. */
  readonly since: number;
  readonly isKnown: () => boolean;
}

/** A request in progress. */
interface RunningRequest {
  readonly response: ServerResponse;
  /** Ends the request once its time has expired. */
  readonly endExpired: () => void;
}

/** HTTP server of one gateway. */
export class GatewayServer {
  private readonly _options: GatewayServerOptions;
  private readonly _server: Server;
  private readonly _connections: Connections;
  private readonly _callerTimeouts = new CallerTimeouts();
  private readonly _newServices = new NewServices();
  private readonly _held = new RequestHold();
  private readonly _authorizer: RequestAuthorizer;
  private readonly _log: RequestLog;
  private readonly _startedAt: number;
  private readonly _running = new Map<Exchange, RunningRequest>();
  /** Answers whose last bytes have not been sent. */
  private readonly _responses = new Set<ServerResponse>();
  private _requestCount = 0;
  private _isStopping = false;
  private _refusesRequests = false;
  private _onIdle: () => void = () => {};

  /** @param options - Listening address and dependencies. */
  constructor(options: GatewayServerOptions) {
    this._options = options;
    this._startedAt = options.clock.getMonotonicMs();
    this._authorizer = new RequestAuthorizer({ ...options, startedAt: this._startedAt });
    this._server = createHttpServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true });
    const { memory, pool } = options.dependencies;
    this._log = new RequestLog({ ...options, memory, pool });
    this._connections = new Connections(this._server, () => options.clock.getMonotonicMs(), {
      maxConnections: options.maxConnections,
      endSlowest: (now) => memory.endSlowest(now),
      onFull: () => options.metrics.increment("connections_full", 1, { server: "front" }),
    });
    this._server.on("request", (request, response) => void this._handle(request, response));
    this._server.on("clientError", (error: NodeJS.ErrnoException, socket) =>
      refuseMalformed(socket as Socket, error.code),
    );
  }

  /** Gets the number of requests in progress. */
  get requestCount(): number {
    return this._requestCount;
  }

  /** Gets the number of open connections of callers. */
  get connectionCount(): number {
    return this._connections.count;
  }

  /** Gets whether a graceful stop is in progress. */
  get isStopping(): boolean {
    return this._isStopping;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await listen(this._server, this._options.listen);
  }

  /** Gets the number of requests that wait for what this entry expects after its start. */
  get heldCount(): number {
    return this._held.count;
  }

  /** Lets requests continue for which a change of the view has decided. */
  updateView(): void {
    this._held.update();
  }

  /** Applies the limits and services of the current declaration. */
  updateDeclaration(): void {
    const declaration = this._options.getRoutes()?.declaration;
    if (declaration === undefined) return;
    this._newServices.setDeclaration(this._getNow(), declaration);
    const { limits } = declaration;
    this._server.keepAliveTimeout = limits.idleMs + IDLE_TIMEOUT_MARGIN_MS;
    this._server.headersTimeout = limits.headerMs + IDLE_TIMEOUT_MARGIN_MS;
  }

  /**
   * Ends all requests whose time has expired. After a suspension of the machine their timers fire late by the
   * length of the suspension, and until then endpoints would work for callers that have disconnected.
   */
  endExpired(): void {
    for (const [exchange, { endExpired }] of [...this._running])
      if (exchange.getRemainingMs() <= 0) endExpired();
  }

  /**
   * Withdraws requests that were confirmed as the cause of crashes after they were sent. Such a request may
   * wait in endpoints' queues and would crash the next instance as soon as it runs; in a recorded day one
   * waited for 1.8 s at the last remaining head. A request that is being answered is not withdrawn, since its
   * completion may still clear it.
   */
  withdrawConfirmedCauses(): void {
    for (const [exchange, { response }] of this._running) {
      if (!response.headersSent && exchange.containment.isConfirmedCause) exchange.withdraw();
    }
  }

  /** Continues to serve, but closes each connection after its answer. */
  announceStop(): void {
    this._isStopping = true;
    this._connections.announceClose();
  }

  /** Refuses new requests; those in progress continue. */
  refuseAll(): void {
    this._refusesRequests = true;
    this._held.end();
    this._options.dependencies.gate.refuseAll();
  }

  /** Resolves when all answers have been sent. */
  async waitUntilIdle(): Promise<void> {
    await new Promise<void>((resolve) => {
      this._onIdle = resolve;
      this._endIfIdle();
    });
  }

  /**
   * Stops accepting connections; resolves when no caller uses one any more.
   * @param maxAcceptMs - How long callers that keep connecting may delay this.
   */
  async endConnections(maxAcceptMs: number): Promise<void> {
    await this._connections.drain(maxAcceptMs);
  }

  /** Closes the server and all its connections; answers in progress are broken off. */
  stop(): void {
    this._server.close();
    for (const response of this._responses) if (response.headersSent) breakOffNow(response);
    this._server.closeAllConnections();
  }

  /** Gets the monotonic time in milliseconds. */
  private _getNow(): number {
    return this._options.clock.getMonotonicMs();
  }

  private _endIfIdle(): void {
    if (this._requestCount === 0) this._onIdle();
  }

  /** Runs a request that another entry relayed. */
  async handleRelayed(
    incoming: IncomingMessage,
    response: ServerResponse,
    relayed: RelayedRequest,
  ): Promise<void> {
    await this._handle(incoming, response, relayed);
  }

  private async _handle(
    incoming: IncomingMessage,
    response: ServerResponse,
    relayed?: RelayedRequest,
  ): Promise<void> {
    this._requestCount += 1;
    this._responses.add(response);
    for (const event of ["finish", "close"]) response.once(event, () => this._responses.delete(response));
    const progress: RequestProgress = {
      receivedAt: this._getNow(),
      relayed,
      call: undefined,
      route: undefined,
      reservation: undefined,
      body: undefined,
      exchange: undefined,
      heldMs: 0,
    };
    try {
      await this._run(incoming, response, progress);
    } catch (cause) {
      this._refuse(response, progress, toRefusal(cause));
    } finally {
      this._releaseBody(progress);
      this._requestCount -= 1;
      // The last bytes of an answer are sent in this turn of the event loop.
      setImmediate(() => this._endIfIdle());
    }
  }

  private _releaseBody({ reservation, body }: RequestProgress): void {
    const now = this._getNow();
    body?.release(now);
    reservation?.release(now);
  }

  private async _run(
    incoming: IncomingMessage,
    response: ServerResponse,
    progress: RequestProgress,
  ): Promise<void> {
    const request = await this._accept(incoming, response, progress);
    await this._waitForTargets(response, progress, request.service);
    if (response.destroyed) return;
    const exchange = new Exchange(request, this._options.dependencies);
    progress.exchange = exchange;
    this._countRequest(exchange, progress);
    // Checked before the request waits for capacity: a blocked request must not run at any endpoint.
    if (!exchange.admit()) throw exchange.createRefusal();
    response.once("close", () => {
      if (!response.writableFinished) exchange.cancel();
    });
    const endExpired = () => this._endExpired(response, progress);
    const timer = setTimeout(endExpired, Math.max(0, exchange.getRemainingMs()));
    this._running.set(exchange, { response, endExpired });
    try {
      if (request.route.kind === "stream") await this._runStream(exchange, response, progress);
      else this._sendAnswer(response, progress, await new PlainExchange(exchange).run());
    } finally {
      clearTimeout(timer);
      this._running.delete(exchange);
    }
  }

  /** Counts a request once for the retry budget: at the entry that first sends it to an endpoint. */
  private _countRequest(exchange: Exchange, { relayed }: RequestProgress): void {
    if (relayed?.isCounted !== true && exchange.willRelay) return;
    if (relayed?.isCounted !== true) this._options.onRequest();
    exchange.peers.setCounted();
  }

  private async _accept(
    incoming: IncomingMessage,
    response: ServerResponse,
    progress: RequestProgress,
  ): Promise<ExchangeRequest> {
    const { relayed, receivedAt } = progress;
    const call = this._readCall(incoming, relayed);
    progress.call = call;
    const { routes, route, organisation } = await this._authorize(incoming, response, progress, call);
    const owner = { organisation: organisation?.name, isRepeatable: mayRepeat(route) };
    progress.reservation = this._options.dependencies.memory.open(owner);
    const timeoutMs = call.waitMs ?? route.timeoutMs;
    const deadlineAt = receivedAt + Math.min(route.timeoutMs, timeoutMs);
    const body = await this._readBody(incoming, {
      maxBytes: routes.declaration.limits.bodyBytes,
      reservation: progress.reservation,
      getNow: () => this._getNow(),
      timeoutMs: deadlineAt - this._getNow(),
    });
    progress.body = body;
    const ageMs = relayed?.ageMs ?? this._callerTimeouts.addTimeout(receivedAt, route.name, timeoutMs);
    return {
      call,
      // The relaying entry may have sent the request to endpoints before.
      route: relayed === undefined ? route : { ...route, maxAttempts: relayed.attempts },
      service: this._chooseService(route),
      organisation: organisation?.name,
      method: incoming.method ?? "GET",
      path: incoming.url ?? "/",
      headers: dropHeaders(getEndToEndHeaders(incoming.rawHeaders), FRAMING_HEADERS),
      body,
      receivedAt,
      firstRequestedAt: receivedAt - ageMs,
      deadlineAt,
      isRelayed: relayed !== undefined,
      isRepeat: relayed?.isRepeat === true,
    };
  }

  /**
   * Waits for the declaration that decides about a request, if this entry has just started.
   * @throws GatewayRefusal - When the declaration does not allow the request, or has not arrived.
   */
  private async _authorize(
    incoming: IncomingMessage,
    response: ServerResponse,
    progress: RequestProgress,
    call: CallMetadata,
  ): Promise<Authorization> {
    const decide = () => this._authorizer.decide(this._getNow(), incoming, call);
    let decision = decide();
    if (isProvisional(decision)) {
      const isKnown = () => !isProvisional(decide());
      await this._hold(response, progress, { reason: "declaration", since: this._startedAt, isKnown });
      decision = decide();
    }
    if (this._refusesRequests || (progress.relayed !== undefined && this._isStopping))
      throw createNotRunRefusal("stopping", "this entry is stopping", STOPPING_RETRY_MS);
    progress.route = decision.route;
    if (isDenial(decision)) throw decision.refusal;
    return decision;
  }

  /** Waits for the first targets of a service that is new to this entry. */
  private async _waitForTargets(
    response: ServerResponse,
    progress: RequestProgress,
    service: string,
  ): Promise<void> {
    const since = this._newServices.getDeclaredAt(service);
    if (since === undefined) return;
    const { pool } = this._options.dependencies;
    await this._hold(response, progress, {
      reason: "targets",
      since,
      isKnown: () => pool.hasService(service),
    });
  }

  /** Lets a request wait for what this entry expects; one that another entry relayed can be served elsewhere. */
  private async _hold(
    response: ServerResponse,
    progress: RequestProgress,
    { reason, since, isKnown }: Expectation,
  ): Promise<void> {
    if (progress.relayed !== undefined || isKnown()) return;
    const heldAt = this._getNow();
    const endsAt = getHoldEnd(since, progress.receivedAt, progress.call?.waitMs);
    const update = () => this._held.update();
    response.once("close", update);
    const outcome = await this._held.wait(heldAt, { isKnown, isOver: () => response.destroyed, endsAt });
    response.off("close", update);
    progress.heldMs += Math.round(this._getNow() - heldAt);
    this._options.metrics.increment("gateway_requests_held", 1, { reason, outcome });
  }

  /** Reads what the caller sent; the time left and the last event of a relayed request are those now. */
  private _readCall(incoming: IncomingMessage, relayed: RelayedRequest | undefined): CallMetadata {
    const call = this._options.dependencies.dialect.readCall(incoming.headers);
    if (relayed === undefined) return call;
    return { ...call, waitMs: relayed.leftMs, lastEventId: relayed.lastEventId };
  }

  /** Chooses a service with the probability given by its weight. */
  private _chooseService(route: Route): string {
    const total = route.split.reduce((sum, share) => sum + share.weight, 0);
    let remaining = this._options.random.next() * total;
    for (const share of route.split) {
      remaining -= share.weight;
      if (remaining < 0) return share.service;
    }
    return route.split.find((share) => share.weight > 0)!.service;
  }

  /** @throws GatewayRefusal - When the body was not read; its rest is dropped. */
  private async _readBody(incoming: IncomingMessage, reading: BodyReading): Promise<RequestBody> {
    const body = await BodyReader.read(incoming, reading);
    if (typeof body !== "string") return body;
    dropBody(incoming, reading.maxBytes);
    this._options.metrics.increment("bodies_refused", 1, { server: "front", reason: body });
    throw this._createBodyRefusal(body, incoming, reading.maxBytes);
  }

  private _createBodyRefusal(
    failure: BodyFailure,
    incoming: IncomingMessage,
    maxBytes: number,
  ): GatewayRefusal {
    const { memory, clock } = this._options.dependencies;
    if (failure === "tooLarge")
      return createFinalRefusal(413, "body_too_large", `the body exceeds ${maxBytes} bytes`);
    if (failure === "broken")
      return createFinalRefusal(
        400,
        "malformed_request",
        "the connection closed before the body was complete",
      );
    if (failure === "tooSlow")
      return createNotRunRefusal("slow_body", "the body did not arrive in time", STOPPING_RETRY_MS);
    const bytes = getDeclaredBytes(incoming) || maxBytes;
    if (failure === "gaveWay") {
      const reason = "the body arrived too slowly to keep its room while others needed it";
      return createNotRunRefusal("slow_body", reason, memory.getRetryAfterMs(clock.getMonotonicMs(), bytes));
    }
    return createNotRunRefusal(
      "no_memory",
      "the bodies of the requests in progress take all the memory for bodies",
      memory.getRetryAfterMs(clock.getMonotonicMs(), bytes),
    );
  }

  private async _runStream(
    exchange: Exchange,
    response: ServerResponse,
    progress: RequestProgress,
  ): Promise<void> {
    const stream = new StreamExchange(exchange, response);
    const result = await stream.run();
    this._log.addStream(this._getNow(), progress, response, result);
    if (result.firstEventMs === undefined) return;
    this._options.metrics.timing("gateway_first_event_ms", result.firstEventMs);
    this._options.metrics.timing("gateway_gap_ms", result.longestGapMs);
  }

  private _sendAnswer(response: ServerResponse, progress: RequestProgress, answer: CompleteAnswer): void {
    if (response.headersSent || response.destroyed) return;
    const { exchange, relayed } = progress;
    const headers = createAnswerHeaders(answer, response);
    if (relayed !== undefined)
      headers.push(...createRelayAnswerHeaders(exchange?.sentCount ?? 0, answer.isFramed));
    else if (!answer.isFramed) closeAfter(response);
    response.writeHead(answer.status, headers);
    this._countUntilSent(response, progress.call, answer.body.length);
    if (response.destroyed) {
      this._log.addEnd(this._getNow(), progress, "cut", { status: answer.status }, "no_memory");
      return;
    }
    response.end(answer.body);
    this._log.addEnd(this._getNow(), progress, "done", {
      status: answer.status,
      ...describeEnd(response, undefined),
    });
  }

  /** Counts the bytes of a whole answer until its caller has taken them, or has disconnected. */
  private _countUntilSent(response: ServerResponse, call: CallMetadata | undefined, bytes: number): void {
    const waiting = this._options.dependencies.buffers.open(() => {
      this._options.metrics.increment("answers_not_taken", 1);
      breakOffNow(response);
    });
    response.once("close", () => {
      waiting.close();
      if (!response.writableFinished) this._log.addNotReceived(call, bytes);
    });
    waiting.setBytes(bytes);
  }

  /** Sends the final answer when the request's time has expired, and aborts the attempts in progress. */
  private _endExpired(response: ServerResponse, progress: RequestProgress): void {
    const { exchange } = progress;
    if (exchange === undefined || response.writableEnded || response.destroyed) return;
    const { mayHaveRun } = exchange;
    exchange.cancel();
    if (response.headersSent) {
      void breakOff(response);
      return;
    }
    const reason = "the request's time has expired";
    const refusal = mayHaveRun
      ? createFinalRefusal(504, "time_over", reason)
      : createNotRunRefusal("time_over", reason, STOPPING_RETRY_MS);
    this._refuse(response, progress, refusal);
  }

  private _refuse(response: ServerResponse, progress: RequestProgress, refusal: GatewayRefusal): void {
    if (response.writableEnded) return;
    const isDisconnected = response.destroyed;
    if (response.headersSent) void breakOff(response);
    else if (!isDisconnected) {
      if (progress.relayed !== undefined)
        addRelayOutcome(response, refusal, progress.exchange?.sentCount ?? 0);
      writeRefusal(response, refusal);
    }
    const code = isDisconnected ? "caller_gone" : refusal.code;
    this._log.addEnd(
      this._getNow(),
      progress,
      "refused",
      { status: refusal.status, reason: refusal.reason },
      code,
    );
  }
}

function toRefusal(cause: unknown): GatewayRefusal {
  if (cause instanceof GatewayRefusal) return cause;
  return createFinalRefusal(502, "answer_lost", String(cause));
}
