import type { ServerResponse } from "node:http";
import { hasBody } from "../http";
import { dropHeaders, FRAMING_HEADERS, getEndToEndHeaders } from "./headers";
import type { CompleteAnswer } from "./PlainSource";

/**
 * Creates the headers of a complete answer. Its length is always declared, so that a part of it never looks
 * complete. An answer without a body keeps the length that its endpoint declared.
 */
export function createAnswerHeaders(
  { status, headers, body }: CompleteAnswer,
  { req }: ServerResponse,
): string[] {
  const endToEnd = getEndToEndHeaders(headers);
  if (!hasBody(req.method, status)) return endToEnd;
  return [...dropHeaders(endToEnd, FRAMING_HEADERS), "Content-Length", String(body.length)];
}
