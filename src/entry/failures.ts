/** Tells what a failed attempt at an endpoint means for the request. */
import { ForeignAnswer, LostAnswer, MalformedAnswer, RefusedOrder, UnreachableEndpoint } from "../errors";
import { type Outcome, Refusal, type RefusalCode } from "./Refusal";

/** A failed attempt. */
export interface Failure {
  /** What to tell the caller if it is not tried again. */
  readonly refusal: Refusal;
  /** Whether it is certain that the endpoint ran nothing of it. */
  readonly wasNotRun: boolean;
  /** Whether the endpoint is to blame. */
  readonly isEndpointFault: boolean;
}

const RETRY_MS = 1_000;

/** Classifies what an attempt threw. */
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
  const refusal = new Refusal({ code, outcome, reason, retryAfterMs: RETRY_MS });
  return { refusal, wasNotRun: outcome === "not-run", isEndpointFault: true };
}

/**
 * What earlier attempts of a request came to.
 *
 * A request whose earlier attempt may have run is never told to be not run, whatever
 * its last attempt came to.
 */
export class AttemptHistory {
  private _mayHaveRun = false;

  /** Notes a failed attempt. */
  addFailure(failure: Failure): void {
    if (!failure.wasNotRun) this._mayHaveRun = true;
  }

  /** Gets the refusal to tell, with the outcome of the request as a whole. */
  createRefusal(refusal: Refusal): Refusal {
    if (!this._mayHaveRun || refusal.outcome !== "not-run") return refusal;
    const { code, reason, retryAfterMs } = refusal;
    return new Refusal({
      code,
      outcome: "unknown",
      reason: `${reason}; an earlier attempt may have run`,
      retryAfterMs,
    });
  }

  /** Runs a step between attempts; what it throws is told as of the whole request. */
  async guard<R>(step: () => Promise<R>): Promise<R> {
    try {
      return await step();
    } catch (cause) {
      throw cause instanceof Refusal ? this.createRefusal(cause) : cause;
    }
  }
}
