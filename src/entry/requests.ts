/** A request on its way through the filters; each filter adds what it found out. */
import type { IncomingHttpHeaders } from "node:http";
import type { Organisation, RequestClass } from "../configuration";
import type { RequestId } from "../ids";
import type { PrefixDigests } from "../routing";

/** A model request's body, in the published OpenAI-compatible form. */
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

/** A call of a plain service. */
export interface ServiceCall {
  readonly kind: "service";
  readonly service: string;
  readonly method: string;
  /** Path and query below the service's name, with the leading slash. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A request as accepted: well formed and within limits. Times are monotonic milliseconds. */
export interface AcceptedRequest {
  readonly id: RequestId;
  readonly receivedAt: number;
  readonly call: ModelCall | ServiceCall;
  readonly organisationName: string;
  /** What the caller says the request is for. */
  readonly purpose: string;
  readonly deadlineMs: number | undefined;
  readonly isRepeatable: boolean;
  /** The caller's key, "" without one. */
  readonly key: string;
  /** Digest of method, path and body, by which a reused key is told from a resend. */
  readonly fingerprint: string;
}

/** A request of a known organisation to a known target. */
export interface IdentifiedRequest extends AcceptedRequest {
  readonly organisation: Organisation;
  /** Model or service. */
  readonly target: string;
}

/** A request with its class, deadline and cost. */
export interface ClassifiedRequest extends IdentifiedRequest {
  readonly requestClass: RequestClass;
  readonly deadlineAt: number;
  readonly promptTokens: number;
  /** Estimated work in tokens, prompt and answer. */
  readonly cost: number;
  readonly prefixDigests: PrefixDigests;
}
