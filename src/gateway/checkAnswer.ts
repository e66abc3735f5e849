/** Decides from the head of an answer whether it may be passed on. */
import type { AnsweringAttempt, AttemptFailure } from "./Attempt";
import type { Exchange } from "./Exchange";
import { createPeerRefusal, isLackOfRetries } from "./GatewayRefusal";
import type { RelayedAnswer } from "./relay";

/** Gets why an answer may not be passed on; `undefined` when it may. */
export function checkAnswer(
  exchange: Exchange,
  { incoming, relayed }: AnsweringAttempt,
): AttemptFailure | undefined {
  const { dependencies, request } = exchange;
  const status = incoming.statusCode ?? 0;
  if (relayed !== undefined) return checkRelayedAnswer(exchange, status, relayed);
  const answer = dependencies.dialect.readAnswer(request.call, { status, headers: incoming.headers });
  if (!answer.matchesRequest) return createFailure("answer belongs to another request", false);
  if (answer.wasNotRun) return createFailure(`endpoint refused the request with ${status}`, true);
  if (answer.isGenuine) return undefined;
  return createFailure(`answer with status ${status} lacks the headers of an endpoint`, false);
}

/** The peer has checked an endpoint's answer already. */
function checkRelayedAnswer(
  exchange: Exchange,
  status: number,
  relayed: RelayedAnswer,
): AttemptFailure | undefined {
  if (relayed.outcome === "answered") return undefined;
  if (relayed.outcome === "refused") exchange.peers.setRefusal(createPeerRefusal(status, relayed));
  const reason = `another entry answered ${status}: ${relayed.reason ?? relayed.outcome}`;
  const failure = createFailure(reason, relayed.outcome !== "unknown");
  return { ...failure, lacksRetry: isLackOfRetries(relayed) };
}

function createFailure(reason: string, wasNotRun: boolean): AttemptFailure {
  return { reason, wasNotRun, wasSent: true, wasAnswered: true };
}
