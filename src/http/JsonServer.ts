/** An HTTP/1.1 server for short calls with JSON responses. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Effect, type Scope } from "effect";
import type { CallClass, CallScheduler } from "../admission";
import { pause } from "../clock";
import {
  type BodyFailure,
  BodyReader,
  type BodyReservation,
  bufferCollection,
  createHttpServer,
  dropBody,
  type MemoryBudget,
} from "../server";
import { Connections } from "./Connections";
import { getJsonCost } from "./getJsonCost";
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
  /** Handles one call, whose body has been read. */
  readonly handle: (request: IncomingMessage, path: string, body: Buffer) => Promise<JsonAnswer>;
  /** Creates the response to a call whose handler failed. */
  readonly createFailure: (cause: unknown) => JsonAnswer;
  /** Schedules the start of calls. */
  readonly calls: CallScheduler;
  readonly getCallClass: (path: string) => CallClass;
  /** Memory for the bodies of all calls of the process. */
  readonly memory: MemoryBudget;
  /** Gets the maximum size of the body of a call, bytes; no call has a body by default. */
  readonly getMaxBodyBytes?: (path: string) => number;
  /** Maximum number of connections; unlimited by default. */
  readonly maxConnections?: number;
  /** Called for each call whose body was not read. */
  readonly onRefused?: (reason: BodyFailure) => void;
  /** Called for each connection that is closed because there are too many. */
  readonly onFull?: () => void;
}

const KEEP_ALIVE_MS = 20_000;
/** Maximum time that a stop is delayed by callers that connect without a pause. */
const MAX_ACCEPT_MS = 500;
/** Bytes that a process takes for each byte of a body: the body, its text, and the values in it. */
const COST_PER_BYTE = 3;
/** Memory that the values of one call may take, bytes; a configuration of some 60,000 routes. */
const MAX_JSON_COST_BYTES = 96_000_000;
/** Size of a body whose text and values are collected at once, bytes. */
const MIN_COLLECTED_BYTES = 1_000_000;
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
    this._server = createHttpServer({ keepAliveTimeout: KEEP_ALIVE_MS });
    this._connections = new Connections(this._server, () => performance.now(), {
      maxConnections: options.maxConnections,
      endSlowest: (now) => options.memory.endSlowest(now),
      onFull: options.onFull,
    });
    this._server.on("request", (request, response) => void this._addCall(request, response));
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

  private async _addCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { memory, getCallClass } = this._options;
    const path = (request.url ?? "").split("?")[0]!;
    const callClass = getCallClass(path);
    const reservation = memory.open({
      organisation: callClass,
      isRepeatable: true,
      costPerByte: COST_PER_BYTE,
    });
    const release = () => this._release(reservation);
    const body = await this._readBody(request, path, reservation);
    if (typeof body !== "string") {
      this._schedule(request, response, { path, callClass, body, release });
      return;
    }
    release();
    this._options.onRefused?.(body);
    send(response, BODY_REFUSALS[body], true);
  }

  /** A parsed document leaves a large heap behind, which would take the room of the next one. */
  private _release(reservation: BodyReservation): void {
    const isLarge = reservation.bytes >= MIN_COLLECTED_BYTES;
    reservation.release(performance.now());
    if (isLarge) setImmediate(() => bufferCollection.collect());
  }

  private async _readBody(
    request: IncomingMessage,
    path: string,
    reservation: BodyReservation,
  ): Promise<Buffer | BodyFailure> {
    const maxBytes = this._options.getMaxBodyBytes?.(path) ?? 0;
    const body = await BodyReader.read(request, { maxBytes, reservation, getNow: () => performance.now() });
    if (typeof body === "string") {
      dropBody(request, maxBytes);
      return body;
    }
    const bytes = Buffer.concat(body.chunks);
    return getJsonCost(bytes) > MAX_JSON_COST_BYTES ? "tooLarge" : bytes;
  }

  private _schedule(request: IncomingMessage, response: ServerResponse, call: ReceivedCall): void {
    const { handle, createFailure, calls } = this._options;
    const { path, callClass, body, release } = call;
    const begin = () => {
      handle(request, path, body)
        .catch((cause: unknown) => createFailure(cause))
        .then((answer) => send(response, answer))
        .finally(release);
    };
    calls.add({
      callClass,
      // An instance's report is handled even if the instance no longer waits for the response.
      isWanted: () => {
        const isWanted = callClass === "report" || !response.destroyed;
        if (!isWanted) release();
        return isWanted;
      },
      begin,
      refuse: () => {
        release();
        send(response, createJson(503, { error: "too many calls wait" }));
      },
    });
  }
}

/** A call whose body has been read. */
interface ReceivedCall {
  readonly path: string;
  readonly callClass: CallClass;
  readonly body: Buffer;
  /** Gives back the room for the body. */
  readonly release: () => void;
}

/** Answers to calls whose bodies were not read. */
const BODY_REFUSALS: Readonly<Record<BodyFailure, JsonAnswer>> = {
  tooLarge: createJson(413, { error: "the body is too large, or has too many values" }),
  noRoom: createJson(503, { error: "there is no memory for the body" }),
  gaveWay: createJson(503, { error: "the body arrived too slowly to keep its room" }),
  tooSlow: createJson(503, { error: "the body did not arrive in time" }),
  broken: createJson(400, { error: "the body is not complete" }),
};

/** Starts a server, and stops it when the scope is closed. */
export function serve(server: JsonServer): Effect.Effect<void, never, Scope.Scope> {
  return Effect.acquireRelease(
    Effect.promise(() => server.start()),
    () => Effect.promise(() => server.stop()),
  );
}

/** Creates a JSON response from a value. */
export function createJson(status: number, body: object): JsonAnswer {
  return { status, body: JSON.stringify(body) };
}

function send(response: ServerResponse, { status, body }: JsonAnswer, endsConnection = false): void {
  if (response.destroyed) return;
  if (endsConnection) response.setHeader("Connection", "close");
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}
