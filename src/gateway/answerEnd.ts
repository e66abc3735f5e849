/**
 * The two ways in which an answer ends: whole, or broken off. A broken answer never looks whole to its caller,
 * whatever marks the end of the answer.
 */
import type { ServerResponse } from "node:http";
import { resetConnection } from "../http";

/** Time for the last bytes of an answer to reach the caller before its connection is reset, in milliseconds. */
const RESET_DELAY_MS = 20;
/** Maximum time that the last bytes may wait for a caller that reads slowly, in milliseconds. */
const MAX_FLUSH_MS = 200;

/** Answers whose end is only marked by the close of their connection. */
const closeDelimited = new WeakSet<ServerResponse>();

/**
 * Makes an answer close-delimited.
 *
 * An endpoint's answer without a length may have been cut, which the gateway can't detect. Adding a length
 * would mark it as complete.
 */
export function delimitByClose(response: ServerResponse): void {
  closeDelimited.add(response);
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
}

/** Ends an answer as whole. Resolves once its last bytes have been sent, or its caller has disconnected. */
export function endWhole(response: ServerResponse): Promise<void> {
  if (response.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    // Without a connection, `end` never calls back.
    response.once("close", resolve);
    response.end(resolve);
  });
}

/**
 * Ends an answer of which the caller has received only a part. A missing last chunk or a missing part of the
 * declared length shows that to the caller; without either, the connection is reset.
 */
export function breakOff(response: ServerResponse): void {
  const { socket } = response;
  if (socket === null || !isCloseDelimited(response)) {
    response.destroy();
    return;
  }
  const reset = () => setTimeout(() => resetConnection(socket), RESET_DELAY_MS);
  if (socket.writableLength === 0) {
    reset();
    return;
  }
  const timer = setTimeout(() => resetConnection(socket), MAX_FLUSH_MS);
  socket.once("drain", () => {
    clearTimeout(timer);
    reset();
  });
}

/** Breaks an answer off without waiting for its last bytes, because the process stops. */
export function breakOffNow(response: ServerResponse): void {
  const { socket } = response;
  if (socket !== null && isCloseDelimited(response)) resetConnection(socket);
  else response.destroy();
}

/** Callers that speak HTTP/1.0 receive no chunks. */
function isCloseDelimited(response: ServerResponse): boolean {
  return closeDelimited.has(response) || response.req.httpVersion === "1.0";
}
