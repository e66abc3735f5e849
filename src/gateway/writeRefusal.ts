/** Writes the answers with which the gateway itself ends requests. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type GatewayRefusal, getRelayOutcome } from "./GatewayRefusal";
import { formatRelay, RELAY_ANSWER_HEADER, toHeaderText } from "./relay";

/** Tells the entry that relayed a request how it was refused. */
export function addRelayOutcome(response: ServerResponse, refusal: GatewayRefusal, sent: number): void {
  const { code, reason, retryAfterMs } = refusal;
  const outcome = getRelayOutcome(refusal);
  const answer = { outcome, sent, isFramed: true, code, reason: toHeaderText(reason) };
  response.setHeader(
    RELAY_ANSWER_HEADER,
    formatRelay(retryAfterMs === undefined ? answer : { ...answer, retryAfterMs }),
  );
}

/** The unread rest of a refused body must not be parsed as the next request. */
function endsConnection({ status, code }: GatewayRefusal): boolean {
  return status === 400 || status === 413 || code === "slow_body";
}

/** Writes a refusal as the whole answer. */
export function writeRefusal(response: ServerResponse, refusal: GatewayRefusal): void {
  const body = JSON.stringify({ error: { code: refusal.code, message: refusal.reason } });
  response.setHeader("Content-Type", "application/json");
  response.setHeader("Content-Length", Buffer.byteLength(body));
  if (refusal.retryAfterMs !== undefined) {
    response.setHeader("Retry-After", (refusal.retryAfterMs / 1_000).toString());
  }
  if (endsConnection(refusal)) response.setHeader("Connection", "close");
  response.writeHead(refusal.status);
  response.end(body);
}

/** Answers to malformed requests, by the parser's error code. */
const MALFORMED_ANSWERS: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};

/**
 * Answers a request that can't be parsed and closes the connection, because the start of the next request is
 * unknown.
 */
export function refuseMalformed(socket: Socket, errorCode: string | undefined): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const answer = MALFORMED_ANSWERS[errorCode ?? ""] ?? "400 Bad Request";
  socket.end(`HTTP/1.1 ${answer}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}
