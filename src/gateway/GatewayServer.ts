/** The callers' side of a gateway: finds the route and the organisation of each request, and runs it. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../clock";
import type { RandomSource } from "../consensus";
import type { DeclaredOrganisation, Route, RouteTable } from "../declaration";
import { Connections, listen } from "../http";
import type { Logger, Metrics } from "../metrics";
import type { ReceivedView } from "../registration";
import { CallerWaits } from "./CallerTimeouts";
import type { CallMetadata } from "./Dialect";
import { endWithConnection } from "./delimitByClose";
import { Exchange, type ExchangeRequest, type ExchangeTools } from "./Exchange";
import { createNotRun, GatewayRefusal } from "./GatewayRefusal";
import { dropHeaders, getEndToEndHeaders } from "./headers";
import { PlainExchange } from "./PlainExchange";
import type { WholeAnswer } from "./PlainSource";
import { getFirstViewReturnMs } from "./retryAfter";
import { StreamExchange } from "./StreamExchange";

/** What a gateway server works with. */
export interface GatewayServerOptions {
  /** host:port */
  readonly listen: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tools: ExchangeTools;
  /** Gets the declaration in force here. */
  readonly getRoutes: () => RouteTable | undefined;
  /** Gets whether a leader has confirmed that declaration in this process's life, and a control process shows its view now. */
  readonly isConfirmed: () => boolean;
  /** Gets what control showed this entry last, and how long ago. */
  readonly getShown: () => ReceivedView;
  /** Called with each request that is let in. */
  readonly onRequest: () => void;
}

const MAX_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MS = 30_000;
/** Senders that take too long for their headers are looked for this often. */
const SLOW_SENDER_CHECK_MS = 500;
/** Bodies that are held now are out of the way by then. */
const FULL_RETRY_MS = 500;
const STOPPING_RETRY_MS = 50;
/** Callers reuse a connection up to the declared time; it is kept a little longer. */
const IDLE_SLACK_MS = 1_000;
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
const FRAMING: ReadonlySet<string> = new Set(["content-length"]);

/** A request as far as it got. */
interface Progress {
  readonly receivedAt: number;
  call: CallMetadata | undefined;
  route: Route | undefined;
  exchange: Exchange | undefined;
}

/** A request under way. */
interface RunningRequest {
  readonly response: ServerResponse;
  /** Ends it, once its time is over. */
  readonly endLate: () => void;
}

/** The server of one gateway. */
export class GatewayServer {
  private readonly _options: GatewayServerOptions;
  private readonly _server: Server;
  private readonly _connections: Connections;
  private readonly _waits = new CallerWaits();
  private readonly _startedAt: number;
  private readonly _running = new Map<Exchange, RunningRequest>();
  private _requests = 0;
  private _bufferedBytes = 0;
  private _isStopping = false;
  private _refusesAll = false;
  private _onIdle: () => void = () => {};

