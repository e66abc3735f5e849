/** An engine that is called over HTTP/1.1 with JSON. `docs/PROTOCOLS.md` describes the formats. */
import type { IncomingMessage } from "node:http";
import { Result, Schema } from "effect";
import { MalformedAnswer, RefusedOrder } from "../errors";
import type { HttpCall, HttpClient } from "../http";
import { InstanceId, ReplicaId, type RequestId } from "../ids";
import type { CacheEvent, Engine, EngineOrder, EngineState, Frame, Generation, SendOptions } from "./Engine";
import { FrameReader } from "./FrameReader";

const StateSchema = Schema.Struct({
  instance_id: Schema.String,
  replica_id: Schema.String,
  epoch: Schema.Number,
  model: Schema.String,
  model_version: Schema.String,
  adapters: Schema.Array(Schema.String),
  ready: Schema.Boolean,
  load: Schema.Struct({
    running: Schema.Number,
    waiting: Schema.Number,
    pending_tokens: Schema.Number,
    kv_used: Schema.Number,
  }),
});

const CacheEventsSchema = Schema.Struct({
  events: Schema.Array(
    Schema.Struct({
      sequence: Schema.Number,
      kind: Schema.Literals(["stored", "removed"]),
      prefix: Schema.String,
    }),
  ),
});

const decodeState = Schema.decodeUnknownResult(StateSchema);
const decodeCacheEvents = Schema.decodeUnknownResult(CacheEventsSchema);

/** Options for calling an engine. */
export interface HttpEngineOptions {
  readonly client: HttpClient;
  /** Address in the form host:port. */
  readonly address: string;
  /** Sent with every call as a bearer token, so that an engine can authenticate the sender of an order. */
  readonly orderSecret: string;
  /** Maximum time to connect, in milliseconds. */
  readonly connectMs: number;
  /**
   * Gets the maximum time without data on a stream, in milliseconds. The value changes with the
   * configuration.
   */
  readonly getIdleMs: () => number;
}

/** An engine at one address. */
export class HttpEngine implements Engine {
  /** Address in the form host:port. */
  readonly address: string;
  private readonly _options: HttpEngineOptions;

  /** @param options - Address, client, secret and timeouts. */
  constructor(options: HttpEngineOptions) {
    this.address = options.address;
    this._options = options;
  }

  /** Gets the state that the instance reports. */
  async getState(timeoutMs: number): Promise<EngineState> {
    const decoded = decodeState(await this._callJson("GET", "/v1/state", undefined, timeoutMs));
    if (Result.isFailure(decoded)) throw this._createMalformed(decoded.failure);
    const { load, ...state } = decoded.success;
    return {
      instanceId: InstanceId(state.instance_id),
      replicaId: ReplicaId(state.replica_id),
      epoch: state.epoch,
      model: state.model,
      modelVersion: state.model_version,
      adapters: state.adapters,
      isReady: state.ready,
      load: {
        running: load.running,
        waiting: load.waiting,
        pendingTokens: load.pending_tokens,
        kvUsed: load.kv_used,
      },
    };
  }

  /** Sends a fenced order. */
  async sendOrder(order: EngineOrder, timeoutMs: number): Promise<void> {
    const body = {
      replica_id: order.replicaId,
      epoch: order.epoch,
      model: order.model,
      model_version: order.modelVersion,
      adapters: order.adapters,
      members: order.members,
      rank: order.rank,
    };
    await this._callJson("POST", "/v1/orders", body, timeoutMs);
  }

  /** Starts a generation. */
  async generate(generation: Generation, options: SendOptions): Promise<AsyncIterable<readonly Frame[]>> {
    return this._stream("/v1/generate", generation, 0, options);
  }

  /** Resumes a generation at an offset, in tokens. */
  async resume(
    generation: Generation,
    offset: number,
    options: SendOptions,
  ): Promise<AsyncIterable<readonly Frame[]>> {
    return this._stream("/v1/resume", generation, offset, options);
  }

