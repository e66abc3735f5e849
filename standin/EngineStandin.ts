/**
 * A stand-in for an inference engine. It implements the engine protocol and generates deterministic tokens.
 */
import type { Server, ServerResponse } from "node:http";
import { sendJson, startServer, stopServer } from "./http";

/** Options of an engine stand-in. */
export interface EngineStandinOptions {
  readonly id: string;
  readonly port?: number;
  /** Time to load a model, milliseconds. */
  readonly loadMs?: number;
  /** Time between two tokens, milliseconds. */
  readonly tokenMs?: number;
  /** Whether it rejects orders of an older epoch and requests of any other epoch; true by default. */
  readonly checksOrders?: boolean;
  /** Maximum number of concurrent requests; 1,000 by default. */
  readonly capacity?: number;
}

interface GenerateBody {
  readonly request_id: string;
  readonly epoch: number;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly offset: number;
}

interface OrderBody {
  readonly replica_id: string;
  readonly epoch: number;
  readonly model: string;
  readonly model_version: string;
  readonly adapters: readonly string[];
}

/** One generation. It stays available after its stream is cut, so that a client can resume it. */
interface Run {
  readonly body: GenerateBody;
  sentTokens: number;
  isCancelled: boolean;
}

/** Faults that a test injects. */
export interface EngineFaults {
  /** Closes the connection once, before the token at this offset. */
  cutAfter?: number;
  /** Accepts a generation and records it as run, then closes the connection without an answer. */
  dropsAnswers?: boolean;
  /** Status with which generations are refused. */
  refusalStatus?: number;
  /** Offset at which a frame carries the id of another request. */
  foreignFrameAt?: number;
  /** Sends each frame twice. */
  duplicatesFrames?: boolean;
  /** Does not store runs, so that no generation can be resumed. */
  dropsRuns?: boolean;
  /** Closes the connection instead of answering state requests. */
  dropsStateRequests?: boolean;
}

/** An HTTP server that behaves as an engine. */
export class EngineStandin {
  /** Injected faults. */
  readonly faults: EngineFaults = {};
  /** Ids of the generations that it accepted, in order, with repeats. */
  readonly ran: string[] = [];
  /** Ids of the requests that were cancelled. */
  readonly cancelled: string[] = [];
  readonly id: string;
  address = "";
  epoch = 0;
  private readonly _options: EngineStandinOptions;
  private readonly _runs = new Map<string, Run>();
  private _server: Server | undefined;
  private _order: OrderBody | undefined;
  private _loadedModel = "";
  private _readyAt = 0;
  private _runningCount = 0;

  private constructor(options: EngineStandinOptions) {
    this._options = options;
    this.id = options.id;
  }

  /** Starts a stand-in. */
  static async start(options: EngineStandinOptions): Promise<EngineStandin> {
    const standin = new EngineStandin(options);
    const { server, address } = await startServer(
      (request, response, body) => standin._route(request.url ?? "", response, body),
      options.port,
    );
    standin._server = server;
    standin.address = address;
    return standin;
  }

  /** Stops the server and closes all connections. */
  async stop(): Promise<void> {
    if (this._server !== undefined) await stopServer(this._server);
    this._server = undefined;
  }

  /** Gets the text of a complete answer to a prompt. */
  static getAnswer(prompt: string, tokens: number): string {
    return Array.from({ length: tokens }, (_, i) => getToken(prompt, i)).join("");
  }

  private _route(url: string, response: ServerResponse, body: string): void | Promise<void> {
    const path = url.split("?")[0];
    if (path === "/v1/state") return this._sendState(response);
    if (path === "/v1/orders") return this._acceptOrder(response, JSON.parse(body));
    if (path === "/v1/generate") return this._generate(response, JSON.parse(body));
    if (path === "/v1/resume") return this._resume(response, JSON.parse(body));
    if (path === "/v1/cancel") return this._cancel(response, JSON.parse(body));
    if (path === "/v1/cache/events") return sendJson(response, 200, { events: [] });
    if (path === "/v1/stats") return sendJson(response, 200, { ran: this.ran, cancelled: this.cancelled });
    sendJson(response, 404, { error: "no such path" });
  }