  /**
   * @param options - Address and what requests are run with.
   */
  constructor(options: GatewayServerOptions) {
    this._options = options;
    this._startedAt = options.clock.getMonotonicMs();
    this._server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
      noDelay: true,
    });
    this._connections = new Connections(this._server, () => options.clock.getMonotonicMs());
    this._server.on("request", (request, response) => void this._handle(request, response));
    // A caller that waits for permission to send its body gets it: bodies are bounded anyway.
    this._server.on("checkContinue", (request, response) => {
      response.writeContinue();
      void this._handle(request, response);
    });
    this._server.on("clientError", (error: NodeJS.ErrnoException, socket) =>
      refuseMalformed(socket as Socket, error.code),
    );
  }

  /** Gets how many requests are being worked on. */
  get requestCount(): number {
    return this._requests;
  }

  /** Gets how many connections of callers are open. */
  get connectionCount(): number {
    return this._connections.count;
  }

  /** Gets whether a planned stop is under way. */
  get isStopping(): boolean {
    return this._isStopping;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await listen(this._server, this._options.listen);
  }

  /** Takes bounds of the declaration over. */
  updateLimits(): void {
    const limits = this._options.getRoutes()?.declaration.limits;
    if (limits === undefined) return;
    this._server.keepAliveTimeout = limits.idleMs + IDLE_SLACK_MS;
    this._server.headersTimeout = limits.headerMs + IDLE_SLACK_MS;
  }

  /**
   * Ends all requests whose time is over. Their timers may come late by the time in which the machine was
   * suspended: an endpoint would work on for that long, for a caller that is gone.
   */
  endLate(): void {
    for (const [exchange, { endLate }] of [...this._running]) if (exchange.getLeftMs() <= 0) endLate();
  }

  /**
   * Takes back what is proven guilty since it was sent: it may wait in their queues, and would end the next
   * instance as soon as it is run. In a recorded day it waited for 1.8 s at the last head that was left. One that is being
   * answered may yet prove that it was only there.
   */
  withdrawProven(): void {
    for (const [exchange, { response }] of this._running) {
      if (!response.headersSent && exchange.isProven) exchange.withdraw();
    }
  }

  /** Serves on, but ends each connection with its answer. */
  announceStop(): void {
    this._isStopping = true;
    this._connections.announceClose();
  }

  /** Refuses what comes from now on; what was taken goes on. */
  refuseAll(): void {
    this._refusesAll = true;
    this._options.tools.gate.refuseAll();
  }

  /** Resolves once every answer is out. */
  async waitUntilIdle(): Promise<void> {
    await new Promise<void>((resolve) => {
      this._onIdle = resolve;
      this._endIfIdle();
    });
  }

  /**
   * Takes no new connections; resolves once no caller uses one any more.
   * @param maxAcceptMs - How long callers that connect without a pause may hold that up.
   */
  async endConnections(maxAcceptMs: number): Promise<void> {
    await this._connections.drain(maxAcceptMs);
  }

  /** Ends all connections and listens no more. */
  stop(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  private _endIfIdle(): void {
    if (this._requests === 0) this._onIdle();
  }

  private async _handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    this._requests += 1;
    const progress: Progress = {
      receivedAt: this._options.clock.getMonotonicMs(),
      call: undefined,
      route: undefined,
      exchange: undefined,
    };
    try {
      await this._run(incoming, response, progress);
    } catch (cause) {
      this._refuse(response, progress, toRefusal(cause));
    } finally {
      this._requests -= 1;
      // The last bytes of an answer go out with this turn.
      setImmediate(() => this._endIfIdle());
    }
  }

  private async _run(incoming: IncomingMessage, response: ServerResponse, progress: Progress): Promise<void> {
    const request = await this._accept(incoming, progress);
    if (response.destroyed) return;
    const exchange = new Exchange(request, this._options.tools);
    progress.exchange = exchange;
    this._options.onRequest();
    // At once, before it waits for room: no endpoint is to run it.
    if (!exchange.admit()) throw exchange.createRefusal();
    response.once("close", () => {
      if (!response.writableFinished) exchange.cancel();
    });
    const endLate = () => this._endLate(response, progress);
    const timer = setTimeout(endLate, Math.max(0, exchange.getLeftMs()));
    this._running.set(exchange, { response, endLate });
    try {
      if (request.route.kind === "stream") await this._runStream(exchange, response, progress);
      else this._sendWhole(response, progress, await new PlainExchange(exchange).run());
    } finally {
      clearTimeout(timer);
      this._running.delete(exchange);
    }
  }

  private async _accept(incoming: IncomingMessage, progress: Progress): Promise<ExchangeRequest> {
    const call = this._options.tools.dialect.readCall(incoming.headers);
    progress.call = call;
    const routes = this._options.getRoutes();
    if (routes === undefined) {
      throw this._createUnknown("no_declaration", "no declaration is in force here yet", progress, call);
    }
    if (this._refusesAll) throw createNotRun("stopping", "this entry stops", STOPPING_RETRY_MS);
    const route = routes.getRoute(incoming.headers.host ?? "", incoming.url ?? "");
    if (route === undefined) {
      throw this._createNo(404, "no_route", "no route has this host and path", progress, call);
    }
    progress.route = route;
    const organisation = getOrganisation(routes, route, call.key);
    if (organisation === "unknown") {
      throw this._createNo(401, "unknown_key", "the request needs a key that is known", progress, call);
    }
    const body = await this._readBody(incoming, routes.declaration.limits.bodyBytes);
    const { receivedAt } = progress;
    const waitMs = call.waitMs ?? route.timeoutMs;
    return {
      call,
      route,
      service: this._chooseService(route),
      organisation: organisation?.name,
      method: incoming.method ?? "GET",
      path: incoming.url ?? "/",
      headers: dropHeaders(getEndToEndHeaders(incoming.rawHeaders), FRAMING),
      body,
      receivedAt,
      firstAskedAt: receivedAt - this._waits.addWait(receivedAt, route.name, waitMs),
      deadlineAt: receivedAt + Math.min(route.timeoutMs, waitMs),
    };
  }

  /**
   * Makes the refusal of what the declaration doesn't allow. One that was recovered after a start may be older than the
   * newest acknowledged one, by whatever came right before all processes ended, and so may one that no control process
   * shows any more: nothing is refused for good by it. After a kill of all processes right after an acknowledgement, a route of that version got 404 from the entry's
   * first listening until it heard a leader.
   */
  private _createNo(
    status: number,
    code: GatewayRefusal["code"],
    reason: string,
    progress: Progress,
    call: CallMetadata,
  ): GatewayRefusal {
    if (this._options.isConfirmed()) return createFinal(status, code, reason);
    const unconfirmed = `${reason} in the declaration known here, which may not be the newest one`;
    return this._createUnknown("unconfirmed_declaration", unconfirmed, progress, call);
  }

  private _createUnknown(
    code: GatewayRefusal["code"],
    reason: string,
    { receivedAt }: Progress,
    { waitMs }: CallMetadata,
  ): GatewayRefusal {
    const sinceStartMs = receivedAt - this._startedAt;
    const returnMs = getFirstViewReturnMs(sinceStartMs, waitMs, this._options.random.next());
    return createNotRun(code, reason, returnMs);
  }

  /** A request goes to a service with the chance that its weight gives. */
  private _chooseService(route: Route): string {
    const total = route.split.reduce((sum, share) => sum + share.weight, 0);
    let left = this._options.random.next() * total;
    for (const share of route.split) {
      left -= share.weight;
      if (left < 0) return share.service;
    }
    return route.split.find((share) => share.weight > 0)!.service;
  }

  private async _readBody(incoming: IncomingMessage, limit: number): Promise<Buffer> {
    const declared = Number(incoming.headers["content-length"] ?? 0);
    if (declared > limit) throw createFinal(413, "body_too_large", `a body has at most ${limit} bytes`);
    const chunks: Buffer[] = [];
    let length = 0;
    try {
      for await (const chunk of incoming as AsyncIterable<Buffer>) {
        length += chunk.length;
        this._bufferedBytes += chunk.length;
        if (length > limit) throw createFinal(413, "body_too_large", `a body has at most ${limit} bytes`);
        if (this._bufferedBytes > MAX_BUFFERED_BYTES) {
          throw createNotRun("body_too_large", "too many bodies are held now", FULL_RETRY_MS);
        }
        chunks.push(chunk);
      }
    } catch (cause) {
      if (cause instanceof GatewayRefusal) throw cause;
      throw createFinal(400, "malformed_request", "the body broke off");
    } finally {
      this._bufferedBytes -= length;
    }
    return Buffer.concat(chunks);
  }

  private async _runStream(exchange: Exchange, response: ServerResponse, progress: Progress): Promise<void> {
    const stream = new StreamExchange(exchange, response);
    const result = await stream.run();
    if (result.isWhole) this._log(progress, "done", { ...result });
    else this._log(progress, "cut", { ...result }, getCutCode(exchange));
    if (result.firstEventMs === undefined) return;
    this._options.metrics.timing("gateway_first_event_ms", result.firstEventMs);
    this._options.metrics.timing("gateway_gap_ms", result.longestGapMs);
  }

  private _sendWhole(response: ServerResponse, progress: Progress, answer: WholeAnswer): void {
    if (response.headersSent || response.destroyed) return;
    const headers = dropHeaders(getEndToEndHeaders(answer.headers), FRAMING);
    if (answer.isFramed) headers.push("Content-Length", String(answer.body.length));
    else endWithConnection(response);
    response.writeHead(answer.status, headers);
    response.end(answer.body);
    this._log(progress, "done", { status: answer.status });
  }

  /** The time is over: the final answer goes out now, and what is under way ends. */
  private _endLate(response: ServerResponse, progress: Progress): void {
    const { exchange } = progress;
    if (exchange === undefined || response.writableEnded || response.destroyed) return;
    const hasRun = exchange.sentCount > 0;
    exchange.cancel();
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const reason = "the time that the request had is over";
    const refusal = hasRun
      ? createFinal(504, "time_over", reason)
      : createNotRun("time_over", reason, STOPPING_RETRY_MS);
    this._refuse(response, progress, refusal);
  }

  private _refuse(response: ServerResponse, progress: Progress, refusal: GatewayRefusal): void {
    if (response.writableEnded) return;
    const isGone = response.destroyed;
    if (response.headersSent) response.destroy();
    else if (!isGone) writeRefusal(response, refusal);
    const code = isGone ? "caller_gone" : refusal.code;
    this._log(progress, "refused", { status: refusal.status, reason: refusal.reason }, code);
  }

  private _countAttempts({ failures }: Exchange, kind: string): void {
    const { metrics } = this._options;
    const left = failures.filter(({ wasLeft }) => wasLeft).length;
    metrics.increment("gateway_failed_attempts", failures.length - left, { kind });
    metrics.increment("gateway_left_attempts", left, { kind });
  }

  private _log(progress: Progress, outcome: string, details: object, code = ""): void {
    const { call, route, exchange, receivedAt } = progress;
    const { metrics, clock } = this._options;
    const tookMs = Math.round(clock.getMonotonicMs() - receivedAt);
    const kind = route?.kind ?? "none";
    const shown = this._options.getShown();
    metrics.increment("gateway_requests", 1, { kind, outcome, code });
    metrics.timing("gateway_answer_ms", tookMs, { kind });
    if (exchange !== undefined) this._countAttempts(exchange, kind);
    this._options.logger.info({
      event: "request_ended",
      request: call?.requestId ?? "",
      route: route?.name ?? "",
      model: call?.model ?? "",
      objective_ms: route?.objectiveMs ?? 0,
      gap_objective_ms: route?.gapObjectiveMs,
      declaration: this._options.getRoutes()?.declaration.version ?? 0,
      view_term: shown.term,
      view_control: shown.control,
      // JSON has no infinity: nothing was shown yet.
      view_silence_ms: shown.control === "" ? undefined : Math.round(shown.heartbeatAgeMs),
      outcome,
      code,
      took_ms: tookMs,
      sent: exchange?.sentCount ?? 0,
      failures: exchange?.failures,
      not_repeated: exchange?.denial,
      // Whether two tries that failed were the same request.
      digest: isDigestTold(exchange, code) ? exchange?.digest : undefined,
      ...details,
    });
  }
}

