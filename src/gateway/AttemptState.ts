/**
 * What is known of one attempt to run a request, at an endpoint or at another entry: whether it may have run,
 * how many endpoints may have received it, and how many more it may still reach. Pure.
 */

/** What another entry may do with a request that is relayed to it; an endpoint gets one attempt. */
export interface AttemptGrant {
  /** Number of endpoints to which it may send the request. */
  readonly attempts: number;
  /** Whether it may send the request to further endpoints after the head of its answer, to resume a stream. */
  readonly mayResume: boolean;
}

/** The grant of an attempt at an endpoint. */
export const ONE_ATTEMPT: AttemptGrant = { attempts: 1, mayResume: false };

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
  private readonly _grant: AttemptGrant;
  private _phase: AttemptPhase = "notSent";
  private _sentCount = 0;
  /** Number of endpoints that have received the request or still may. */
  private _takenCount: number;
  private _isKnownNotRun = false;

  /** @param grant - What the attempt may do; that of an endpoint by default. */
  constructor(grant = ONE_ATTEMPT) {
    this._grant = grant;
    this._takenCount = grant.attempts;
  }

  /** Gets how far the attempt has come. */
  get phase(): AttemptPhase {
    return this._phase;
  }

  /** Gets how many endpoints may have received the request. */
  get sentCount(): number {
    return this._sentCount;
  }

  /**
   * Gets how many of the attempts that a route allows are taken. Another entry may use all that it was granted,
   * also after the connection to it has broken, until it tells that it sends the request to no further endpoint.
   */
  get takenCount(): number {
    return this._takenCount;
  }

  /** Gets whether another entry may still send the request to a further endpoint, as far as it has told. */
  get mayBeRepeated(): boolean {
    return this._takenCount > this._sentCount;
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
   * @param isRefusal - Whether another entry refuses the request with it, so that it sends it no further.
   */
  setAnswered(sentCount: number, isRefusal = false): void {
    this._phase = "answered";
    this._sentCount = sentCount;
    if (isRefusal || !this._grant.mayResume) this._takenCount = sentCount;
  }

  /**
   * Records the end of the attempt.
   * @param isKnownNotRun - Whether it is certain that no endpoint ran the request.
   */
  end(isKnownNotRun: boolean): void {
    if (this._phase === "notSent") this._takenCount = 0;
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

/** Counts the attempts of a route that are taken by the attempts of a request. */
export function countTaken(attempts: readonly AttemptState[]): number {
  return attempts.reduce((sum, { takenCount }) => sum + takenCount, 0);
}
