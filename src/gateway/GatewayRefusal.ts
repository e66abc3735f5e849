/** Why the gateway itself ends a request, as the caller is told. */
import { Data } from "effect";
import { BLOCK_MS, TRIAL_DELAY_MS } from "../containment";

/** Reasons, as logs and answers name them. */
export type GatewayRefusalCode =
  | "no_declaration"
  | "unconfirmed_declaration"
  | "no_route"
  | "unknown_key"
  | "body_too_large"
  | "malformed_request"
  | "stopping"
  | "no_target"
  | "overloaded"
  | "kept_away"
  | "endpoint_unreachable"
  | "endpoint_refused"
  | "answer_lost"
  | "time_over"
  | "caller_gone";

/** A final answer of the gateway's own. */
export class GatewayRefusal extends Data.TaggedError("GatewayRefusal")<{
  readonly status: number;
  readonly code: GatewayRefusalCode;
  readonly reason: string;
  /** When to come back, milliseconds; only where nothing ran. */
  readonly retryAfterMs: number | undefined;
}> {
  override get message(): string {
    return `${this.code}: ${this.reason}`;
  }
}

/** Makes the refusal of a request that did not run and never will. */
export function createNotRun(code: GatewayRefusalCode, reason: string, retryAfterMs: number): GatewayRefusal {
  return new GatewayRefusal({ status: 503, code, reason, retryAfterMs });
}

/** Makes the refusal of a request that is kept away from endpoints: it did not run, and is not to for so long. */
export function createKeptAway(isProven: boolean): GatewayRefusal {
  const reason = "the last endpoints that ran this request ended while they did, so it isn't run for a while";
  return createNotRun("kept_away", reason, isProven ? BLOCK_MS : TRIAL_DELAY_MS);
}

/** Makes the refusal of a request that may have run. */
export function createUnknown(code: GatewayRefusalCode, reason: string): GatewayRefusal {
  const status = code === "time_over" ? 504 : 502;
  return new GatewayRefusal({ status, code, reason, retryAfterMs: undefined });
}
