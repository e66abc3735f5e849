/** A worker as the platform's pages describe it: reports itself, takes orders, serves. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { TcpProxy } from "../support/TcpProxy";

/** What a worker is started with. */
export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  /** "" for a plain service. */
  readonly domain: string;
  /** Addresses of control, any of which takes reports. */
  readonly controls: readonly string[];
  /** How often it reports, milliseconds; it does so as well once its place has changed. */
  readonly reportMs?: number;
  /** How long it takes to join, milliseconds. */
  readonly joinMs?: number;
  /** Whether entries and control reach it through a relay that can fail. */
  readonly isRelayed?: boolean;
  /** When this life of it started, Unix milliseconds; now if not given; it does not tell it if 0. */
  readonly born?: number;
  /** How many reports it has sent, as one that has run for long. */
  readonly reportCount?: number;
  /** Models that its host holds. */
  readonly staged?: readonly string[];
  /** Gets all lives of a worker by its id. */
  readonly getLives?: (id: string) => readonly WorkerStandin[];
  /** Called with what it does: orders that it takes, and its end. */
  readonly onEvent?: (event: WorkerEvent) => void;
  /** Called when a request that crashes workers reaches it, whether it runs it or not. */
  readonly onCrashingRequest?: () => void;
  /** Called after a request has crashed it. */
  readonly onCrash?: () => void;
  /** How its streams run; five events 10 ms apart if not given. */
  readonly stream?: StreamPace;
}

/** How many events a stream has, and the pause between two of them, milliseconds. */
export interface StreamPace {
  readonly events: number;
  readonly eventMs: number;
}

/** What a worker sends without end in place of an answer. */
export type EndlessKind = "event" | "body" | "head" | "informational";

/** A request with this body crashes each worker that runs it. */
export const CRASHING_BODY = "a body that crashes workers";
/** It does so a moment after its run began, before anything of an answer but its head. */
const CRASH_MS = 45;

/** Something that a worker did. */
export interface WorkerEvent {
  readonly worker: string;
  /** An order's name, or what happened without one. */
  readonly event: string;
  readonly group?: string | undefined;
  /** Place before it. */
  readonly before?: string | undefined;
}

interface Place {
  readonly name: string;
  readonly epoch: number;
  readonly rank: number;
  readonly members: readonly string[];
  /** As a head: when it was first seen without one of its members. */
  lostAt?: number;
  state: "joining" | "ready" | "open" | "closing" | "broken";
}

const REPORT_MS = 150;
const JOIN_MS = 20;
const STREAM_PACE: StreamPace = { events: 5, eventMs: 10 };
/** A worker whose streams stand still looks again after this time. */
const STILL_CHECK_MS = 10;
const ENDLESS_PIECE = Buffer.alloc(65_536, "x");
/** A head without one of its members is broken after this time. */
const STALL_MS = 500;
const STALL_CHECK_MS = 50;

/** One worker. */
export class WorkerStandin {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  /** Ids of requests that it ran, in order. */
  readonly ran: string[] = [];
  /** Joins of another group that it took while the head of its group took requests. */
  readonly wrongJoins: string[] = [];
  /** Requests that it ran as the head of a group of which a member had never been ready. */
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
  private _target: string | undefined;
  /** Workers start with any control process. */
  private _next: number | undefined;
  private _timer: NodeJS.Timeout | undefined;
  private _port = 0;
  private _reports = true;
  private _breakTimer: NodeJS.Timeout | undefined;
  private _hasEnded = false;
  private _stillUntil = 0;
  /** What it sends without end, if it does. */
  endless: EndlessKind | undefined;
  /** Streams that it runs now. */
  private _streams = 0;
  private _endlessAnswers = 0;

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

  /** Gets the models that its host holds. */
  get staged(): readonly string[] {
    return this._staged;
  }

  /** Gets whether it reports itself as ready. */
  get isRunning(): boolean {
    return this._reports;
  }

