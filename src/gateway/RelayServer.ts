/**
 * Accepts requests that other entries relay because they reach no endpoint.
 *
 * It listens on an internal address. With a configured secret, a request without it is refused.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Clock } from "../clock";
import { InvalidRelay, MissingSecret } from "../errors";
import { Connections, listen } from "../http";
import type { Logger } from "../metrics";
import { isSecret } from "../rpc";
import { createHttpServer } from "../server";
import { RELAY_SECRET_HEADER, type RelayedRequest, readRelayedRequest } from "./relay";

export interface RelayServerOptions {
  /** host:port */
  readonly listen: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Shared by all entries; `undefined` where none is configured. */
  readonly secret: string | undefined;
  /** Runs a relayed request. */
  readonly handle: (
    incoming: IncomingMessage,
    response: ServerResponse,
    relayed: RelayedRequest,
  ) => Promise<void>;
}

/** The headers of a caller and those between entries. */
const MAX_HEADER_BYTES = 32_768;
/** Relaying entries keep connections for less time than this. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** HTTP server for the requests that other entries relay to this one. */
export class RelayServer {
  private readonly _options: RelayServerOptions;
  private readonly _server: Server;
  private readonly _connections: Connections;

  /** @param options - Listening address and handler. */
  constructor(options: RelayServerOptions) {
    this._options = options;
    this._server = createHttpServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true });
    this._server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this._connections = new Connections(this._server, () => options.clock.getMonotonicMs());
    this._server.on("request", (incoming, response) => void this._accept(incoming, response));
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await listen(this._server, this._options.listen);
  }

  /** Closes each connection after its answer. */
  announceStop(): void {
    this._connections.announceClose();
  }

  /** Closes the server and all its connections. */
  stop(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  private async _accept(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      this._checkSecret(incoming);
      await this._options.handle(incoming, response, readRelayedRequest(incoming.headers));
    } catch (cause) {
      if (!(cause instanceof InvalidRelay || cause instanceof MissingSecret)) throw cause;
      this._options.logger.warn({ event: "relay_refused", reason: cause.message });
      response.writeHead(cause instanceof MissingSecret ? 401 : 400, { Connection: "close" }).end();
    }
  }

  private _checkSecret({ headers }: IncomingMessage): void {
    const { secret } = this._options;
    const sent = String(headers[RELAY_SECRET_HEADER] ?? "");
    if (secret !== undefined && !isSecret(secret, sent)) throw new MissingSecret({ interface: "relay" });
  }
}
