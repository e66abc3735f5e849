import { LostAnswer } from "../errors";
import type { HttpClient } from "./HttpClient";

/**
 * Checks that a server still runs after an answer without a length, which ended with its connection.
 *
 * The connections of a process that ends are closed in order, so a part of such an answer looks like a whole one.
 * @throws LostAnswer - When the server refuses connections, so that the answer may have been cut.
 */
export async function checkServerRuns(client: HttpClient, address: string): Promise<void> {
  if ((await client.probe(address)) !== "refused") return;
  throw new LostAnswer({ address, reason: "the server ended when its answer did, which has no length" });
}