  private _isReady(): boolean {
    return this._order !== undefined && performance.now() >= this._readyAt;
  }

  private _sendState(response: ServerResponse): void {
    if (this.faults.dropsStateRequests) {
      response.destroy();
      return;
    }
    sendJson(response, 200, {
      instance_id: this.id,
      replica_id: this._order?.replica_id ?? "",
      epoch: this.epoch,
      model: this._order?.model ?? "",
      model_version: this._order?.model_version ?? "",
      adapters: this._order?.adapters ?? [],
      ready: this._isReady(),
      load: { running: this._runningCount, waiting: 0, pending_tokens: this._runningCount * 10, kv_used: 0 },
    });
  }

  private _acceptOrder(response: ServerResponse, order: OrderBody): void {
    if ((this._options.checksOrders ?? true) && order.epoch < this.epoch) {
      sendJson(response, 409, { error: `epoch ${order.epoch} is older than ${this.epoch}` });
      return;
    }
    const model = `${order.model}@${order.model_version}`;
    const loadMs = model === this._loadedModel ? 0 : (this._options.loadMs ?? 0);
    this._loadedModel = model;
    this._order = order;
    this.epoch = order.epoch;
    this._readyAt = performance.now() + loadMs;
    sendJson(response, 200, {});
  }

  private async _generate(response: ServerResponse, body: GenerateBody): Promise<void> {
    if (this.faults.refusalStatus !== undefined) {
      return sendJson(response, this.faults.refusalStatus, { error: "refused" });
    }
    const isStale = (this._options.checksOrders ?? true) && body.epoch !== this.epoch;
    if (!this._isReady() || isStale)
      return sendJson(response, 409, { error: "the instance is not ready in this epoch" });
    if (this._runningCount >= (this._options.capacity ?? 1_000))
      return sendJson(response, 503, { error: "full" });
    this.ran.push(body.request_id);
    if (this.faults.dropsAnswers) {
      response.destroy();
      return;
    }
    const run: Run = { body, sentTokens: 0, isCancelled: false };
    if (!this.faults.dropsRuns) this._runs.set(body.request_id, run);
    await this._stream(response, run, 0);
  }

  private async _resume(response: ServerResponse, body: GenerateBody): Promise<void> {
    const run = this._runs.get(body.request_id);
    if (run === undefined || run.isCancelled) return sendJson(response, 404, { error: "unknown request" });
    await this._stream(response, run, body.offset);
  }

  private _cancel(response: ServerResponse, body: { request_id: string }): void {
    const run = this._runs.get(body.request_id);
    if (run !== undefined) run.isCancelled = true;
    this.cancelled.push(body.request_id);
    sendJson(response, 200, {});
  }

  private async _stream(response: ServerResponse, run: Run, offset: number): Promise<void> {
    this._runningCount += 1;
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.flushHeaders();
    const total = Math.min(run.body.max_tokens, 1_000);
    for (let i = offset; i < total && !response.destroyed && !run.isCancelled; i++) {
      if (this._options.tokenMs) await new Promise((resolve) => setTimeout(resolve, this._options.tokenMs));
      if (this.faults.cutAfter === i) {
        delete this.faults.cutAfter;
        response.destroy();
        break;
      }
      this._writeFrame(response, run, i, total);
      run.sentTokens = i + 1;
    }
    response.end();
    this._runningCount -= 1;
    if (run.sentTokens === total) this._runs.delete(run.body.request_id);
  }

  private _writeFrame(response: ServerResponse, run: Run, i: number, total: number): void {
    const isForeign = this.faults.foreignFrameAt === i;
    const frame = {
      request_id: isForeign ? "another" : run.body.request_id,
      epoch: run.body.epoch,
      offset: i,
      tokens: 1,
      text: getToken(run.body.prompt, i),
      ...(i === total - 1 ? { finish_reason: "stop" } : {}),
    };
    const line = `${JSON.stringify(frame)}\n`;
    response.write(this.faults.duplicatesFrames ? line + line : line);
  }
}

/** Creates a token that contains the end of its prompt, so that tests detect tokens of another request. */
function getToken(prompt: string, i: number): string {
  return `${prompt.trim().slice(-12)}#${i} `;
}
