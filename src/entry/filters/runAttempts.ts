/** Attempts a request at one endpoint after another until one answers or no further attempt is allowed. */
import { AttemptHistory, classifyFailure, type Failure } from "../failures";

/** The steps that differ between kinds of requests. */
export interface AttemptSteps<R, T> {
  /** Waits until the request is placed. */
  admit(): Promise<R>;
  /** Runs the request at the endpoint where it was placed. */
  attempt(route: R): Promise<T>;
  /** Records a failed attempt, so that the endpoint is not chosen again. */
  recordFailure(route: R, failure: Failure): void;
  /** Checks whether the request may be attempted again after a failure. */
  mayRetry(failure: Failure): boolean;
}

/** Result of the successful attempt. */
export interface AttemptsResult<T> {
  readonly result: T;
  /** Number of attempts after the first one. */
  readonly retries: number;
}

/**
 * Runs the attempts of one request.
 * @throws Refusal - With the outcome of the whole request: once an attempt may have run, no later refusal
 * reports the request as not run.
 */
export async function runAttempts<R, T>(steps: AttemptSteps<R, T>): Promise<AttemptsResult<T>> {
  const history = new AttemptHistory();
  for (let retries = 0; ; retries++) {
    const route = await history.runStep(() => steps.admit());
    try {
      return { result: await steps.attempt(route), retries };
    } catch (cause) {
      const failure = classifyFailure(cause);
      history.addFailure(failure);
      steps.recordFailure(route, failure);
      if (!steps.mayRetry(failure)) throw history.createRefusal(failure.refusal);
    }
  }
}
