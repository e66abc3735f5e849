/**
 * A stand-in for a worker, according to the platform's documentation: reports its state, executes orders and
 * serves requests.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { TcpProxy } from "../support/TcpProxy";

/** Options of a worker. */
export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  /** Fabric domain; empty for a plain service. */
  readonly domain: string;
  /** Addresses of control processes; any of them accepts reports. */
  readonly controls: readonly string[];
  /** Report interval, milliseconds; a worker also reports each change of its place in a group. */
  readonly reportMs?: number;
  /** Time to join a group, milliseconds. */
  readonly joinMs?: number;
  /** Whether entries and control reach it through a TCP relay that can fail. */
  readonly isRelayed?: boolean;
  /**
   * Start time of this incarnation, Unix milliseconds; the current time by default. 0 leaves it out of
   * reports.
   */
  readonly born?: number;
  /** Sequence number of its last report, for a worker that has run for a long time. */
  readonly reportCount?: number;
  /** Models that are staged on its host. */
  readonly staged?: readonly string[];
  /** Gets all incarnations of the worker with an id. */
  readonly getIncarnations?: (id: string) => readonly WorkerStandin[];
  /** Called for each order that it receives, and when it breaks, drains or crashes. */
  readonly onEvent?: (event: WorkerEvent) => void;
  /** Called when a request that crashes workers arrives, even if the worker does not run it. */
  readonly onCrashingRequest?: () => void;
  /** Called after a request crashed the worker. */
  readonly onCrash?: () => void;
  /** Timing of its streams; five events 10 ms apart by default. */
  readonly stream?: StreamTiming;
}

/** Number of events of a stream and the pause between two events, milliseconds. */
export interface StreamTiming {
  readonly events: number;
  readonly eventMs: number;
}

/** Part of an HTTP response that a worker sends endlessly. */
export type EndlessKind = "event" | "body" | "head" | "informational";

/** Body of a request that crashes each worker that runs it. */
export const CRASHING_BODY = "a body that crashes workers";
/** Id of a part of a prompt that crashes each worker that runs a request with it, unless it is the last part. */
export const CRASHING_PART = "bad0bad0";
/**
 * Delay of the crash after the start of the request, milliseconds. At most the response head has been sent by
 * then.
 */
const CRASH_MS = 45;

/** An action of a worker. */
export interface WorkerEvent {
  readonly worker: string;
  /** The operation of an order, or `crash`, `drain` or `break`. */
  readonly event: string;
  readonly group?: string | undefined;
  /** Group and state of the worker before the action. */
  readonly before?: string | undefined;
}

interface Place {
  readonly name: string;
  readonly epoch: number;
  readonly rank: number;
  readonly members: readonly string[];
  /** When the head of the group first found a member missing, monotonic milliseconds. */
  lostAt?: number;
  state: "joining" | "ready" | "open" | "closing" | "broken";
}

const REPORT_MS = 150;
const JOIN_MS = 20;
const STREAM_TIMING: StreamTiming = { events: 5, eventMs: 10 };
/** Interval at which a paused stream checks whether it may continue. */
const PAUSE_CHECK_MS = 10;
const ENDLESS_CHUNK = Buffer.alloc(65_536, "x");
/** Time after which the head of a group with a missing member reports the group as broken. */
const BREAK_DELAY_MS = 500;
const BREAK_CHECK_MS = 50;

/** A worker that runs in the test process. */
export class WorkerStandin {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  /** Ids of the requests that it ran, in order. */
  readonly ran: string[] = [];
  /** Violations: joins of another group while a head of the previous group accepted requests. */
  readonly wrongJoins: string[] = [];
  /** Violations: requests that it ran in a group with a member that was never ready. */
  readonly partialRuns: string[] = [];
  /** Groups and epochs in which it was ready. */
  private readonly _readyIn = new Set<string>();
  private _relay: TcpProxy | undefined;
  private readonly _options: WorkerOptions;
  private readonly _server: Server;
  private _place: Place | undefined;
  private readonly _born: number;
  private _staged: readonly string[];
  private _sequence: number;
  /** Number of orders that it has begun. */
  private _orderCount = 0;
  private _reportTarget: string | undefined;
  private _hasReported = false;
  /** Index of the next control process to report to; the first one is chosen at random. */
  private _nextControl: number | undefined;
  private _reportTimer: NodeJS.Timeout | undefined;
  private _port = 0;
  private _isReporting = true;
  private _breakTimer: NodeJS.Timeout | undefined;
  private _hasEnded = false;
  private _pausedUntil = 0;
  /** What it sends endlessly instead of an answer; `undefined` for normal answers. */
  endless: EndlessKind | undefined;
  /** Answers requests in its place, before their bodies are read; `undefined` for normal answers. */
  answerWith: ((socket: Socket, request: IncomingMessage) => void) | undefined;
  /** Number of streams in progress. */
  private _streamCount = 0;
  private _endlessCount = 0;

