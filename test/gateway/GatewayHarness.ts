/** Runs a gateway server with scripted endpoints on loopback and a dialect for tests. */
import { createServer, type IncomingMessage, request, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { create } from "@bufbuild/protobuf";
import { pino } from "pino";
import { type Clock, SystemClock } from "../../src/clock";
import { SeededRandom } from "../../src/consensus";
import { CrashLedger, getRequestDigest, type RequestContent } from "../../src/containment";
import { type Declaration, type Route, RouteTable } from "../../src/declaration";
import type { AnswerMetadata, AttemptMetadata, CallMetadata, Dialect } from "../../src/gateway";
import { dropHeaders } from "../../src/gateway";
import { AnswerBuffers } from "../../src/gateway/AnswerBuffers";
import { CrashMonitor } from "../../src/gateway/CrashMonitor";
import { EntryLinks } from "../../src/gateway/EntryLinks";
import { GatewayServer } from "../../src/gateway/GatewayServer";
import { RelayServer } from "../../src/gateway/RelayServer";
import { StreamGate } from "../../src/gateway/StreamGate";
import { TargetPool } from "../../src/gateway/TargetPool";
import {
  type EntryEndpoint,
  EntryEndpointSchema,
  type Target,
  TargetSchema,
} from "../../src/gen/ploverstage/v1/fleet_pb";
import { CrashRecordSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { HttpClient, splitAddress } from "../../src/http";
import { PrometheusMetrics } from "../../src/metrics";
import type { ReceivedView } from "../../src/registration";
import { MemoryBudget } from "../../src/server";
import { type RawAnswer, sendRawAnswer } from "../../standin/rawAnswer";

/** A request as received by an endpoint. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  readonly rawHeaders: readonly string[];
  readonly body: string;
  /** Index of the endpoint. */
  readonly index: number;
}

/** Behaviour of an endpoint: answers a request. */
export interface Script {
  (seen: ReceivedRequest, response: ServerResponse): void;
  /** Whether it answers before it reads the body, of which it then reads no more. */
  readonly isEarly?: boolean;
}

/** An answer as received by a caller. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  /** Whether the answer was complete according to its framing. */
  readonly isWhole: boolean;
}

/** Dialect of the tests. */
class TestDialect implements Dialect {
  readCall(headers: IncomingMessage["headers"]): CallMetadata {
    const waitMs = headers["x-wait-ms"];
    return {
      requestId: String(headers["x-id"] ?? ""),
      waitMs: waitMs === undefined ? undefined : Number(waitMs),
      key: headers["x-key"] as string | undefined,
      model: "",
      promptTokens: 0,
      answerTokens: 0,
      promptParts: String(headers["x-parts"] ?? "")
        .split(",")
        .filter((part) => part !== ""),
      lastEventId: headers["last-event-id"] as string | undefined,
    };
  }

  createHeaders(raw: readonly string[], attempt: AttemptMetadata): string[] {
    const headers = dropHeaders(raw, new Set(["x-key", "x-wait-ms", "last-event-id", "x-organisation"]));
    headers.push("x-wait-ms", String(Math.floor(attempt.leftMs)));
    headers.push("x-in-time", String(attempt.canMeetObjective));
    if (attempt.organisation !== undefined) headers.push("x-organisation", attempt.organisation);
    if (attempt.lastEventId !== undefined) headers.push("last-event-id", attempt.lastEventId);
    return headers;
  }

  readAnswer(call: CallMetadata, { headers }: { headers: IncomingMessage["headers"] }): AnswerMetadata {
    const id = headers["x-id"];
    return {
      matchesRequest: id === undefined || id === call.requestId,
      wasNotRun: headers["x-not-run"] !== undefined,
      isGenuine: headers["x-seal"] !== undefined,
    };
  }
}

/** Memory limit of a gateway. */
export const LIMIT_BYTES = 350_000_000;
const MAX_BODY_BYTES = 100_000;
/** Number of failures after which further ones no longer extend the time that an endpoint is avoided. */
const MAX_FAILURES = 4;
/** The memory that a gateway uses for itself. */
export const OWN_BYTES = 100_000_000;

/** The route of a gateway, unless a test changes it. */
export const BASE_ROUTE: Route = {
  name: "route",
  host: "api.example",
  pathPrefix: "/",
  kind: "repeatable",
  isResumable: false,
  timeoutMs: 2_000,
  objectiveMs: 200,
  gapObjectiveMs: 200,
  priority: 0,
  split: [{ service: "service", weight: 1 }],
  maxAttempts: 2,
  allowsAnonymous: false,
};

/** The same options as in the entry process. */
const LOG_OPTIONS = {
  level: "info",
  base: { role: "entry", name: "test" },
  timestamp: pino.stdTimeFunctions.isoTime,
};

