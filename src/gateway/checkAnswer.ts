/** Decides from the head of an answer whether it may be passed on. */
import type { IncomingMessage } from "node:http";
import type { AttemptFailure } from "./Attempt";
import type { Exchange } from "./Exchange";

/** Gets why an answer may not be passed on; `undefined` when it may. */
export function checkAnswer(
  { dependencies, request }: Exchange,
  incoming: IncomingMessage,
): AttemptFailure | undefined {
  const status = incoming.statusCode ?? 0;
  const answer = dependencies.dialect.readAnswer(request.call, { status, headers: incoming.headers });
  if (!answer.matchesRequest)
    return { reason: "answer belongs to another request", wasNotRun: false, wasSent: true };
  if (answer.wasNotRun)
    return { reason: `endpoint refused the request with ${status}`, wasNotRun: true, wasSent: true };
  if (answer.isGenuine) return undefined;
  return {
    reason: `answer with status ${status} lacks the headers of an endpoint`,
    wasNotRun: false,
    wasSent: true,
  };
}
