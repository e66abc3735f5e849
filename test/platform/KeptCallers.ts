/** Callers that use their connections again and again until the process behind them is gone. */
import { Agent, type IncomingMessage, request } from "node:http";
import { MODEL } from "./createConfig";

/** What callers work with. */
export interface KeepAliveCallersOptions {
  /** host:port of an entry. */
  readonly address: string;
  /** Events of a whole stream. */
  readonly events: number;
  /** Pause of a caller between two requests, milliseconds. */
  readonly pauseMs?: number;
  readonly path?: string;
  /** How long a caller that found no one listening stays away, milliseconds; for good if not given. */
  readonly returnMs?: number;
}

/** What became of one request. */
export type CallOutcome =
  /** A success to its last event. */
  | "whole"
  /** An answer other than a success, whole. */
  | "refused"
  /** An answer that began and ended before its end, or with events missing or doubled. */
  | "cut"
  /** Its connection ended without an answer. */
  | "unanswered"
  /** No connection came up. */
  | "unsent";

/** One request, monotonic milliseconds. */
export interface RequestRecord {
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: CallOutcome;
  readonly status: number;
  /** What its caller's side of the connection said. */
  readonly reason: string;
  readonly isReusedConnection: boolean;
}

const ROUTE_HOST = "127.0.0.1";
const REFUSAL_PAUSE_MS = 50;
const DEADLINE_MS = 8_000;

/** Callers, each with one connection of its own. */
export class KeptCallers {
  /** Every request that has ended. */
  readonly seen: RequestRecord[] = [];
  private readonly _options: KeepAliveCallersOptions;
  private _isStopped = false;
  private _callers: Promise<void>[] = [];
  private _requestCount = 0;

  constructor(options: KeepAliveCallersOptions) {
    this._options = options;
  }

  /** Gets the requests that came to an end of some kind. */
  getEnded(outcome: CallOutcome): RequestRecord[] {
    return this.seen.filter((request) => request.outcome === outcome);
  }

  /** Gets how many requests came to an end of some kind, by what their callers saw of it. */
  countEnds(...outcomes: readonly CallOutcome[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { outcome, reason, status, isReusedConnection } of this.seen) {
      if (!outcomes.includes(outcome)) continue;
      const connection = isReusedConnection ? "kept" : "new";
      const label = `${outcome} ${status} on a ${connection} connection: ${reason}`;
      counts[label] = (counts[label] ?? 0) + 1;
    }
    return counts;
  }

  /** Begins to call. */
  start(callers: number): void {
    this._callers = Array.from({ length: callers }, () => this._callUntilDisconnected());
  }

  /** Waits until every caller has found nobody listening. */
  async waitUntilGone(): Promise<void> {
    await Promise.all(this._callers);
  }

  /** Begins no more requests, and waits for those under way. */
  async stop(): Promise<void> {
    this._isStopped = true;
    await this.waitUntilGone();
  }

  private async _callUntilDisconnected(): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!this._isStopped) {
      const record = await this._call(agent);
      this.seen.push(record);
      const { returnMs, pauseMs: restMs = 0 } = this._options;
      if (record.outcome === "unsent" && returnMs === undefined) break;
      const pauseMs = { refused: REFUSAL_PAUSE_MS, unsent: returnMs }[record.outcome as string] ?? restMs;
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
          // Every entry serves the routes of one host.
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

/** Gets the whole answer of a stream of so many events. */
function getStreamBody(events: number): string {
  return Array.from({ length: events }, (_, i) => `id: ${i + 1}\ndata: token\n\n`).join("");
}