/** A running gateway with its endpoints. */
export class GatewayHarness {
  readonly requests: ReceivedRequest[] = [];
  /** Log lines of the gateway. */
  readonly logLines: string[] = [];
  /** Metrics of the gateway. */
  readonly metrics = new PrometheusMetrics({ role: "entry", name: "test" });
  /** Crashes that the gateway has recorded. */
  readonly ledger = new CrashLedger();
  /** Crash monitor of the gateway. */
  readonly crashMonitor: CrashMonitor;
  /** Memory limit of the gateway, bytes. */
  limitBytes = LIMIT_BYTES;
  /** Memory budget of the gateway. */
  readonly memory = new MemoryBudget({
    limitBytes: LIMIT_BYTES,
    getOwnBytes: () => OWN_BYTES + LIMIT_BYTES - this.limitBytes,
    onEvicted: () => {
      this.evictedCount += 1;
    },
    onGaveWay: () => {},
  });
  /** Number of bodies that the gateway has evicted to make room. */
  evictedCount = 0;
  /** Largest number of bytes reserved for bodies when an endpoint received a request. */
  peakBodyBytes = 0;
  /** Whether a leader has confirmed the declaration. */
  isConfirmed = true;
  /** Whether the gateway has received its declaration. */
  hasDeclaration = true;
  /** Routes of a newer declaration that may be in force. */
  proposedRoutes: RouteTable | undefined;
  /** The declaration in force. */
  declaration!: Declaration;
  publishedView: ReceivedView = { control: "10.0.0.1:1", term: 2, heartbeatAgeMs: 80 };
  private readonly _servers: Server[] = [];
  private readonly _client = new HttpClient();
  /** Links of the gateway to its endpoints and to other gateways. */
  links!: EntryLinks;
  private _gateway!: GatewayServer;
  private _pool!: TargetPool;
  private readonly _gate = new StreamGate(new SystemClock(), () => 32);
  private _relayServer: RelayServer | undefined;
  private _relayPort = 0;
  /** Number of retries in the budget of the gateway. */
  retries = Number.POSITIVE_INFINITY;
  /** Targets of the gateway. */
  targets: readonly Target[] = [];
  private _port = 0;
  private _suspendedMs = 0;

  private constructor() {
    const logger = pino(LOG_OPTIONS, { write: (line: string) => this.logLines.push(line) });
    this.crashMonitor = new CrashMonitor({
      ledger: this.ledger,
      logger,
      metrics: this.metrics,
      probe: (address) => this._client.probe(address),
      isExplained: (attempt) => this.links.destinations.explainsBreak(attempt),
      onChange: () => {},
    });
  }

  /** Starts one endpoint for each script, and a gateway that forwards requests to them. */
  static async start(
    scripts: readonly Script[],
    route: Partial<Route> = {},
    maxBodyBytes = MAX_BODY_BYTES,
  ): Promise<GatewayHarness> {
    const harness = new GatewayHarness();
    const targets = await Promise.all(scripts.map((script, i) => harness._startEndpoint(script, i)));
    await harness._startGateway(targets, { ...BASE_ROUTE, ...route }, maxBodyBytes);
    return harness;
  }

  /** Gets what the gateway counts for requests in progress; all of it is 0 when there are none. */
  getAccounts(): Record<"requests" | "bytes" | "atEndpoints" | "waiting", number> {
    const atEndpoints = this.targets.map(({ id }) => this._pool.getInFlight(id));
    return {
      requests: this._gateway.requestCount,
      bytes: this.memory.bytes,
      atEndpoints: atEndpoints.reduce((sum, count) => sum + count, 0),
      waiting: this._gate.waitingCount,
    };
  }

  /** Gets the port at which the gateway accepts relayed requests. */
  get relayPort(): number {
    return this._relayPort;
  }

  /** Starts an endpoint at the address of one that has ended. */
  async restartEndpoint(address: string, script: Script): Promise<void> {
    const { port } = splitAddress(address);
    await this._listen(script, this._servers.length, port);
  }

  /** Lets the gateway relay requests to the gateways of other harnesses. */
  async addPeers(peers: readonly GatewayHarness[], secret?: string): Promise<void> {
    const endpoints = await Promise.all(peers.map((peer) => peer._acceptRelays(secret)));
    this.links.setPeers(endpoints);
  }

  private async _acceptRelays(secret: string | undefined): Promise<EntryEndpoint> {
    this._relayPort = await getFreePort();
    const peerAddress = `127.0.0.1:${this._relayPort}`;
    this._relayServer = new RelayServer({
      listen: peerAddress,
      clock: new SystemClock(),
      logger: pino(LOG_OPTIONS, { write: (line: string) => this.logLines.push(line) }),
      secret,
      handle: (incoming, response, relayed) => this._gateway.handleRelayed(incoming, response, relayed),
    });
    await this._relayServer.start();
    return create(EntryEndpointSchema, { address: `127.0.0.1:${this.port}`, peerAddress });
  }