/** Gets who ended an answer before its end. */
function getCutCode(exchange: Exchange): string {
  if (exchange.getLeftMs() <= 0) return "time_over";
  return exchange.isOver ? "caller_gone" : "endpoint_broke_off";
}

function isDigestTold(exchange: Exchange | undefined, code: string): boolean {
  return exchange !== undefined && (exchange.failures.length > 0 || code === "kept_away");
}

/** Gets whose key it is; "unknown" where the route needs one that is known. */
function getOrganisation(
  routes: RouteTable,
  route: Route,
  key: string | undefined,
): DeclaredOrganisation | "unknown" | undefined {
  if (!routes.needsKeys) return undefined;
  const organisation = key === undefined ? undefined : routes.getOrganisation(key);
  return organisation !== undefined || route.allowsAnonymous ? organisation : "unknown";
}

function createFinal(status: number, code: GatewayRefusal["code"], reason: string): GatewayRefusal {
  return new GatewayRefusal({ status, code, reason, retryAfterMs: undefined });
}

function toRefusal(cause: unknown): GatewayRefusal {
  if (cause instanceof GatewayRefusal) return cause;
  return createFinal(502, "answer_lost", String(cause));
}

function writeRefusal(response: ServerResponse, refusal: GatewayRefusal): void {
  const body = JSON.stringify({ error: { code: refusal.code, message: refusal.reason } });
  response.setHeader("Content-Type", "application/json");
  response.setHeader("Content-Length", Buffer.byteLength(body));
  if (refusal.retryAfterMs !== undefined) {
    response.setHeader("Retry-After", (refusal.retryAfterMs / 1_000).toString());
  }
  // What was not read of a refused body must not be taken for the next request.
  if (refusal.status === 400 || refusal.status === 413) response.setHeader("Connection", "close");
  response.writeHead(refusal.status);
  response.end(body);
}

/** Answers to what is no whole request, by the parser's error. */
const MALFORMED_ANSWERS: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};

/** What can't be parsed is answered and the connection ended: where the next request begins is unknown. */
function refuseMalformed(socket: Socket, errorCode: string | undefined): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const answer = MALFORMED_ANSWERS[errorCode ?? ""] ?? "400 Bad Request";
  socket.end(`HTTP/1.1 ${answer}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
