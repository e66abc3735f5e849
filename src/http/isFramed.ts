import type { IncomingMessage } from "node:http";
import { hasBody } from "./hasBody";

/**
 * Checks whether an answer has a length or chunked framing, or no body. Otherwise the close of its connection
 * ends it, whether it is complete or cut.
 */
export function isFramed(incoming: IncomingMessage, method?: string): boolean {
  const { headers, statusCode } = incoming;
  if (!hasBody(method, statusCode)) return true;
  return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