  /** Gets the port of the gateway. */
  get port(): number {
    return this._port;
  }

  /** Stops the gateway and its endpoints. */
  async stop(): Promise<void> {
    this._client.close();
    this.links.stop();
    for (const server of this._servers) server.closeAllConnections();
    await Promise.all(this._servers.map((server) => new Promise((resolve) => server.close(resolve))));
    this._gateway.stop();
    this._relayServer?.stop();
  }

  /**
   * Simulates a suspension of the machine: the clock advances but timers do not, then the gateway resumes.
   */
  suspend(milliseconds: number): void {
    this._suspendedMs += milliseconds;
    this._gateway.endExpired();
  }

  /** Simulates crash records by which other entries confirm a request as the cause of crashes. */
  confirmCause(content: RequestContent): void {
    const crashes = [1, 2, 3].map((depth) => ({ life: `elsewhere-${depth}`, depth }));
    const record = create(CrashRecordSchema, { digest: getRequestDigest(content), crashes });
    this.ledger.addCommitted(0, [record]);
    this._gateway.withdrawConfirmedCauses();
  }

  /** Lets the gateway avoid all endpoints but the first one for as long as it avoids any. */
  avoidOthers(): void {
    const now = new SystemClock().getMonotonicMs();
    for (const { id } of this.targets.slice(1)) {
      for (let failures = 0; failures < MAX_FAILURES; failures++) this._pool.addFailure(now, id);
    }
  }

  /** Ends the server for relayed requests, with its connections, like the end of the process. */
  stopRelay(): void {
    this._relayServer?.stop();
  }

  /** Removes an endpoint from the view of the gateway, as when it has announced that it leaves. */
  removeTarget(id: string): void {
    this._pool.setTargets(this._pool.getTargets().filter((target) => target.id !== id));
  }

  /** Applies what the fields of this harness say, as after an update of the view. */
  updateView({ targets = this.targets }: { targets?: readonly Target[] } = {}): void {
    this._pool.setTargets(targets);
    this._gateway.updateDeclaration();
    this._gateway.updateView();
  }

  /** Gets the number of requests that wait for what the gateway expects after its start. */
  get heldCount(): number {
    return this._gateway.heldCount;
  }

  /** Lets the gateway refuse new requests, as in the course of a stop. */
  refuseAll(): void {
    this._gateway.refuseAll();
  }

  /** Ends an endpoint like a crash: its connections are reset and its port refuses new ones. */
  endEndpoint(index: number): void {
    const server = this._servers[index]!;
    server.close();
    server.closeAllConnections();
  }

  /** Sends a request to the gateway on a new connection. */
  call(
    options: { method?: string; path?: string; headers?: object; body?: string } = {},
  ): Promise<ReceivedAnswer> {
    return new Promise((resolve, reject) => {
      const outgoing = request({
        host: "127.0.0.1",
        port: this._port,
        method: options.method ?? "POST",
        path: options.path ?? "/work/1?x=2",
        agent: false,
        headers: { host: "api.example", "x-key": "k1", "x-id": "call-1", ...options.headers },
      });
      outgoing.on("error", reject);
      outgoing.on("response", (answer) => {
        let body = "";
        answer.on("data", (chunk: Buffer) => {
          body += chunk.toString();
        });
        answer.on("error", () => {});
        answer.on("close", () =>
          resolve({ status: answer.statusCode!, headers: answer.headers, body, isWhole: answer.complete }),
        );
      });
      outgoing.end(options.body ?? "hello");
    });
  }

  private async _listen(script: Script, index: number, port: number): Promise<number> {
    const server = createServer(async (incoming, response) => {
      let body = "";
      try {
        const chunks = script.isEarly === true ? [] : (incoming as AsyncIterable<Buffer>);
        for await (const chunk of chunks) body += chunk.toString();
      } catch {
        // The gateway or the end of this endpoint has closed the connection, so there is no request to answer.
        return;
      }
      const { method, url, headers, rawHeaders } = incoming;
      this.peakBodyBytes = Math.max(this.peakBodyBytes, this.memory.bodyBytes);
      const seen = { method: method!, path: url!, headers, rawHeaders, body, index };
      this.requests.push(seen);
      script(seen, response);
    });
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
    this._servers.push(server);
    return (server.address() as AddressInfo).port;
  }