  /** Cancels a generation whose result is no longer needed. */
  async cancel(requestId: RequestId, epoch: number, timeoutMs: number): Promise<void> {
    await this._callJson("POST", "/v1/cancel", { request_id: requestId, epoch }, timeoutMs);
  }

  /** Gets the cache events that follow a sequence number. */
  async getCacheEvents(after: number, timeoutMs: number): Promise<CacheEvent[]> {
    const body = await this._callJson("GET", `/v1/cache/events?after=${after}`, undefined, timeoutMs);
    const decoded = decodeCacheEvents(body);
    if (Result.isFailure(decoded)) throw this._createMalformed(decoded.failure);
    return [...decoded.success.events];
  }

  /** Exports the KV cache of a generation. */
  async exportKv(requestId: RequestId, epoch: number, timeoutMs: number): Promise<Uint8Array> {
    const path = `/v1/kv?request_id=${encodeURIComponent(requestId)}&epoch=${epoch}`;
    const answer = await this._options.client.send(this._createCall("GET", path, undefined, timeoutMs));
    await this._throwIfRefused(answer);
    const chunks: Buffer[] = [];
    for await (const chunk of answer as AsyncIterable<Buffer>) chunks.push(chunk);
    return Buffer.concat(chunks);
  }

  /** Imports the KV cache of a generation. */
  async importKv(requestId: RequestId, epoch: number, kv: Uint8Array, timeoutMs: number): Promise<void> {
    const path = `/v1/kv?request_id=${encodeURIComponent(requestId)}&epoch=${epoch}`;
    const answer = await this._options.client.send(this._createCall("PUT", path, kv, timeoutMs));
    await this._throwIfRefused(answer);
    answer.resume();
  }

  private async _stream(
    path: string,
    generation: Generation,
    offset: number,
    options: SendOptions,
  ): Promise<AsyncIterable<readonly Frame[]>> {
    const body = JSON.stringify(toWire(generation, offset));
    const answer = await this._options.client.send({
      ...this._createCall("POST", path, body, this._options.getIdleMs()),
      ...options,
    });
    await this._throwIfRefused(answer);
    return new FrameReader(answer, this.address, generation, offset);
  }

  private async _callJson(method: string, path: string, body: unknown, timeoutMs: number): Promise<unknown> {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const answer = await this._options.client.sendJson(this._createCall(method, path, text, timeoutMs));
    if (answer.status >= 400) throw this._createRefusal(answer.status, answer.body);
    return answer.body;
  }

  private _createCall(
    method: string,
    path: string,
    body: string | Uint8Array | undefined,
    timeoutMs: number,
  ): HttpCall {
    return {
      method,
      address: this.address,
      path,
      headers: { authorization: `Bearer ${this._options.orderSecret}`, "content-type": "application/json" },
      body,
      connectMs: Math.min(this._options.connectMs, timeoutMs),
      idleMs: timeoutMs,
    };
  }

  private async _throwIfRefused(answer: IncomingMessage): Promise<void> {
    if (answer.statusCode === 200) return;
    answer.resume();
    throw this._createRefusal(answer.statusCode ?? 0, undefined);
  }

  private _createRefusal(status: number, body: unknown): RefusedOrder {
    const hasReason = typeof body === "object" && body !== null && "error" in body;
    return new RefusedOrder({
      instance: this.address,
      status,
      reason: hasReason ? String(body.error) : "refused",
    });
  }

  private _createMalformed(cause: unknown): MalformedAnswer {
    return new MalformedAnswer({ address: this.address, reason: String(cause) });
  }
}

function toWire(generation: Generation, offset: number) {
  return {
    request_id: generation.requestId,
    replica_id: generation.replicaId,
    epoch: generation.epoch,
    model: generation.model,
    adapter: generation.adapter,
    prompt: generation.prompt,
    prefix_digests: generation.prefixDigests,
    max_tokens: generation.maxTokens,
    priority: generation.priority,
    temperature: generation.temperature,
    stop: generation.stop,
    offset,
  };
}