  /** Starts serving and reporting. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this._server.listen(0, "127.0.0.1", resolve));
    this._port = (this._server.address() as AddressInfo).port;
    if (this._options.isRelayed === true) this._relay = await TcpProxy.start(`127.0.0.1:${this._port}`);
    void this._reportAndGoOn();
    this._breakTimer = setInterval(() => this._breakIfLost(), STALL_CHECK_MS).unref();
  }

  /** Gets the relay before it, if it has one. */
  get relay(): TcpProxy | undefined {
    return this._relay;
  }

  /** Checks whether it has ever been ready in an epoch of a group. */
  wasReadyIn(group: string, epoch: number): boolean {
    return this._readyIn.has(`${group}/${epoch}`);
  }

  /** Checks whether it runs and has its place in a group. */
  isIn(group: string, epoch: number): boolean {
    return !this._hasEnded && this._place?.name === group && this._place.epoch === epoch;
  }

  /** Gets how many requests it has answered without end. */
  get endlessCount(): number {
    return this._endlessAnswers;
  }

  /** Gets how many streams it runs now. */
  get streamCount(): number {
    return this._streams;
  }

  /** Its streams stand still for some time, milliseconds, and go on by themselves. */
  pauseStreams(milliseconds: number): void {
    this._stillUntil = performance.now() + milliseconds;
  }

  /** Ends without a word, as a crash does. */
  crash(): void {
    this._tell("crash");
    this._hasEnded = true;
    clearInterval(this._breakTimer);
    this._stopReports();
    void this._relay?.stop();
    this._server.closeAllConnections();
    this._server.close();
  }

  /** Says that it leaves; resolves with whether that was acknowledged. */
  async drain(): Promise<boolean> {
    this._tell("drain");
    this._stopReports();
    return this._report("draining");
  }

  private _tell(event: string, group?: string): void {
    const place = this._place;
    const before = place === undefined ? undefined : `${place.name} ${place.state}`;
    this._options.onEvent?.({ worker: this.id, event, group, before });
  }

  private async _reportAndGoOn(): Promise<void> {
    clearTimeout(this._timer);
    await this._report("ready");
    clearTimeout(this._timer);
    // It may have crashed or begun to leave while its report was on the way.
    if (!this._reports) return;
    this._timer = setTimeout(() => void this._reportAndGoOn(), this._options.reportMs ?? REPORT_MS);
  }

  private _reportChange(): void {
    if (this._reports) void this._reportAndGoOn();
  }

  private _stopReports(): void {
    this._reports = false;
    clearTimeout(this._timer);
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
    this._next ??= Math.floor(Math.random() * controls.length);
    const address = this._target ?? controls[this._next++ % controls.length]!;
    const url = `http://${address}/-/Instances.Heartbeat/${this.id}`;
    try {
      const answer = await fetch(url, { method: "POST", body, signal: AbortSignal.timeout(1_000) });
      this._target = answer.ok ? ((await answer.json()) as { beatTarget?: string }).beatTarget : undefined;
      return answer.ok;
    } catch {
      this._target = undefined;
      return false;
    }
  }

  private _describePlace() {
    if (this._place === undefined) return undefined;
    const { members: _, lostAt: __, ...told } = this._place;
    return told;
  }

