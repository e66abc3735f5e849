/**
 * What is known of one attempt to run a request, at an endpoint or at another entry: whether it may have run,
 * and how many endpoints may have received it. Pure.
 */

/** How far an attempt has come. */
export type AttemptPhase =
  /** No part of the request has been sent. */
  | "notSent"
  /** A part of the request has been sent, and nothing has arrived. */
  | "sent"
  /** The head of an answer has arrived. */
  | "answered"
  /** The attempt has ended. */
  | "over";

/** State of one attempt. */
export class AttemptState {
  private _phase: AttemptPhase = "notSent";
  private _sentCount = 0;
  private _isKnownNotRun = false;

  /** Gets how far the attempt has come. */
  get phase(): AttemptPhase {
    return this._phase;
  }

  /** Gets how many endpoints may have received the request. */
  get sentCount(): number {
    return this._sentCount;
  }

  /** Gets whether an endpoint may have begun to run the request. */
  get mayHaveRun(): boolean {
    return this._phase !== "notSent" && !this._isKnownNotRun;
  }

  /** Records that the first part of the request is being sent. */
  setSent(): void {
    this._phase = "sent";
    // Another entry tells how many endpoints have received the request only with its answer.
    this._sentCount = 1;
  }

  /**
   * Records that the head of an answer has arrived.
   * @param sentCount - Number of endpoints to which the answering process has sent the request.
   */
  setAnswered(sentCount: number): void {
    this._phase = "answered";
    this._sentCount = sentCount;
  }

  /**
   * Records the end of the attempt.
   * @param isKnownNotRun - Whether it is certain that no endpoint ran the request.
   */
  end(isKnownNotRun: boolean): void {
    this._phase = "over";
    this._isKnownNotRun = isKnownNotRun;
  }
}

/**
 * Checks whether a request may have run, by all its attempts: those that are over and those in progress.
 * While this is false, the request may be refused as not run.
 */
export function mayHaveRun(attempts: readonly AttemptState[]): boolean {
  return attempts.some((attempt) => attempt.mayHaveRun);
}

/** Counts the endpoints that may have received a request by any of its attempts. */
export function countSent(attempts: readonly AttemptState[]): number {
  return attempts.reduce((sum, { sentCount }) => sum + sentCount, 0);
}
