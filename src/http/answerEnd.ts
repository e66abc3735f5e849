/**
 * The two ways in which an answer ends: whole, or broken off. A broken answer never looks whole to its caller.
 *
 * A length or a last chunk marks the end of a whole answer, so an answer is also visibly broken when this process
 * is killed and the operating system closes its connections in order. Callers that speak another version than
 * HTTP/1.1 receive no chunks; where an answer to them has no length, the close of its connection marks its end,
 * and a broken one has its connection reset, unless this process is killed first.
 *
 * An answer that its endpoint ended with its connection closes the caller's connection as well, so that a caller
 * that reads to the close does not wait until the connection has been idle for too long.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { resetConnection } from "./resetConnection";

/** Time for the last bytes of an answer to reach the caller before its connection is reset, in milliseconds. */
const RESET_DELAY_MS = 20;
/** Maximum time that the last bytes may wait for a caller that reads slowly, in milliseconds. */
const MAX_FLUSH_MS = 200;

/** Closes the caller's connection after an answer whose head has not been sent, and announces it in the head. */
export function closeAfter(response: ServerResponse): void {
  response.shouldKeepAlive = false;
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
 * declared length shows that to the caller; without either, the connection is reset. Resolves once the connection
 * is closed.
 */
export function breakOff(response: ServerResponse): Promise<void> {
  if (response.destroyed) return Promise.resolve();
  const closed = new Promise<void>((resolve) => response.once("close", resolve));
  const { socket } = response;
  if (socket === null || receivesChunks(response)) response.destroy();
  else resetAfterLastBytes(socket);
  return closed;
}

/** Resets a connection once the bytes written to it have been sent, and have had time to arrive. */
function resetAfterLastBytes(socket: Socket): void {
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
  if (socket === null || receivesChunks(response)) response.destroy();
  else resetConnection(socket);
}

/** Checks whether an answer without a length is sent in chunks. */
function receivesChunks({ req }: ServerResponse): boolean {
  return req.httpVersion === "1.1";
}
