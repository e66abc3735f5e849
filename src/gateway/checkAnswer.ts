/** Whether the head of an answer is one that may be passed on. */
import type { IncomingMessage } from "node:http";
import type { AttemptFailure } from "./Attempt";
import type { Exchange } from "./Exchange";

/** Gets why an answer can't be the request's own; `undefined` when it may be passed on. */
export function checkAnswer(
  { tools, request }: Exchange,
  incoming: IncomingMessage,
): AttemptFailure | undefined {
  const status = incoming.statusCode ?? 0;
  const facts = tools.dialect.readAnswer(request.call, { status, headers: incoming.headers });
  if (!facts.matchesRequest)
    return { reason: "it answered another request", wasNotRun: false, wasSent: true };
  if (facts.wasNotRun) return { reason: `it refused with ${status}`, wasNotRun: true, wasSent: true };
  if (facts.isGenuine) return undefined;
  return { reason: `its ${status} bears no mark of an endpoint`, wasNotRun: false, wasSent: true };
}