  constructor(options: WorkerOptions) {
    this.id = options.id;
    this.service = options.service;
    this.domain = options.domain;
    this._options = options;
    this._born = options.born ?? Date.now();
    this._staged = options.staged ?? [];
    this._sequence = options.reportCount ?? 0;
    this._server = createServer((request, response) => void this._handle(request, response));
  }

  /** Gets its place in a group. */
  get place(): Readonly<Place> | undefined {
    return this._place;
  }

  /** Gets the models that are staged on its host. */
  get staged(): readonly string[] {
    return this._staged;
  }

  /** Checks whether it still sends reports as a ready worker. */
  get isRunning(): boolean {
    return this._isReporting;
  }

  /** Checks whether control has acknowledged a report. */
  get hasReported(): boolean {
    return this._hasReported;
  }

  /** Starts to serve and to report. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this._server.listen(0, "127.0.0.1", resolve));
    this._port = (this._server.address() as AddressInfo).port;
    if (this._options.isRelayed === true) this._relay = await TcpProxy.start(`127.0.0.1:${this._port}`);
    void this._reportPeriodically();
    this._breakTimer = setInterval(() => this._breakIfMemberLost(), BREAK_CHECK_MS).unref();
  }

  /** Gets the TCP relay in front of it, if it has one. */
  get relay(): TcpProxy | undefined {
    return this._relay;
  }

  /** Checks whether it was ever ready in an epoch of a group. */
  wasReadyIn(group: string, epoch: number): boolean {
    return this._readyIn.has(`${group}/${epoch}`);
  }

  /** Checks whether it runs and has a place in an epoch of a group. */
  isIn(group: string, epoch: number): boolean {
    return !this._hasEnded && this._place?.name === group && this._place.epoch === epoch;
  }

  /** Gets the number of requests that it answered endlessly. */
  get endlessCount(): number {
    return this._endlessCount;
  }

  /** Gets the number of streams in progress. */
  get streamCount(): number {
    return this._streamCount;
  }

  /** Pauses its streams for some time, milliseconds. */
  pauseStreams(milliseconds: number): void {
    this._pausedUntil = performance.now() + milliseconds;
  }

  /** Ends without notifying control, as a crash does. */
  crash(): void {
    this._notify("crash");
    this._hasEnded = true;
    clearInterval(this._breakTimer);
    this._stopReports();
    void this._relay?.stop();
    this._server.closeAllConnections();
    this._server.close();
  }

  /**
   * Reports that it drains.
   * @returns Whether the report was acknowledged.
   */
  async drain(): Promise<boolean> {
    this._notify("drain");
    this._stopReports();
    return this._report("draining");
  }

  private _notify(event: string, group?: string): void {
    const place = this._place;
    const before = place === undefined ? undefined : `${place.name} ${place.state}`;
    this._options.onEvent?.({ worker: this.id, event, group, before });
  }

  private async _reportPeriodically(): Promise<void> {
    clearTimeout(this._reportTimer);
    await this._report("ready");
    clearTimeout(this._reportTimer);
    // The worker may have crashed or begun to drain while its report was in flight.
    if (!this._isReporting) return;
    this._reportTimer = setTimeout(
      () => void this._reportPeriodically(),
      this._options.reportMs ?? REPORT_MS,
    );
  }

  private _reportChange(): void {
    if (this._isReporting) void this._reportPeriodically();
  }

  private _stopReports(): void {
    this._isReporting = false;
    clearTimeout(this._reportTimer);
  }

