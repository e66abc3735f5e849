/**
 * A model engine, as the system uses it.
 *
 * Tokens are counted from 0 over the whole answer, so that a cut stream can go on at
 * a known offset. Every request and order carries the epoch of its replica; an engine
 * that checks refuses an older one.
 */
import type { InstanceId, ReplicaId, RequestId } from "../ids";

/** An engine's load as it reports it; the report lags. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Prompt and output tokens still to be worked on. */
  readonly pendingTokens: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number;
}

/** What an instance says of itself. */
export interface EngineState {
  readonly instanceId: InstanceId;
  readonly replicaId: ReplicaId;
  /** Newest epoch it took an order in, 0 before the first. */
  readonly epoch: number;
  readonly model: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
  /** Whether the model is loaded and the instance joined its replica. */
  readonly isReady: boolean;
  readonly load: EngineLoad;
}

/** A fenced order: load a model for a replica and take a place in it. */
export interface EngineOrder {
  readonly replicaId: ReplicaId;
  readonly epoch: number;
  readonly model: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
  /** Addresses of all members in rank order; the first one takes requests. */
  readonly members: readonly string[];
  readonly rank: number;
}

/** One generation. */
export interface Generation {
  readonly requestId: RequestId;
  readonly replicaId: ReplicaId;
  readonly epoch: number;
  readonly model: string;
  /** Adapter to use, "" for the base model. */
  readonly adapter: string;
  readonly prompt: string;
  /** Digests of the prompt's leading blocks, by which cache events name prefixes. */
  readonly prefixDigests: readonly string[];
  readonly maxTokens: number;
  /** 0 is served first. */
  readonly priority: number;
  readonly temperature: number | undefined;
  readonly stop: readonly string[];
}

/** How a generation is sent. */
export interface SendOptions {
  /** Ends the generation from outside. */
  readonly signal: AbortSignal;
  /** Runs right before the first byte goes out; what it throws ends the call unsent. */
  readonly beforeSend: () => void;
  /** Uses a connection of its own, so that a failure to send is never taken for a loss. */
  readonly isFresh: boolean;
}

/** A piece of an answer. */
export interface Frame {
  /** Index of its first token in the answer. */
  readonly offset: number;
  /** How many tokens it holds. */
  readonly tokens: number;
  readonly text: string;
  /** Set on the last frame: why the answer ended. */
  readonly finishReason: string | undefined;
}

/** A change of an engine's prefix cache; events arrive late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "removed";
  /** Digest of the cached prefix. */
  readonly prefix: string;
}

/** The interface of one engine. */
export interface Engine {
  /** host:port */
  readonly address: string;
  /** Gets what the instance says of itself. */
  getState(timeoutMs: number): Promise<EngineState>;
  /**
   * Gives a fenced order; the instance is ready once `getState` says so.
   * @throws RefusedOrder - On an older epoch.
   */
  sendOrder(order: EngineOrder, timeoutMs: number): Promise<void>;
  /**
   * Starts a generation.
   * @returns Its frames in order, as many at a time as arrived together, each checked against request, epoch and offset.
   * @throws UnreachableEndpoint, RefusedOrder - It was not run.
   * @throws LostAnswer - It may have run.
   */
  generate(generation: Generation, options: SendOptions): Promise<AsyncIterable<readonly Frame[]>>;
  /** Continues a generation at an offset. */
  resume(
    generation: Generation,
    offset: number,
    options: SendOptions,
  ): Promise<AsyncIterable<readonly Frame[]>>;
  /** Ends a generation that nobody waits for. */
  cancel(requestId: RequestId, epoch: number, timeoutMs: number): Promise<void>;
  /** Gets cache events after a sequence number. */
  getCacheEvents(after: number, timeoutMs: number): Promise<CacheEvent[]>;
  /** Exports the KV cache of a generation. */
  exportKv(requestId: RequestId, epoch: number, timeoutMs: number): Promise<Uint8Array>;
  /** Imports the KV cache of a generation. */
  importKv(requestId: RequestId, epoch: number, kv: Uint8Array, timeoutMs: number): Promise<void>;
}
