/** Refusals with which the gateway itself ends a request. */
import { Data } from "effect";
import { BLOCK_MS, TRIAL_DELAY_MS } from "../containment";
import type { RelayedAnswer } from "./relay";

/** Refusal codes, as written to logs and answers. */
export type GatewayRefusalCode =
  | "no_declaration"
  | "unconfirmed_declaration"
  | "no_route"
  | "unknown_key"
  | "body_too_large"
  | "no_memory"
  | "slow_body"
  | "malformed_request"
  | "stopping"
  | "no_target"
  | "no_retry"
  | "overloaded"
  | "kept_away"
  | "endpoint_unreachable"
  | "endpoint_refused"
  | "answer_lost"
  | "time_over"
  | "caller_gone";

/** Refusals that another entry would repeat. */
const FINAL_CODES: readonly GatewayRefusalCode[] = ["kept_away", "overloaded"];
const MIN_SERVER_ERROR_STATUS = 500;

/** A refusal that the gateway sends to a caller. */
export class GatewayRefusal extends Data.TaggedError("GatewayRefusal")<{
  readonly status: number;
  readonly code: GatewayRefusalCode;
  readonly reason: string;
  /** When the caller may retry, milliseconds; `undefined` when the request may have run. */
  readonly retryAfterMs: number | undefined;
}> {
  override get message(): string {
    return `${this.code}: ${this.reason}`;
  }
}

/** Creates the refusal of a request that did not run and will not run. */
export function createNotRunRefusal(
  code: GatewayRefusalCode,
  reason: string,
  retryAfterMs: number,
): GatewayRefusal {
  return new GatewayRefusal({ status: 503, code, reason, retryAfterMs });
}

/** Creates a refusal that tells no time to retry. */
export function createFinalRefusal(status: number, code: GatewayRefusalCode, reason: string): GatewayRefusal {
  return new GatewayRefusal({ status, code, reason, retryAfterMs: undefined });
}

/** Creates the refusal with which another entry finally refused a relayed request. */
export function createPeerRefusal(
  status: number,
  { code, reason, retryAfterMs }: RelayedAnswer,
): GatewayRefusal {
  return new GatewayRefusal({
    status,
    code: FINAL_CODES.find((known) => known === code) ?? "endpoint_refused",
    reason: reason ?? "",
    retryAfterMs,
  });
}

/** Checks whether another entry refused a relayed request only because its budget of retries is exhausted. */
export function isLackOfRetries({ code }: RelayedAnswer): boolean {
  const lackCode: GatewayRefusalCode = "no_retry";
  return code === lackCode;
}

/** Gets how a refusal is described to the entry that relayed the request. */
export function getRelayOutcome({ code, retryAfterMs, status }: GatewayRefusal): RelayedAnswer["outcome"] {
  if (FINAL_CODES.includes(code)) return "refused";
  const mayHaveRun = retryAfterMs === undefined && status >= MIN_SERVER_ERROR_STATUS;
  return mayHaveRun ? "unknown" : "notRun";
}

/** Creates the refusal of a blocked request, which did not run; it may be retried once the block ends. */
export function createBlockedRefusal(isConfirmedCause: boolean): GatewayRefusal {
  const reason =
    "the last endpoints that ran this request crashed while running it, so it is blocked temporarily";
  return createNotRunRefusal("kept_away", reason, isConfirmedCause ? BLOCK_MS : TRIAL_DELAY_MS);
}

/** Creates the refusal of a request that may have run. */
export function createOutcomeUnknownRefusal(code: GatewayRefusalCode, reason: string): GatewayRefusal {
  return createFinalRefusal(code === "time_over" ? 504 : 502, code, reason);
}
