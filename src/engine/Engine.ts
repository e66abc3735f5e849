/**
 * The interface of a model engine.
 *
 * Tokens are counted from 0 over the whole answer, so that an interrupted stream can be resumed at a known
 * offset. Every request and order carries the epoch of its replica. An engine that checks epochs refuses an
 * older one.
 */
import type { InstanceId, ReplicaId, RequestId } from "../ids";

/** An engine's load. Reports lag behind the actual load. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Prompt and output tokens that are still to be processed. */
  readonly pendingTokens: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly kvUsed: number;
}

/** The state that an instance reports. */
export interface EngineState {
  readonly instanceId: InstanceId;
  readonly replicaId: ReplicaId;
  /** Highest epoch of the orders that the instance has accepted; 0 before the first order. */
  readonly epoch: number;
  readonly model: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
  /** Whether the model is loaded and the instance has joined its replica. */
  readonly isReady: boolean;
  readonly load: EngineLoad;
}

/** A fenced order to load a model for a replica and join the replica. */
export interface EngineOrder {
  readonly replicaId: ReplicaId;
  readonly epoch: number;
  readonly model: string;
  readonly modelVersion: string;
  readonly adapters: readonly string[];
  /** Addresses of all members in rank order. The first member receives the requests. */
  readonly members: readonly string[];
  readonly rank: number;
}

/** A request to generate text. */
export interface Generation {
  readonly requestId: RequestId;
  readonly replicaId: ReplicaId;
  readonly epoch: number;
  readonly model: string;
  /** Adapter to use; "" for the base model. */
  readonly adapter: string;
  readonly prompt: string;
  /** Digests of the prompt's leading blocks. Cache events identify prefixes by them. */
  readonly prefixDigests: readonly string[];
  readonly maxTokens: number;
  /** Priority class; 0 is served first. */
  readonly priority: number;
  readonly temperature: number | undefined;
  readonly stop: readonly string[];
}

/** Options for sending a generation. */
export interface SendOptions {
  /** Aborts the generation. */
  readonly signal: AbortSignal;
  /** Called right before the first byte is sent. An exception ends the call without sending anything. */
  readonly beforeSend: () => void;
  /**
   * Whether to use a new connection, so that a request that was not sent is never reported as possibly run.
   */
  readonly isFresh: boolean;
}

/** A piece of an answer. */
export interface Frame {
  /** Index of the frame's first token in the answer. */
  readonly offset: number;
  /** Number of tokens in the frame. */
  readonly tokens: number;
  readonly text: string;
  /** Reason why the answer ended; set on the last frame only. */
  readonly finishReason: string | undefined;
}

/** A change to an engine's prefix cache. Events arrive late and may have gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "removed";
  /** Digest of the cached prefix. */
  readonly prefix: string;
}

/** A model engine at one address. */
export interface Engine {
  /** Address in the form host:port. */
  readonly address: string;
  /** Gets the state that the instance reports. */
  getState(timeoutMs: number): Promise<EngineState>;
  /**
   * Sends a fenced order. The instance has executed it once `getState` reports it as ready.
   * @throws RefusedOrder - The epoch of the order is older than the instance's.
   */
  sendOrder(order: EngineOrder, timeoutMs: number): Promise<void>;
  /**
   * Starts a generation.
   * @returns Its frames in order, in batches of those that arrived together. Each frame is checked against
   * the request, epoch and offset.
   * @throws UnreachableEndpoint, RefusedOrder - The generation was not run.
   * @throws LostAnswer - The generation may have run.
   */
  generate(generation: Generation, options: SendOptions): Promise<AsyncIterable<readonly Frame[]>>;
  /** Resumes a generation at an offset, in tokens. */
  resume(
    generation: Generation,
    offset: number,
    options: SendOptions,
  ): Promise<AsyncIterable<readonly Frame[]>>;
  /** Cancels a generation whose result is no longer needed. */
  cancel(requestId: RequestId, epoch: number, timeoutMs: number): Promise<void>;
  /** Gets the cache events that follow a sequence number. */
  getCacheEvents(after: number, timeoutMs: number): Promise<CacheEvent[]>;
  /** Exports the KV cache of a generation. */
  exportKv(requestId: RequestId, epoch: number, timeoutMs: number): Promise<Uint8Array>;
  /** Imports the KV cache of a generation. */
  importKv(requestId: RequestId, epoch: number, kv: Uint8Array, timeoutMs: number): Promise<void>;
}
