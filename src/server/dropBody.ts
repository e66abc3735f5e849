/** Takes in the rest of a body that is refused. */
import type { IncomingMessage } from "node:http";

/** Time in which the rest of a refused body is taken in, in milliseconds. */
const DROP_TIMEOUT_MS = 5_000;
/** Chunks of a refused body that are taken in. */
const MAX_DROPPED_CHUNKS = 16_384;
/** Requests whose bodies are being dropped. */
const dropped = new WeakSet<IncomingMessage>();

/**
 * Takes in and drops the rest of a refused body. Closing a connection with unread bytes resets it, so that the
 * caller might not read the refusal.
 * @param maxBytes - The connection is closed after this many bytes.
 */
export function dropBody(incoming: IncomingMessage, maxBytes: number): void {
  if (dropped.has(incoming) || incoming.readableEnded || incoming.destroyed) return;
  dropped.add(incoming);
  let length = 0;
  let chunkCount = 0;
  const timer = setTimeout(() => incoming.destroy(), DROP_TIMEOUT_MS).unref();
  incoming.once("close", () => clearTimeout(timer));
  incoming.once("end", () => clearTimeout(timer));
  // The caller may disconnect while it sends; the refusal is logged in any case.
  incoming.on("error", () => {});
  incoming.on("data", (chunk: Buffer) => {
    length += chunk.length;
    chunkCount += 1;
    if (length > maxBytes || chunkCount > MAX_DROPPED_CHUNKS) incoming.destroy();
  });
  incoming.resume();
}
