/** Creates HTTP/1.1 servers that are the same in how they protect their process from their clients. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { dropBody } from "./dropBody";
import { getPacedRequest } from "./PacedRequest";

/** Options of a server; the times have the defaults of this module. */
export type HttpServerOptions = Omit<ServerOptions, "IncomingMessage">;

/** Time in which a whole request must arrive, milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Time in which the head of a request must arrive, milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Interval of the check for clients that send too slowly, milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Bytes of a body that are taken in when the handler has answered without reading it. */
const MAX_UNREAD_BYTES = 4_194_304;

/** Creates a server that reads its connections in turns and drops bodies that nobody reads, within limits. */
export function createHttpServer(options: HttpServerOptions = {}): Server {
  const server = createServer({
    requestTimeout: REQUEST_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    ...options,
    IncomingMessage: getPacedRequest(),
  });
  server.on("request", limitUnreadBody);
  // A client that waits for `100 Continue` may always send its body, because bodies are limited anyway.
  server.on("checkContinue", (incoming: IncomingMessage, response: ServerResponse) => {
    response.writeContinue();
    server.emit("request", incoming, response);
  });
  return server;
}

/** Drops the body of a request that was answered before its body was read. */
function limitUnreadBody(incoming: IncomingMessage, response: ServerResponse): void {
  const { headers } = incoming;
  if (headers["content-length"] === undefined && headers["transfer-encoding"] === undefined) return;
  // Otherwise the server itself would drop the body, without a limit.
  incoming.read(0);
  response.once("finish", () => dropBody(incoming, MAX_UNREAD_BYTES));
}
