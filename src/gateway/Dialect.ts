/**
 * How callers, this system and endpoints put their facts into headers.
 *
 * A gateway passes requests through unchanged; what it has to know of them, and what it
 * adds for an endpoint, is spoken in a dialect.
 */
import type { IncomingHttpHeaders } from "node:http";

/** What a caller says of its request. */
export interface CallMetadata {
  /** The caller's own id of this attempt. */
  readonly requestId: string;
  /** Milliseconds that the caller waits. */
  readonly waitMs: number | undefined;
  readonly key: string | undefined;
  /** Model that the request is for, "" for a plain service. */
  readonly model: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Last event that the caller has of an earlier attempt. */
  readonly lastEventId: string | undefined;
}

/** What an endpoint is told. */
export interface AttemptMetadata {
  /** Milliseconds that are left. */
  readonly leftMs: number;
  readonly instanceId: string;
  readonly organisation: string | undefined;
  /** Where a resumed stream goes on. */
  readonly lastEventId: string | undefined;
  /** Whether its caller can still be answered within the objective; endpoints begin the others later. */
  readonly canMeetObjective: boolean;
}

/** What the head of an endpoint's answer means. */
export interface AnswerMetadata {
  /** Whether it answers this request and no other. */
  readonly matchesRequest: boolean;
  /** Whether the endpoint says that it did not run the request. */
  readonly wasNotRun: boolean;
  /** Whether it bears the marks of an endpoint's answer that may be passed on. */
  readonly isGenuine: boolean;
}

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** One way to speak. */
export interface Dialect {
  /** Reads what a caller says; what can't be read is taken as not said. */
  readCall(headers: IncomingHttpHeaders): CallMetadata;
  /**
   * Makes the headers for an endpoint: the caller's own and what the system adds.
   * @param raw - Names and values in turn, end-to-end headers only.
   */
  createHeaders(raw: readonly string[], attempt: AttemptMetadata): string[];
  /** Reads the head of an answer. */
  readAnswer(call: CallMetadata, answer: AnswerHead): AnswerMetadata;
}
