/** Answers whose end only the end of their connection tells. */
import type { ServerResponse } from "node:http";

/**
 * Makes an answer end with its connection.
 *
 * An endpoint's answer without a length may have been cut without a trace: a length of
 * ours would vouch for what we can't know.
 */
export function endWithConnection(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
}
