/** Passes the answer of a service on to its caller, who never takes a part of it for a whole one. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { LostAnswer } from "../../errors";
import { breakOff, closeAfter, endWhole, hasBody, isFramed } from "../../http";

/** An answer whose head has arrived. */
export interface ServiceAnswer {
  readonly incoming: IncomingMessage;
  /** Headers for the caller. */
  readonly headers: IncomingHttpHeaders;
  /** host:port of the service's endpoint. */
  readonly address: string;
  /**
   * Checks that the endpoint of an answer without a length still runs.
   * @throws LostAnswer - When it has ended, so that the answer may have been cut.
   */
  readonly checkEnd: () => Promise<void>;
}

/** Largest answer that is held until it is complete. */
const MAX_HELD_BYTES = 1_024 * 1_024;

/**
 * Passes an answer on. Resolves once its last bytes have been sent.
 * @throws LostAnswer - When the answer is broken; what its caller has received of it looks broken too.
 */
export async function passOnAnswer(response: ServerResponse, answer: ServiceAnswer): Promise<void> {
  try {
    if (lacksLength(response, answer)) await hold(response, answer);
    else await relay(response, answer);
  } catch (cause) {
    if (response.headersSent) await breakOff(response);
    throw cause instanceof LostAnswer
      ? cause
      : new LostAnswer({ address: answer.address, reason: String(cause) });
  }
}

/** Checks whether nothing but the close of its connection would end an answer towards its caller. */
function lacksLength({ req }: ServerResponse, { incoming }: ServiceAnswer): boolean {
  if (req.httpVersion === "1.1" || incoming.headers["content-length"] !== undefined) return false;
  return hasBody(req.method, incoming.statusCode);
}

/** Forwards the body as it arrives. */
async function relay(response: ServerResponse, answer: ServiceAnswer): Promise<void> {
  const { incoming, headers } = answer;
  const hasFraming = isFramed(incoming, response.req.method);
  if (!hasFraming) closeAfter(response);
  response.writeHead(incoming.statusCode ?? 502, headers);
  await pipeline(incoming, response, { end: false });
  if (!hasFraming) await answer.checkEnd();
  await endWhole(response);
}

/**
 * Sends an answer with its length once it is complete. Its caller receives no chunks, and could not tell a part of
 * it from a whole one if this process was killed.
 */
async function hold(response: ServerResponse, answer: ServiceAnswer): Promise<void> {
  const { incoming, headers } = answer;
  const body = await readWhole(answer);
  if (!isFramed(incoming, response.req.method)) await answer.checkEnd();
  response.writeHead(incoming.statusCode ?? 502, { ...headers, "content-length": String(body.length) });
  response.write(body);
  await endWhole(response);
}

/** @throws LostAnswer - When the body is larger than an entry holds. */
async function readWhole({ incoming, address }: ServiceAnswer): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes <= MAX_HELD_BYTES) continue;
    const reason = `an answer to a caller without chunks exceeds ${MAX_HELD_BYTES} bytes`;
    throw new LostAnswer({ address, reason });
  }
  return Buffer.concat(chunks);
}
