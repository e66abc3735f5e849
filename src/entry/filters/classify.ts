/** Third filter: determines class, deadline and estimated cost. */
import type { Facts, LoadFacts } from "../../policy";
import { getPrefixDigests } from "../../routing";
import type { ActiveConfiguration } from "../ClusterView";
import { Refusal } from "../Refusal";
import type { ClassifiedRequest, IdentifiedRequest } from "../requests";
import { estimateTokens, PROMPT_TOKEN_COST } from "../tokens";

/** Inputs to the classification besides the request. */
export interface ClassificationContext {
  /** Wall clock time, for the hour of the day. */
  readonly wallMs: number;
  readonly load: LoadFacts;
  /** Number of the organisation's requests that are queued at this entry. */
  readonly organisationQueued: number;
  /** Gets the mean number of tokens per answer of a class, or `undefined` before its first answer. */
  readonly getMeanTokens: (className: string) => number | undefined;
}

const MS_PER_HOUR = 3_600_000;
const HOURS_PER_DAY = 24;
/** Cost of a service call, in generated tokens. */
const SERVICE_CALL_COST = 1;

/**
 * Classifies a request.
 * @param now - Monotonic milliseconds.
 * @throws Refusal - With the code shed_by_policy.
 */
export function classifyRequest(
  now: number,
  request: IdentifiedRequest,
  active: ActiveConfiguration,
  context: ClassificationContext,
): ClassifiedRequest {
  const promptTokens = request.call.kind === "model" ? estimateTokens(request.call.prompt) : 0;
  const policyFacts = createPolicyFacts(request, promptTokens, context);
  const requestClass = active.policy.getClass(policyFacts);
  if (active.policy.isShed(requestClass.name, policyFacts)) {
    const reason = `the policy currently sheds requests of class "${requestClass.name}"`;
    throw new Refusal({
      code: "shed_by_policy",
      outcome: "not-run",
      reason,
      retryAfterMs: context.load.queue_ms,
    });
  }
  const deadlineMs = Math.min(request.deadlineMs ?? requestClass.deadline, active.declared.limits.total);
  return {
    ...request,
    requestClass,
    deadlineAt: now + deadlineMs,
    promptTokens,
    cost: estimateCost(request, promptTokens, context.getMeanTokens(requestClass.name)),
    prefixDigests: getPromptDigests(request),
  };
}

function createPolicyFacts(
  request: IdentifiedRequest,
  promptTokens: number,
  context: ClassificationContext,
): Facts {
  const { call, organisation } = request;
  return {
    request: {
      kind: request.purpose,
      model: call.kind === "model" ? call.model : "",
      service: call.kind === "service" ? call.service : "",
      prompt_tokens: promptTokens,
      max_tokens: call.kind === "model" ? call.maxTokens : 0,
      deadline_ms: request.deadlineMs ?? 0,
      not_repeatable: !request.isRepeatable,
    },
    organisation: { name: organisation.name, share: organisation.share, queued: context.organisationQueued },
    load: context.load,
    hour: (context.wallMs / MS_PER_HOUR) % HOURS_PER_DAY,
  };
}

function estimateCost(
  request: IdentifiedRequest,
  promptTokens: number,
  meanTokens: number | undefined,
): number {
  if (request.call.kind === "service") return SERVICE_CALL_COST;
  const answerTokens = Math.min(request.call.maxTokens, meanTokens ?? request.call.maxTokens);
  return answerTokens + promptTokens * PROMPT_TOKEN_COST;
}

/**
 * Gets the prefix digests of the prompt. Their scope includes the organisation, so that an organisation can't
 * infer the prompts of another one from the cache.
 */
function getPromptDigests(request: IdentifiedRequest) {
  if (request.call.kind !== "model") return [];
  const { model, adapter, prompt } = request.call;
  return getPrefixDigests(`${request.organisation.name}\0${model}\0${adapter}`, prompt);
}