  private async _report(state: string): Promise<boolean> {
    const { service, domain, controls } = this._options;
    const body = JSON.stringify({
      service,
      address: this._relay?.address ?? `127.0.0.1:${this._port}`,
      zone: "zone-a",
      version: "v1",
      slots: 4,
      state,
      coldRemainingMs: 0,
      seqNo: ++this._sequence,
      ...(this._born === 0 ? {} : { born: this._born }),
      models: this._staged.map((name) => ({ name, version: 1, adapters: [] })),
      ...(domain === "" ? {} : { domain, staged: this._staged, group: this._describePlace() }),
    });
    this._nextControl ??= Math.floor(Math.random() * controls.length);
    const address = this._reportTarget ?? controls[this._nextControl++ % controls.length]!;
    const url = `http://${address}/-/Instances.Heartbeat/${this.id}`;
    try {
      const answer = await fetch(url, { method: "POST", body, signal: AbortSignal.timeout(1_000) });
      this._reportTarget = answer.ok
        ? ((await answer.json()) as { beatTarget?: string }).beatTarget
        : undefined;
      this._hasReported ||= answer.ok;
      return answer.ok;
    } catch {
      this._reportTarget = undefined;
      return false;
    }
  }

  private _describePlace() {
    if (this._place === undefined) return undefined;
    const { members: _, lostAt: __, ...reported } = this._place;
    return reported;
  }

