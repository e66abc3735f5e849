/**
 * Checks whether an answer that ended with its connection may have been cut.
 *
 * The connections of a process that ends are closed in order, so a part of an answer without a length or chunks
 * looks like a whole one. An endpoint that leaves as planned announces that first and is no target any more when
 * it stops to accept connections. A target that refuses connections has ended without an announcement.
 */
import { LostAnswer } from "../errors";
import type { AnsweringAttempt } from "./Attempt";
import type { Exchange } from "./Exchange";

/** @throws LostAnswer - When the endpoint has ended, so that the answer may have been cut. */
export async function checkEnd(
  exchange: Exchange,
  { target, isFramed, relayed }: AnsweringAttempt,
): Promise<void> {
  // Another entry has checked the end of an answer that it relayed.
  if (isFramed || relayed !== undefined) return;
  const { client, pool } = exchange.dependencies;
  const outcome = await client.probe(target.address);
  if (outcome !== "refused" || !pool.hasTarget(target.id)) return;
  throw new LostAnswer({
    address: target.address,
    reason: "the endpoint ended when its answer did, which has no length",
  });
}
