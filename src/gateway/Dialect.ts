/**
 * Maps request metadata of callers, gateway and endpoints to HTTP headers.
 *
 * A gateway passes requests through unchanged. A dialect defines the headers from which it reads metadata and
 * those that it adds for an endpoint.
 */
import type { IncomingHttpHeaders } from "node:http";

/** Metadata that a caller sends with its request. */
export interface CallMetadata {
  /** Id that the caller gives to this request; a retry has another one. */
  readonly requestId: string;
  /** The caller's timeout, milliseconds. */
  readonly waitMs: number | undefined;
  readonly key: string | undefined;
  /** Requested model; "" for a plain service. */
  readonly model: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Ids of the parts of the prompt in order. The last part belongs to the request, others share the rest. */
  readonly promptParts: readonly string[];
  /** Id of the last event that the caller received from an earlier attempt. */
  readonly lastEventId: string | undefined;
}

/** Metadata that the gateway sends to an endpoint. */
export interface AttemptMetadata {
  /** Time left for the request, milliseconds. */
  readonly leftMs: number;
  readonly instanceId: string;
  readonly organisation: string | undefined;
  /** Id of the event after which a resumed stream continues. */
  readonly lastEventId: string | undefined;
  /**
   * Whether the caller can still be answered within the objective; endpoints start the other requests later.
   */
  readonly canMeetObjective: boolean;
}

/** Metadata in the head of an endpoint's answer. */
export interface AnswerMetadata {
  /** Whether the answer belongs to this request. */
  readonly matchesRequest: boolean;
  /** Whether the endpoint reports that it did not run the request. */
  readonly wasNotRun: boolean;
  /** Whether the answer carries the headers that mark an endpoint's answer; others may not be passed on. */
  readonly isGenuine: boolean;
}

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Header conventions of one platform. */
export interface Dialect {
  /** Reads the metadata of a caller's request. Values that can't be parsed count as absent. */
  readCall(headers: IncomingHttpHeaders): CallMetadata;
  /**
   * Creates the headers for an endpoint: the caller's headers and those that the system adds.
   * @param raw - Alternating names and values, end-to-end headers only.
   */
  createHeaders(raw: readonly string[], attempt: AttemptMetadata): string[];
  /** Reads the head of an answer. */
  readAnswer(call: CallMetadata, answer: AnswerHead): AnswerMetadata;
}