  private async _startEndpoint(script: Script, index: number): Promise<Target> {
    const port = await this._listen(script, index, 0);
    const id = `t${index}`;
    return create(TargetSchema, {
      id,
      service: "service",
      instanceId: id,
      address: `127.0.0.1:${port}`,
      failureDomain: `zone-${index}`,
      slots: 1,
    });
  }

  private async _startGateway(targets: readonly Target[], route: Route, maxBodyBytes: number): Promise<void> {
    const system = new SystemClock();
    const clock: Clock = {
      getMonotonicMs: () => system.getMonotonicMs() + this._suspendedMs,
      getWallMs: () => system.getWallMs(),
    };
    const random = new SeededRandom(1);
    const pool = new TargetPool(random);
    this._pool = pool;
    pool.setTargets(targets);
    this.targets = targets;
    // The other targets count as suspected, so the first one is chosen until it has failed.
    for (const target of targets.slice(1)) pool.addFailure(clock.getMonotonicMs(), target.id);
    this.links = new EntryLinks({
      clock,
      random,
      pool,
      client: this._client,
      logger: pino(LOG_OPTIONS, { write: (line: string) => this.logLines.push(line) }),
      metrics: this.metrics,
      getLagMs: () => 0,
      reportLoss: async () => {},
    });
    const declaration: Declaration = {
      version: 1,
      routes: [route],
      services: [{ name: "service", maxConnections: 10, engine: undefined }],
      organisations: [{ name: "atlas", keys: ["k1"], priority: 0 }],
      limits: { headerBytes: 16_384, bodyBytes: maxBodyBytes, headerMs: 300, idleMs: 15_000 },
    };
    this.declaration = declaration;
    const routes = new RouteTable(declaration);
    this._port = await getFreePort();
    this._gateway = new GatewayServer({
      listen: `127.0.0.1:${this._port}`,
      clock,
      random,
      logger: pino(LOG_OPTIONS, { write: (line: string) => this.logLines.push(line) }),
      metrics: this.metrics,
      dependencies: {
        clock,
        client: this._client,
        dialect: new TestDialect(),
        pool,
        destinations: this.links.destinations,
        secret: undefined,
        crashMonitor: this.crashMonitor,
        memory: this.memory,
        buffers: new AnswerBuffers(this.memory),
        gate: this._gate,
        random,
        takeRetry: () => this.retries-- > 0,
        onSuspicion: () => {},
      },
      getRoutes: () => (this.hasDeclaration ? routes : undefined),
      isConfirmed: () => this.isConfirmed,
      getProposedRoutes: () => this.proposedRoutes,
      getPublishedView: () => this.publishedView,
      onRequest: () => {},
    });
    await this._gateway.start();
  }
}

async function getFreePort(): Promise<number> {
  const probe = createServer();
  await new Promise<void>((resolve) => probe.listen(0, "127.0.0.1", resolve));
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return port;
}

/** Creates a script that answers with a seal and the id of the request. */
export function answer(status: number, body: string, headers: Record<string, string> = {}): Script {
  return (seen, response) => {
    response.writeHead(status, { "x-seal": "s", "x-id": String(seen.headers["x-id"]), ...headers });
    response.end(body);
  };
}

/** Creates a script that sends a raw answer, before it reads the body of the request if it is early. */
export function answerRaw(raw: RawAnswer, { isEarly = false } = {}): Script {
  const script = (_seen: ReceivedRequest, response: ServerResponse) => sendRawAnswer(response.socket!, raw);
  return Object.assign(script, { isEarly });
}

/** Creates a script that writes events, then completes, breaks off or stalls. */
export function streamEvents(ids: readonly number[], end: "whole" | "cut" | "cutWithin" | "silent"): Script {
  return (seen, response) => {
    response.writeHead(200, {
      "x-seal": "s",
      "x-id": String(seen.headers["x-id"]),
      "content-type": "text/event-stream",
    });
    const text = ids.map((id) => `id: ${id}\ndata: ${id}\n\n`).join("");
    response.write(end === "cutWithin" ? `${text}id: 99\nda` : text, () => {
      if (end === "whole") response.end();
      if (end === "cut" || end === "cutWithin") response.destroy();
    });
  };
}

/** Creates a script that streams events one at a time, then stalls with its connection open. */
export function streamThenStall(ids: readonly number[], gapMs: number): Script {
  return (seen, response) => {
    response.writeHead(200, {
      "x-seal": "s",
      "x-id": String(seen.headers["x-id"]),
      "content-type": "text/event-stream",
    });
    const remaining = [...ids];
    const timer = setInterval(() => {
      const id = remaining.shift();
      if (id === undefined) clearInterval(timer);
      else response.write(`id: ${id}\ndata: ${id}\n\n`);
    }, gapMs);
    response.on("close", () => clearInterval(timer));
  };
}
