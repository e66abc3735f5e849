/** The stages of a request on its way through the filters. Each filter adds fields. */
import type { IncomingHttpHeaders } from "node:http";
import type { Organisation, RequestClass } from "../configuration";
import type { RequestId } from "../ids";
import type { PrefixDigests } from "../routing";

/** The parsed body of a model request in the OpenAI-compatible format. */
export interface ModelCall {
  readonly kind: "model";
  readonly form: "chat" | "completion";
  readonly model: string;
  readonly adapter: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStream: boolean;
  /** Whether the stream ends with a chunk of token counts. */
  readonly includesUsage: boolean;
  readonly temperature: number | undefined;
  readonly stop: readonly string[];
}

/** A call to a service. */
export interface ServiceCall {
  readonly kind: "service";
  readonly service: string;
  readonly method: string;
  /** Path and query below the service's name, with a leading slash. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A well-formed request within the size limits. Times are monotonic milliseconds. */
export interface AcceptedRequest {
  readonly id: RequestId;
  readonly receivedAt: number;
  readonly call: ModelCall | ServiceCall;
  readonly organisationName: string;
  /** The purpose that the caller declares. */
  readonly purpose: string;
  readonly deadlineMs: number | undefined;
  readonly isRepeatable: boolean;
  /** The caller's idempotency key, "" without one. */
  readonly key: string;
  /** Digest of method, path and body. It distinguishes a reused key from a repeated request. */
  readonly fingerprint: string;
}

/** A request of a declared organisation to a declared target. */
export interface IdentifiedRequest extends AcceptedRequest {
  readonly organisation: Organisation;
  /** Name of the model or service. */
  readonly target: string;
}

/** A request with its class, deadline and cost. */
export interface ClassifiedRequest extends IdentifiedRequest {
  readonly requestClass: RequestClass;
  readonly deadlineAt: number;
  readonly promptTokens: number;
  /** Estimated work for prompt and answer, in generated tokens. */
  readonly cost: number;
  readonly prefixDigests: PrefixDigests;
}