  private async _handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.answerWith !== undefined && request.url?.startsWith("/-/") === false) {
      this.ran.push(String(request.headers["x-ploverstage-request-id"]));
      this.answerWith(response.socket!, request);
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const expected = request.headers["x-ploverstage-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-ploverstage-instance-id": this.id }).end();
    } else if (request.url === "/-/report")
      response.end(
        JSON.stringify({ seqNo: this._orderCount, born: this._born, group: this._describePlace() }),
      );
    else if (request.url === "/-/order")
      this._executeOrder(JSON.parse(Buffer.concat(chunks).toString()), response);
    else {
      const body = Buffer.concat(chunks).toString();
      const isCrashing = body === CRASHING_BODY || hasCrashingPart(request);
      if (isCrashing) this._options.onCrashingRequest?.();
      this._serve(request, body, response, isCrashing);
    }
  }

  private _crashByRequest(): void {
    if (this._hasEnded) return;
    this.crash();
    this._options.onCrash?.();
  }

  private _executeOrder(
    order: {
      op: string;
      group: string;
      epoch: number;
      model: string;
      members: string[];
      expectedRev?: number;
    },
    response: ServerResponse,
  ): void {
    const { _place: place } = this;
    if (order.expectedRev !== undefined && order.expectedRev !== this._orderCount)
      return void response.writeHead(409).end();
    this._notify(order.op, order.group);
    const isOwn = place !== undefined && place.name === order.group && place.epoch === order.epoch;
    if (order.op === "join") {
      if (this._place !== undefined && order.epoch < this._place.epoch)
        return void response.writeHead(412).end();
      this._join(order);
    } else if (order.op === "stage") this._staged = [order.model];
    else if (!isOwn || (order.op === "open" && place.state !== "ready"))
      return void response.writeHead(409).end();
    else if (order.op === "open") this._place!.state = "open";
    else if (order.op === "close") this._place!.state = "ready";
    else if (order.op === "leave") this._place = undefined;
    this._orderCount += 1;
    response.writeHead(202).end();
    if (order.op !== "join") this._reportChange();
  }

  /** Checks whether it accepts requests as the head of a group. */
  isServingHeadOf(group: string, epoch: number): boolean {
    const { _place: place } = this;
    if (this._hasEnded || place?.name !== group || place.epoch !== epoch) return false;
    return place.state === "open" || place.state === "closing";
  }

  /**
   * Marks the group as broken if this worker is its head and a member has been missing for longer than the
   * delay.
   */
  private _breakIfMemberLost(): void {
    const { _place: place } = this;
    if (place === undefined || place.rank !== 0 || place.state === "joining") return;
    const { getIncarnations } = this._options;
    if (getIncarnations === undefined) return;
    const isLost = (id: string) => {
      const wasThere = getIncarnations(id).some((worker) => worker.wasReadyIn(place.name, place.epoch));
      return wasThere && !getIncarnations(id).some((worker) => worker.isIn(place.name, place.epoch));
    };
    if (!place.members.some(isLost)) return;
    place.lostAt ??= performance.now();
    if (performance.now() - place.lostAt < BREAK_DELAY_MS || place.state === "broken") return;
    this._notify("break", place.name);
    place.state = "broken";
    this._reportChange();
  }

  private _join(order: { group: string; epoch: number; model: string; members: string[] }): void {
    const { _place: before } = this;
    if (before !== undefined && before.name !== order.group && this._hasServingHead(before)) {
      this.wrongJoins.push(`${this.id} joined ${order.group} while ${before.name} was open`);
    }
    const place: Place = {
      name: order.group,
      epoch: order.epoch,
      rank: order.members.indexOf(this.id),
      members: order.members,
      state: "joining",
    };
    this._place = place;
    setTimeout(() => {
      this._staged = [order.model];
      place.state = "ready";
      this._readyIn.add(`${place.name}/${place.epoch}`);
      if (this._place === place) this._reportChange();
    }, this._options.joinMs ?? JOIN_MS);
  }

  private _hasServingHead({ name, epoch, members }: Place): boolean {
    const heads = this._options.getIncarnations?.(members[0]!) ?? [this];
    return heads.some((head) => head.isServingHeadOf(name, epoch));
  }

  private _serve(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
    isCrashing: boolean,
  ): void {
    const isOpen = this._options.domain === "" || this._place?.state === "open";
    if (!isOpen) return void response.writeHead(421, { "x-ploverstage-instance-id": this.id }).end();
    const id = String(request.headers["x-ploverstage-request-id"]);
    this.ran.push(id);
    this._recordPartialRun(id);
    if (isCrashing) setTimeout(() => this._crashByRequest(), CRASH_MS);
    const headers = { "x-ploverstage-request-id": id, "x-ploverstage-response-seal": `seal-${id}` };
    if (this.endless !== undefined) {
      this._endlessCount += 1;
      sendEndless(this.endless, headers, response);
      return;
    }
    if (this._options.domain === "") {
      if (isCrashing) return;
      response.writeHead(200, headers);
      response.end(`${request.headers["x-ploverstage-tenant"]} ${request.method} ${request.url} ${body}`);
      return;
    }
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    if (isCrashing) return void response.flushHeaders();
    this._streamCount += 1;
    response.once("close", () => {
      this._streamCount -= 1;
    });
    this._stream(Number(request.headers["last-event-id"] ?? 0), response);
  }

  private _recordPartialRun(requestId: string): void {
    const { _place: place } = this;
    const { getIncarnations } = this._options;
    if (place === undefined || getIncarnations === undefined) return;
    const { name, epoch, members } = place;
    const missing = members.filter(
      (id) => !getIncarnations(id).some((worker) => worker.wasReadyIn(name, epoch)),
    );
    if (missing.length > 0) {
      this.partialRuns.push(`${requestId} ran in ${name} without ${missing.join(", ")}`);
    }
  }

  private _stream(last: number, response: ServerResponse): void {
    if (response.destroyed) return;
    const { events, eventMs } = this._options.stream ?? STREAM_TIMING;
    if (performance.now() < this._pausedUntil) {
      setTimeout(() => this._stream(last, response), PAUSE_CHECK_MS);
      return;
    }
    if (last >= events) {
      response.end();
      return;
    }
    response.write(`id: ${last + 1}\ndata: token\n\n`);
    setTimeout(() => this._stream(last + 1, response), eventMs);
  }
}

/** Sends endless data of a kind until the client closes the connection. */
function sendEndless(
  kind: EndlessKind,
  headers: Readonly<Record<string, string>>,
  response: ServerResponse,
): void {
  const { socket } = response;
  if (socket === null) return;
  let chunk: string | Buffer = ENDLESS_CHUNK;
  if (kind === "informational") chunk = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(100);
  else if (kind === "head") socket.write("HTTP/1.1 200 OK\r\nx-long: ");
  else {
    response.writeHead(200, {
      ...headers,
      "content-type": kind === "event" ? "text/event-stream" : "text/plain",
    });
    response.flushHeaders();
  }
  const isInBody = kind === "event" || kind === "body";
  const sendMore = () => {
    while (!socket.destroyed) {
      if (isInBody ? response.write(chunk) : socket.write(chunk)) continue;
      return;
    }
  };
  (isInBody ? response : socket).on("drain", sendMore);
  sendMore();
}

function hasCrashingPart({ headers }: IncomingMessage): boolean {
  const parts = String(headers["x-ploverstage-prompt-prefix"] ?? "").split(",");
  return parts.slice(0, -1).some((part) => part.startsWith(`${CRASHING_PART}:`));
}
