/** Answers whose end is only marked by the close of their connection. */
import type { ServerResponse } from "node:http";

/**
 * Makes an answer close-delimited.
 *
 * An endpoint's answer without a length may have been cut, which the gateway can't detect. Adding a length
 * would mark it as complete.
 */
export function delimitByClose(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
}
