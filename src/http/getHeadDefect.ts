import type { IncomingMessage } from "node:http";

const HTTP_MAJOR_VERSION = 1;
/** Statuses below are informational, or none at all. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Gets why the head of an answer is not one of HTTP/1.x, although the parser accepts it; `undefined` if it is
 * valid.
 *
 * Such an answer is broken, whatever its body looks like. Nothing of it may be passed on.
 */
export function getHeadDefect({
  statusCode = 0,
  httpVersion,
  httpVersionMajor,
}: IncomingMessage): string | undefined {
  if (httpVersionMajor !== HTTP_MAJOR_VERSION) return `the version of the answer is HTTP/${httpVersion}`;
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS)
    return `the status of the answer is ${statusCode}`;
  return undefined;
}
