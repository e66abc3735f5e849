/** An HTTP/1.1 server for short calls with JSON responses. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Effect, type Scope } from "effect";
import type { CallClass, CallScheduler } from "../admission";
import { pause } from "../clock";
import { Connections } from "./Connections";
import { listen } from "./listen";

/** The response to a call. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: string | Uint8Array;
}

/** Options for a server. */
export interface JsonServerOptions {
  /** Address in the form host:port. */
  readonly listen: string;
  /** Handles one call. */
  readonly handle: (request: IncomingMessage, path: string) => Promise<JsonAnswer>;
  /** Creates the response to a call whose handler failed. */
  readonly createFailure: (cause: unknown) => JsonAnswer;
  /** Schedules the start of calls. */
  readonly calls: CallScheduler;
  readonly getCallClass: (path: string) => CallClass;
}

const KEEP_ALIVE_MS = 20_000;
/** Maximum time that a stop is delayed by callers that connect without a pause. */
const MAX_ACCEPT_MS = 500;
/** Maximum time of a stop. Calls are short, so those still open after this time are cut off. */
const MAX_STOP_MS = 1_500;

/** A server for short calls. */
export class JsonServer {
  private readonly _options: JsonServerOptions;
  private readonly _server: Server;
  private readonly _connections: Connections;

  /** @param options - Address, handlers and scheduling of calls. */
  constructor(options: JsonServerOptions) {
    this._options = options;
    this._server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
    this._connections = new Connections(this._server, () => performance.now());
    this._server.on("request", (request, response) => this._addCall(request, response));
  }

  /** Starts listening. */
  start(): Promise<void> {
    return listen(this._server, this._options.listen);
  }

  /**
   * Stops the server. Requests already sent on open connections are answered before the connections are
   * closed.
   */
  async stop(): Promise<void> {
    await Promise.race([this._connections.drain(MAX_ACCEPT_MS), pause(MAX_STOP_MS)]);
    this._server.close();
    this._server.closeAllConnections();
  }

  private _addCall(request: IncomingMessage, response: ServerResponse): void {
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
      // An instance's report is handled even if the instance no longer waits for the response.
      isWanted: () => callClass === "report" || !response.destroyed,
      begin,
      refuse: () => send(response, createJson(503, { error: "too many calls wait" })),
    });
  }
}

/** Starts a server, and stops it when the scope is closed. */
export function serve(server: JsonServer): Effect.Effect<void, never, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.promise(() => server.start()),
    () => Effect.promise(() => server.stop()),
  );
}

/**
 * Reads the body of a request.
 * @param createTooLong - Creates the error for a body of more than `maxBytes`.
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

/** Creates a JSON response from a value. */
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
