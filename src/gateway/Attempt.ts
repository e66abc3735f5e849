/** One attempt to run a request at an endpoint: how it started, how it ended, and which side ended it. */
import type { IncomingMessage } from "node:http";
import { LostAnswer, MalformedAnswer, OversizedAnswer, UnreachableEndpoint } from "../errors";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import type { AttemptState } from "./AttemptState";
import type { RelayedAnswer } from "./relay";

/** A failed attempt, as written to the log. */
export interface FailedAttempt {
  readonly target: string;
  readonly instance: string;
  /** Failure domain of the endpoint. */
  readonly domain: string;
  readonly reason: string;
  readonly wasNotRun: boolean;
  /** Whether this entry abandoned the attempt because another attempt produced output. */
  readonly wasLeft: boolean;
  readonly tookMs: number;
  /** Time between the start of the answer and the failure; `undefined` when no part of an answer arrived. */
  readonly answeredForMs: number | undefined;
}

/** An attempt whose endpoint has started to answer. */
export interface AnsweringAttempt {
  readonly target: Target;
  readonly state: AttemptState;
  readonly incoming: IncomingMessage;
  readonly startedAt: number;
  /** Whether the endpoint's answer has a length or chunked framing. */
  readonly isFramed: boolean;
  /** How a peer answered; `undefined` for an endpoint. */
  readonly relayed: RelayedAnswer | undefined;
  readonly end: () => void;
  readonly abort: AbortController;
}

/** An attempt that was sent to an endpoint. */
export interface SentAttempt {
  readonly target: Target;
  /** When the request was sent; monotonic milliseconds. */
  readonly startedAt: number;
  /** Whether it was sent over a new connection, over which nothing has arrived. */
  readonly isNewConnection: boolean;
}

/** Why an attempt failed. */
export type AttemptFailure = Pick<FailedAttempt, "reason" | "wasNotRun"> & {
  /** Whether any part of the request was sent to the endpoint. */
  readonly wasSent: boolean;
  /** When the first part of the answer arrived, monotonic milliseconds; `undefined` when none did. */
  readonly answeredAt?: number | undefined;
  /** Whether the endpoint ended the attempt, not this entry. */
  readonly wasEndedByEndpoint?: boolean;
  /** Whether the answer arrived and was a refusal or failure; `false` if it broke off. */
  readonly wasAnswered?: boolean;
  /**
   * Whether this entry abandoned the attempt because another one produced output. This is no failure of the
   * endpoint.
   */
  readonly wasAbandoned?: boolean;
  /** Whether another entry refused the request only because its budget of retries is exhausted. */
  readonly lacksRetry?: boolean;
};

/**
 * Checks whether the endpoint ended an attempt. An attempt that this entry aborts is no evidence about the
 * instance.
 */
export function wasEndedByEndpoint(abort: AbortController): boolean {
  return !abort.signal.aborted;
}

/** Checks whether an attempt was abandoned because another one produced output. */
export function wasAbandoned(abort: AbortController): boolean {
  return abort.signal.reason instanceof LostAnswer;
}

/** Aborts an attempt because another one produced output. */
export function abandonAttempt(abort: AbortController, { address }: Target, reason: string): void {
  abort.abort(new LostAnswer({ address, reason }));
}

/** Aborts an attempt of whose answer too many bytes are buffered. */
export function abortOversized(abort: AbortController, { address }: Target, bytes: number): void {
  const reason = `buffered answers exceed the limit (${bytes} bytes of this answer)`;
  abort.abort(new OversizedAnswer({ address, reason }));
}

/**
 * Gets why an attempt ended. The reason given for an abort takes precedence over the resulting connection
 * error.
 */
export function getFailureReason(cause: unknown, abort: AbortController): string {
  const abortReason = abort.signal.reason;
  const primaryCause = hasReason(abortReason) ? abortReason : cause;
  if (hasReason(primaryCause)) return primaryCause.reason;
  return primaryCause instanceof Error ? primaryCause.message : String(primaryCause);
}

function hasReason(
  cause: unknown,
): cause is LostAnswer | MalformedAnswer | OversizedAnswer | UnreachableEndpoint {
  const kinds = [LostAnswer, MalformedAnswer, OversizedAnswer, UnreachableEndpoint];
  return kinds.some((kind) => cause instanceof kind);
}

/** Checks whether the endpoint has started to answer an attempt. */
export function isAnswering(attempt: AnsweringAttempt | AttemptFailure): attempt is AnsweringAttempt {
  return "incoming" in attempt;
}
