import type { IncomingMessage } from "node:http";

/**
 * Checks whether an answer has a length or chunked framing. Otherwise the close of its connection ends it,
 * whether it is complete or cut.
 */
export function isFramed(incoming: IncomingMessage): boolean {
  const { headers } = incoming;
  return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
