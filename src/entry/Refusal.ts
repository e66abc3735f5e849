/** Typed final answers to requests that did not get a complete answer. */
import { Data } from "effect";

/** Outcome of a request. */
export type Outcome = "done" | "not-run" | "unknown" | "failed";

/** Codes for all reasons why a request is refused or aborted. */
export type RefusalCode =
  | "malformed_request"
  | "body_too_large"
  | "no_memory"
  | "slow_body"
  | "unknown_organisation"
  | "unknown_model"
  | "unknown_service"
  | "not_found"
  | "method_not_allowed"
  | "lease_lapsed"
  | "control_unreachable"
  | "no_replica"
  | "no_endpoint"
  | "queue_full"
  | "deadline_infeasible"
  | "deadline_expired"
  | "shed_by_policy"
  | "endpoint_refused"
  | "endpoint_unreachable"
  | "answer_lost"
  | "answer_foreign"
  | "answer_malformed"
  | "total_time_exceeded"
  | "claim_running"
  | "claim_done"
  | "claim_failed"
  | "claim_unknown"
  | "key_reused"
  | "caller_left"
  | "internal_error";

/** HTTP status by code. */
const STATUS_BY_CODE: Readonly<Record<RefusalCode, number>> = {
  malformed_request: 400,
  body_too_large: 413,
  no_memory: 503,
  slow_body: 503,
  unknown_organisation: 403,
  unknown_model: 404,
  unknown_service: 404,
  not_found: 404,
  method_not_allowed: 405,
  lease_lapsed: 503,
  control_unreachable: 503,
  no_replica: 503,
  no_endpoint: 503,
  queue_full: 429,
  deadline_infeasible: 429,
  deadline_expired: 503,
  shed_by_policy: 429,
  endpoint_refused: 503,
  endpoint_unreachable: 503,
  answer_lost: 502,
  answer_foreign: 502,
  answer_malformed: 502,
  total_time_exceeded: 504,
  claim_running: 409,
  claim_done: 409,
  claim_failed: 409,
  claim_unknown: 409,
  key_reused: 422,
  caller_left: 499,
  internal_error: 500,
};

/** The final answer to a refused or aborted request. */
export class Refusal extends Data.TaggedError("Refusal")<{
  readonly code: RefusalCode;
  readonly outcome: Outcome;
  readonly reason: string;
  /** Time after which the caller may try again, milliseconds. `undefined` if trying again can't help. */
  readonly retryAfterMs?: number | undefined;
}> {
  override get message(): string {
    return this.reason;
  }

  get status(): number {
    return STATUS_BY_CODE[this.code];
  }
}

/** Throws a refusal with the code malformed_request if the condition holds. */
export function throwIfMalformed(isMalformed: boolean, reason: string): void {
  if (isMalformed) throw new Refusal({ code: "malformed_request", outcome: "not-run", reason });
}
