/** Callers that reuse their keep-alive connections until the entry accepts no further connection. */
import { Agent, type IncomingMessage, request } from "node:http";
import { MODEL } from "./createConfig";

/** Options of the callers. */
export interface KeepAliveCallersOptions {
  /** Address of an entry, host:port. */
  readonly address: string;
  /** Number of events of a complete stream. */
  readonly events: number;
  /** Pause of a caller between two requests, milliseconds. */
  readonly pauseMs?: number;
  readonly path?: string;
  /**
   * Pause of a caller after its connection was refused, milliseconds; a caller without this option stops
   * then.
   */
  readonly reconnectMs?: number;
}

/** The outcome of a request. */
export type CallOutcome =
  /** A successful answer with all of its events. */
  | "whole"
  /** A complete answer with an error status. */
  | "refused"
  /** An answer that was truncated, or whose events were missing or duplicated. */
  | "cut"
  /** The connection ended before an answer began. */
  | "unanswered"
  /** The connection could not be opened. */
  | "unsent";

/** A request that has ended; times are monotonic milliseconds. */
export interface RequestRecord {
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: CallOutcome;
  readonly status: number;
  /** Error message of the connection, or the body of an error answer. */
  readonly reason: string;
  readonly isReusedConnection: boolean;
}

const ROUTE_HOST = "127.0.0.1";
const REFUSAL_PAUSE_MS = 50;
const DEADLINE_MS = 8_000;

/** Callers that each use one connection. */
export class KeepAliveCallers {
  /** All requests that have ended. */
  readonly records: RequestRecord[] = [];
  private readonly _options: KeepAliveCallersOptions;
  private _isStopped = false;
  private _callers: Promise<void>[] = [];
  private _requestCount = 0;

  constructor(options: KeepAliveCallersOptions) {
    this._options = options;
  }

  /** Gets the requests with an outcome. */
  getByOutcome(outcome: CallOutcome): RequestRecord[] {
    return this.records.filter((request) => request.outcome === outcome);
  }

  /** Counts the requests with any of the given outcomes, by outcome, status, connection and reason. */
  countByOutcome(...outcomes: readonly CallOutcome[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { outcome, reason, status, isReusedConnection } of this.records) {
      if (!outcomes.includes(outcome)) continue;
      const connection = isReusedConnection ? "kept" : "new";
      const label = `${outcome} ${status} on a ${connection} connection: ${reason}`;
      counts[label] = (counts[label] ?? 0) + 1;
    }
    return counts;
  }

  /** Starts the callers. */
  start(callers: number): void {
    this._callers = Array.from({ length: callers }, () => this._callUntilDisconnected());
  }

  /** Waits until the connection of every caller was refused. */
  async waitUntilDisconnected(): Promise<void> {
    await Promise.all(this._callers);
  }

  /** Starts no further requests, and waits for those in flight. */
  async stop(): Promise<void> {
    this._isStopped = true;
    await this.waitUntilDisconnected();
  }

  private async _callUntilDisconnected(): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!this._isStopped) {
      const record = await this._call(agent);
      this.records.push(record);
      const { reconnectMs, pauseMs: restMs = 0 } = this._options;
      if (record.outcome === "unsent" && reconnectMs === undefined) break;
      const pauseMs = { refused: REFUSAL_PAUSE_MS, unsent: reconnectMs }[record.outcome as string] ?? restMs;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    agent.destroy();
  }

  private _call(agent: Agent): Promise<RequestRecord> {
    const { address, path = "/llm/draft", events } = this._options;
    const sentAt = performance.now();
    return new Promise((resolve) => {
      const outgoing = request(`http://${address}${path}`, {
        method: "POST",
        agent,
        headers: {
          ...MODEL,
          // All entries serve the routes of a single host.
          host: ROUTE_HOST,
          "x-ploverstage-request-id": `kept-${address}-${this._requestCount++}`,
          "x-ploverstage-deadline-ms": String(DEADLINE_MS),
          "api-key": "k1",
        },
      });
      const finish = (outcome: CallOutcome, reason = "", status = 0) =>
        resolve({
          sentAt,
          endedAt: performance.now(),
          outcome,
          status,
          reason,
          isReusedConnection: outgoing.reusedSocket,
        });
      outgoing.on("error", (cause: NodeJS.ErrnoException) =>
        finish(cause.syscall === "connect" ? "unsent" : "unanswered", cause.message),
      );
      outgoing.on("response", (answer) => {
        const status = answer.statusCode ?? 0;
        void readAnswer(answer).then(({ body, isWhole, reason }) => {
          if (status !== 200) finish(isWhole ? "refused" : "cut", body, status);
          else finish(isWhole && body === getStreamBody(events) ? "whole" : "cut", reason, status);
        });
      });
      outgoing.end("hello");
    });
  }
}

function readAnswer(answer: IncomingMessage): Promise<{ body: string; isWhole: boolean; reason: string }> {
  return new Promise((resolve) => {
    let body = "";
    let reason = "";
    answer.on("data", (chunk: Buffer) => {
      body += chunk.toString();
    });
    answer.on("error", (cause) => {
      reason = cause.message;
    });
    answer.on("close", () => resolve({ body, isWhole: answer.complete, reason }));
  });
}

/** Gets the complete body of a stream with this number of events. */
function getStreamBody(events: number): string {
  return Array.from({ length: events }, (_, i) => `id: ${i + 1}\ndata: token\n\n`).join("");
}
