import type { IncomingMessage } from "node:http";

const HTTP_MAJOR_VERSION = 1;
/** Statuses below are informational, or none at all. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
/** The only transfer coding that the parser decodes. */
const CHUNKED = "chunked";

/**
 * Gets why an answer with this head can't be read or passed on, although the parser accepts it; `undefined` if
 * it can.
 */
export function getHeadDefect({
  headers,
  statusCode = 0,
  httpVersion,
  httpVersionMajor,
}: IncomingMessage): string | undefined {
  if (httpVersionMajor !== HTTP_MAJOR_VERSION) return `the version of the answer is HTTP/${httpVersion}`;
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS)
    return `the status of the answer is ${statusCode}`;
  const coding = headers["transfer-encoding"];
  if (coding !== undefined && coding.toLowerCase() !== CHUNKED)
    return "the answer has a transfer coding other than chunked";
  return undefined;
}
