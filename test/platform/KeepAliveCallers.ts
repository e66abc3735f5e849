/** Callers that use their connections again and again until the process behind them is gone. */
import { Agent, type IncomingMessage, request } from "node:http";
import { MODEL } from "./createConfig";

/** What callers work with. */
export interface KeptCallersOptions {
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
export type CallEnd =
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
export interface SeenRequest {
  readonly sentAt: number;
  readonly endedAt: number;
  readonly end: CallEnd;
  readonly status: number;
  /** What its caller's side of the connection said. */
  readonly reason: string;
  readonly isOnKeptConnection: boolean;
}

const ROUTE_HOST = "127.0.0.1";
const REFUSED_PAUSE_MS = 50;
const DEADLINE_MS = 8_000;

/** Callers, each with one connection of its own. */
export class KeepAliveCallers {
  /** Every request that has ended. */
  readonly records: SeenRequest[] = [];
  private readonly _options: KeptCallersOptions;
  private _isOver = false;
  private _running: Promise<void>[] = [];
  private _requests = 0;

  constructor(options: KeptCallersOptions) {
    this._options = options;
  }

  /** Gets the requests that came to an end of some kind. */
  getByOutcome(end: CallEnd): SeenRequest[] {
    return this.records.filter((request) => request.end === end);
  }

  /** Gets how many requests came to an end of some kind, by what their callers saw of it. */
  countByOutcome(...ends: readonly CallEnd[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { end, reason, status, isOnKeptConnection } of this.records) {
      if (!ends.includes(end)) continue;
      const connection = isOnKeptConnection ? "kept" : "new";
      const what = `${end} ${status} on a ${connection} connection: ${reason}`;
      counts[what] = (counts[what] ?? 0) + 1;
    }
    return counts;
  }

  /** Begins to call. */
  start(callers: number): void {
    this._running = Array.from({ length: callers }, () => this._callUntilGone());
  }

  /** Waits until every caller has found nobody listening. */
  async waitUntilDisconnected(): Promise<void> {
    await Promise.all(this._running);
  }

  /** Begins no more requests, and waits for those under way. */
  async stop(): Promise<void> {
    this._isOver = true;
    await this.waitUntilDisconnected();
  }

  private async _callUntilGone(): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!this._isOver) {
      const seen = await this._call(agent);
      this.records.push(seen);
      const { returnMs, pauseMs: restMs = 0 } = this._options;
      if (seen.end === "unsent" && returnMs === undefined) break;
      const pauseMs = { refused: REFUSED_PAUSE_MS, unsent: returnMs }[seen.end as string] ?? restMs;
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    agent.destroy();
  }

  private _call(agent: Agent): Promise<SeenRequest> {
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
          "x-ploverstage-request-id": `kept-${address}-${this._requests++}`,
          "x-ploverstage-deadline-ms": String(DEADLINE_MS),
          "api-key": "k1",
        },
      });
      const end = (kind: CallEnd, reason = "", status = 0) =>
        resolve({
          sentAt,
          endedAt: performance.now(),
          end: kind,
          status,
          reason,
          isOnKeptConnection: outgoing.reusedSocket,
        });
      outgoing.on("error", (cause: NodeJS.ErrnoException) =>
        end(cause.syscall === "connect" ? "unsent" : "unanswered", cause.message),
      );
      outgoing.on("response", (answer) => {
        const status = answer.statusCode ?? 0;
        void readAnswer(answer).then(({ body, isWhole, reason }) => {
          if (status !== 200) end(isWhole ? "refused" : "cut", body, status);
          else end(isWhole && body === createStream(events) ? "whole" : "cut", reason, status);
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
function createStream(events: number): string {
  return Array.from({ length: events }, (_, i) => `id: ${i + 1}\ndata: token\n\n`).join("");
}
