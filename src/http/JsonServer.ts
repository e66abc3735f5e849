/** A plain server of HTTP/1.1 whose calls are short and whose answers are JSON. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Effect, type Scope } from "effect";
import type { CallClass, CallScheduler } from "../admission";
import { pause } from "../clock";
import { Connections } from "./Connections";
import { listen } from "./listen";

/** An answer to one call. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: string | Uint8Array;
}

/** What a server serves. */
export interface JsonServerOptions {
  /** host:port */
  readonly listen: string;
  /** Answers one call. */
  readonly handle: (request: IncomingMessage, path: string) => Promise<JsonAnswer>;
  /** Makes the answer to a call that failed. */
  readonly createFailure: (cause: unknown) => JsonAnswer;
  /** Begins calls at their time. */
  readonly calls: CallScheduler;
  readonly getCallClass: (path: string) => CallClass;
}

const KEEP_ALIVE_MS = 20_000;
/** Callers that connect without a pause hold a stop up for so long at most. */
const MAX_ACCEPT_MS = 500;
/** Calls are short: what is not answered so long after a stop began is cut. */
const MAX_END_MS = 1_500;

/** A server of short calls. */
export class JsonServer {
  private readonly _options: JsonServerOptions;
  private readonly _server: Server;
  private readonly _connections: Connections;

  /**
   * @param options - Address, and what answers.
   */
  constructor(options: JsonServerOptions) {
    this._options = options;
    this._server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
    this._connections = new Connections(this._server, () => performance.now());
    this._server.on("request", (request, response) => this._add(request, response));
  }

  /** Starts listening. */
  start(): Promise<void> {
    return listen(this._server, this._options.listen);
  }

  /** Answers what its callers have sent on connections that they keep, then closes them. */
  async stop(): Promise<void> {
    await Promise.race([this._connections.drain(MAX_ACCEPT_MS), pause(MAX_END_MS)]);
    this._server.close();
    this._server.closeAllConnections();
  }

  private _add(request: IncomingMessage, response: ServerResponse): void {
    const { handle, createFailure, calls, getCallClass } = this._options;
    const path = (request.url ?? "").split("?")[0]!;
    const callClass = getCallClass(path);
    const begin = () => {
      handle(request, path)
        .catch((cause: unknown) => createFailure(cause))
        .then((answer) => send(response, answer));
    };
    calls.add({
      callClass,
      // What an instance says of itself holds though it has stopped to wait for the answer.
      isWanted: () => callClass === "report" || !response.destroyed,
      begin,
      refuse: () => send(response, createJson(503, { error: "too many calls wait" })),
    });
  }
}

/** Serves for as long as the scope is open. */
export function serve(server: JsonServer): Effect.Effect<void, never, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.promise(() => server.start()),
    () => Effect.promise(() => server.stop()),
  );
}

/**
 * Reads a call's body.
 * @param createTooLong - Makes the failure of one that is longer than may be.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  createTooLong: () => Error,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maxBytes) throw createTooLong();
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Makes an answer of a value. */
export function createJson(status: number, body: object): JsonAnswer {
  return { status, body: JSON.stringify(body) };
}

function send(response: ServerResponse, { status, body }: JsonAnswer): void {
  if (response.destroyed) return;
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}
