/** What the calls of a control process's callers may take of its memory, connections and turns. */
import type { CallScheduler } from "../admission";
import type { JsonServerOptions } from "../http";
import type { Metrics } from "../metrics";
import { bufferCollection, getCallerLimit, MemoryBudget } from "../server";

/** Limits of a control process and what it uses for itself. */
export interface CallLimitOptions {
  /** Memory limit of the process, bytes. */
  readonly limitBytes: number;
  /** Gets the memory that the process uses for itself, bytes. */
  readonly getOwnBytes: () => number;
  /** Descriptors that the process may open. */
  readonly maxDescriptors: number;
  readonly calls: CallScheduler;
  readonly metrics: Metrics;
}

/** The part of a server's options that all servers of a process share. */
export type SharedServerOptions = Pick<
  JsonServerOptions,
  "calls" | "memory" | "maxConnections" | "onRefused" | "onFull"
>;

/** Fraction of the descriptors for the callers of one server; there are two servers. */
const SERVER_SHARE = 0.4;

/** Limits of the servers of one control process. */
export class CallLimits {
  private readonly _options: CallLimitOptions;
  private readonly _memory: MemoryBudget;

  constructor(options: CallLimitOptions) {
    const { limitBytes, getOwnBytes, metrics } = options;
    this._options = options;
    this._memory = new MemoryBudget({
      limitBytes,
      getOwnBytes,
      // Bodies are held until their calls are handled.
      onEvicted: () => {},
      onGaveWay: () => metrics.increment("bodies_gave_way", 1),
    });
    bufferCollection.start(() => this._memory.bufferBytes);
  }

  /** Gets the limits of one server. All servers share the memory and the order of calls. */
  forServer(server: string): SharedServerOptions {
    const { calls, metrics, maxDescriptors } = this._options;
    return {
      calls,
      memory: this._memory,
      maxConnections: getCallerLimit(maxDescriptors, SERVER_SHARE),
      onRefused: (reason) => metrics.increment("bodies_refused", 1, { server, reason }),
      onFull: () => metrics.increment("connections_full", 1, { server }),
    };
  }
}
