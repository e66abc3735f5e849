/**
 * Headers of requests that one entry relays to another one, and of the answers.
 *
 * They are hop-by-hop: an entry drops them from requests of callers and from answers of endpoints.
 */
import type { IncomingHttpHeaders } from "node:http";
import { Result, Schema } from "effect";
import { InvalidRelay } from "../errors";

/** Header that describes a relayed request. */
export const RELAY_REQUEST_HEADER = "ploverstage-relayed-request";
/** Header that describes the answer to a relayed request. */
export const RELAY_ANSWER_HEADER = "ploverstage-relayed-answer";
/** Header with the secret that entries share. */
export const RELAY_SECRET_HEADER = "ploverstage-relay-secret";

const NonNegative = Schema.Number.check(Schema.isFinite(), Schema.isGreaterThanOrEqualTo(0));
const Count = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 1_000 }));

const RelayedRequestSchema = Schema.Struct({
  /** Time left for the request, milliseconds. */
  leftMs: NonNegative,
  /** Estimated time since the caller's first request, milliseconds. */
  ageMs: NonNegative,
  /** Number of endpoints to which the request may still be sent. */
  attempts: Count,
  /** Id of the event after which a stream continues. */
  lastEventId: Schema.optionalKey(Schema.String),
  /** Whether the relaying entry has counted the request for the retry budget. */
  isCounted: Schema.Boolean,
  /** Whether the request was sent to an endpoint before, so that sending it again takes a retry. */
  isRepeat: Schema.Boolean,
});

const RelayedAnswerSchema = Schema.Struct({
  /**
   * `answered`: the answer is an endpoint's. `notRun`: the request did not run, and another entry may run it.
   * `refused`: the request did not run, and the refusal is final. `unknown`: the request may have run.
   */
  outcome: Schema.Literals(["answered", "notRun", "refused", "unknown"]),
  /** Number of endpoints to which the request was sent. */
  sent: Count,
  /** Whether the endpoint's answer had a length or chunked framing. */
  isFramed: Schema.Boolean,
  /** Refusal code; absent for an endpoint's answer. */
  code: Schema.optionalKey(Schema.String),
  reason: Schema.optionalKey(Schema.String),
  retryAfterMs: Schema.optionalKey(NonNegative),
});

/** Describes a relayed request to the entry that runs it. */
export type RelayedRequest = typeof RelayedRequestSchema.Type;
/** Describes an answer to the entry that relayed the request. */
export type RelayedAnswer = typeof RelayedAnswerSchema.Type;

const decodeRequest = Schema.decodeUnknownResult(Schema.fromJsonString(RelayedRequestSchema));
const decodeAnswer = Schema.decodeUnknownResult(Schema.fromJsonString(RelayedAnswerSchema));

/** Creates the value of a relay header. */
export function formatRelay(message: RelayedRequest | RelayedAnswer): string {
  return JSON.stringify(message);
}

/** Replaces the characters that a header may not contain, as in the text of an error. */
export function toHeaderText(text: string): string {
  return text.replaceAll(/[^\x20-\x7e]/g, "?");
}

/** Creates the headers that mark an endpoint's answer to a relayed request. */
export function createRelayAnswerHeaders(sent: number, isFramed: boolean): string[] {
  return [RELAY_ANSWER_HEADER, formatRelay({ outcome: "answered", sent, isFramed })];
}

/**
 * Reads the description of a relayed request.
 * @throws InvalidRelay - When it is missing or malformed.
 */
export function readRelayedRequest(headers: IncomingHttpHeaders): RelayedRequest {
  return decode(decodeRequest, RELAY_REQUEST_HEADER, headers);
}

/**
 * Reads the description of an answer to a relayed request.
 * @throws InvalidRelay - When it is missing or malformed.
 */
export function readRelayedAnswer(headers: IncomingHttpHeaders): RelayedAnswer {
  return decode(decodeAnswer, RELAY_ANSWER_HEADER, headers);
}

function decode<T>(
  read: (text: unknown) => Result.Result<T, unknown>,
  header: string,
  headers: IncomingHttpHeaders,
): T {
  const decoded = read(headers[header]);
  if (Result.isFailure(decoded)) throw new InvalidRelay({ header, reason: String(decoded.failure) });
  return decoded.success;
}
