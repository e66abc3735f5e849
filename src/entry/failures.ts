/** Determines the consequences of a failed attempt for the request. */
import { ForeignAnswer, LostAnswer, MalformedAnswer, RefusedOrder, UnreachableEndpoint } from "../errors";
import { type Outcome, Refusal, type RefusalCode } from "./Refusal";

/** A failed attempt. */
export interface Failure {
  /** The answer to the caller if the request is not attempted again. */
  readonly refusal: Refusal;
  /** Whether it is certain that the endpoint ran no part of the request. */
  readonly wasNotRun: boolean;
  /** Whether the failure counts against the endpoint. */
  readonly isEndpointFault: boolean;
}

const RETRY_AFTER_MS = 1_000;

/** Classifies an error that an attempt threw. */
export function classifyFailure(cause: unknown): Failure {
  if (cause instanceof Refusal) {
    return { refusal: cause, wasNotRun: cause.outcome === "not-run", isEndpointFault: false };
  }
  if (cause instanceof UnreachableEndpoint)
    return createFailure("endpoint_unreachable", "not-run", cause.message);
  if (cause instanceof RefusedOrder) return createFailure("endpoint_refused", "not-run", cause.message);
  if (cause instanceof LostAnswer) return createFailure("answer_lost", "unknown", cause.message);
  if (cause instanceof ForeignAnswer) return createFailure("answer_foreign", "unknown", cause.message);
  if (cause instanceof MalformedAnswer) return createFailure("answer_malformed", "unknown", cause.message);
  return createFailure("internal_error", "unknown", String(cause));
}

function createFailure(code: RefusalCode, outcome: Outcome, reason: string): Failure {
  const refusal = new Refusal({ code, outcome, reason, retryAfterMs: RETRY_AFTER_MS });
  return { refusal, wasNotRun: outcome === "not-run", isEndpointFault: true };
}

/**
 * The failed attempts of one request.
 *
 * Once an attempt may have run, the request is never reported as not run, whatever the result of its last
 * attempt.
 */
export class AttemptHistory {
  private _mayHaveRun = false;

  /** Adds a failed attempt. */
  addFailure(failure: Failure): void {
    if (!failure.wasNotRun) this._mayHaveRun = true;
  }

  /** Gets a refusal with the outcome of the whole request. */
  createRefusal(refusal: Refusal): Refusal {
    if (!this._mayHaveRun || refusal.outcome !== "not-run") return refusal;
    const { code, reason, retryAfterMs } = refusal;
    return new Refusal({
      code,
      outcome: "unknown",
      reason: `${reason}; an earlier attempt may have run the request`,
      retryAfterMs,
    });
  }

  /** Runs a step between attempts. A refusal that it throws gets the outcome of the whole request. */
  async runStep<R>(step: () => Promise<R>): Promise<R> {
    try {
      return await step();
    } catch (cause) {
      throw cause instanceof Refusal ? this.createRefusal(cause) : cause;
    }
  }
}
