/** Checks whether an answer that ended with its connection may have been cut. */
import { checkServerRuns } from "../http";
import type { AnsweringAttempt } from "./Attempt";
import type { Exchange } from "./Exchange";

/**
 * Checks that the endpoint of an answer without a length still runs. An endpoint that leaves as planned is no
 * target any more when it stops to accept connections.
 * @throws LostAnswer - When the endpoint has ended, so that the answer may have been cut.
 */
export async function checkEnd(
  exchange: Exchange,
  { target, isFramed, relayed }: AnsweringAttempt,
): Promise<void> {
  const { client, pool } = exchange.dependencies;
  // Another entry has checked the end of an answer that it relayed.
  if (isFramed || relayed !== undefined || !pool.hasTarget(target.id)) return;
  await checkServerRuns(client, target.address);
}