  private async _handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const expected = request.headers["x-ploverstage-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-ploverstage-instance-id": this.id }).end();
    } else if (request.url === "/-/report")
      response.end(JSON.stringify({ seqNo: this._sequence, born: this._born }));
    else if (request.url === "/-/order") this._order(JSON.parse(Buffer.concat(chunks).toString()), response);
    else {
      const body = Buffer.concat(chunks).toString();
      if (body === CRASHING_BODY) this._options.onCrashingRequest?.();
      this._serve(request, body, response);
    }
  }

  private _crashByRequest(): void {
    if (this._hasEnded) return;
    this.crash();
    this._options.onCrash?.();
  }

  private _order(
    order: { op: string; group: string; epoch: number; model: string; members: string[] },
    response: ServerResponse,
  ): void {
    const { _place: place } = this;
    this._tell(order.op, order.group);
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
    response.writeHead(202).end();
    if (order.op !== "join") this._reportChange();
  }

  /** Checks whether it may take requests as the head of a group. */
  takesRequestsOf(group: string, epoch: number): boolean {
    const { _place: place } = this;
    if (this._hasEnded || place?.name !== group || place.epoch !== epoch) return false;
    return place.state === "open" || place.state === "closing";
  }

  /** A head that has lost a member stands still, then breaks. */
  private _breakIfLost(): void {
    const { _place: place } = this;
    if (place === undefined || place.rank !== 0 || place.state === "joining") return;
    const { getLives } = this._options;
    if (getLives === undefined) return;
    const isLost = (id: string) => {
      const wasThere = getLives(id).some((life) => life.wasReadyIn(place.name, place.epoch));
      return wasThere && !getLives(id).some((life) => life.isIn(place.name, place.epoch));
    };
    if (!place.members.some(isLost)) return;
    place.lostAt ??= performance.now();
    if (performance.now() - place.lostAt < STALL_MS || place.state === "broken") return;
    this._tell("break", place.name);
    place.state = "broken";
    this._reportChange();
  }

  private _join(order: { group: string; epoch: number; model: string; members: string[] }): void {
    const { _place: before } = this;
    if (before !== undefined && before.name !== order.group && this._mayBeServed(before)) {
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

  private _mayBeServed({ name, epoch, members }: Place): boolean {
    const heads = this._options.getLives?.(members[0]!) ?? [this];
    return heads.some((head) => head.takesRequestsOf(name, epoch));
  }

  private _serve(request: IncomingMessage, body: string, response: ServerResponse): void {
    const isOpen = this._options.domain === "" || this._place?.state === "open";
    if (!isOpen) return void response.writeHead(421, { "x-ploverstage-instance-id": this.id }).end();
    const id = String(request.headers["x-ploverstage-request-id"]);
    this.ran.push(id);
    this._checkGroup(id);
    if (body === CRASHING_BODY) setTimeout(() => this._crashByRequest(), CRASH_MS);
    const headers = { "x-ploverstage-request-id": id, "x-ploverstage-response-seal": `seal-${id}` };
    if (this.endless !== undefined) {
      this._endlessAnswers += 1;
      sendWithoutEnd(this.endless, headers, response);
      return;
    }
    if (this._options.domain === "") {
      if (body === CRASHING_BODY) return;
      response.writeHead(200, headers);
      response.end(`${request.headers["x-ploverstage-tenant"]} ${request.method} ${request.url} ${body}`);
      return;
    }
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    if (body === CRASHING_BODY) return void response.flushHeaders();
    this._streams += 1;
    response.once("close", () => {
      this._streams -= 1;
    });
    this._stream(Number(request.headers["last-event-id"] ?? 0), response);
  }

  private _checkGroup(requestId: string): void {
    const { _place: place } = this;
    const { getLives } = this._options;
    if (place === undefined || getLives === undefined) return;
    const { name, epoch, members } = place;
    const missing = members.filter((id) => !getLives(id).some((life) => life.wasReadyIn(name, epoch)));
    if (missing.length > 0) {
      this.partialRuns.push(`${requestId} ran in ${name} without ${missing.join(", ")}`);
    }
  }

  private _stream(last: number, response: ServerResponse): void {
    if (response.destroyed) return;
    const { events, eventMs } = this._options.stream ?? STREAM_PACE;
    if (performance.now() < this._stillUntil) {
      setTimeout(() => this._stream(last, response), STILL_CHECK_MS);
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

/** Sends bytes that are no answer until the other side closes. */
function sendWithoutEnd(
  kind: EndlessKind,
  headers: Readonly<Record<string, string>>,
  response: ServerResponse,
): void {
  const { socket } = response;
  if (socket === null) return;
  let piece: string | Buffer = ENDLESS_PIECE;
  if (kind === "informational") piece = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(100);
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
      if (isInBody ? response.write(piece) : socket.write(piece)) continue;
      return;
    }
  };
  (isInBody ? response : socket).on("drain", sendMore);
  sendMore();
}
