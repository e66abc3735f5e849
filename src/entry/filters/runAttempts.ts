/** Tries a request at one endpoint after another, until one answers or no more may be tried. */
import { AttemptHistory, classifyFailure, type Failure } from "../failures";

/** What differs between kinds of requests. */
export interface AttemptPlan<R, T> {
  /** Waits until the request is placed. */
  admit(): Promise<R>;
  /** Runs the request where it was placed. */
  attempt(route: R): Promise<T>;
  /** Notes a failed attempt, so that the endpoint is not taken again. */
  noteFailure(route: R, failure: Failure): void;
  /** Checks whether the request may be tried again after a failure. */
  mayRetry(failure: Failure): boolean;
}

/** What the attempts came to. */
export interface AttemptsResult<T> {
  readonly result: T;
  /** Attempts after the first one. */
  readonly retries: number;
}

/**
 * Runs attempts.
 * @throws Refusal - With the outcome of the request as a whole: once an attempt may have
 * run, no later refusal is told as not run.
 */
export async function runAttempts<R, T>(plan: AttemptPlan<R, T>): Promise<AttemptsResult<T>> {
  const history = new AttemptHistory();
  for (let retries = 0; ; retries++) {
    const route = await history.guard(() => plan.admit());
    try {
      return { result: await plan.attempt(route), retries };
    } catch (cause) {
      const failure = classifyFailure(cause);
      history.addFailure(failure);
      plan.noteFailure(route, failure);
      if (!plan.mayRetry(failure)) throw history.createRefusal(failure.refusal);
    }
  }
}
