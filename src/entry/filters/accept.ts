/**
 * First filter: reads the whole request within the limits and checks its format.
 *
 * Model requests use the OpenAI-compatible format. Unknown fields are ignored, as OpenAI-compatible servers
 * do.
 */
import { createHash, randomBytes } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Result, Schema } from "effect";
import { RequestId } from "../../ids";
import { type BodyFailure, BodyReader, type BodyReading, dropBody } from "../../server";
import { Refusal, throwIfMalformed } from "../Refusal";
import type { AcceptedRequest, ModelCall, ServiceCall } from "../requests";

/** Request headers for properties that the OpenAI-compatible format has no field for. */
export const REQUEST_HEADER = {
  organisation: "ploverstage-organisation",
  purpose: "ploverstage-kind",
  deadline: "ploverstage-deadline-ms",
  repeatable: "ploverstage-repeatable",
  key: "idempotency-key",
} as const;

/** Limits of a request. */
export interface AcceptLimits {
  readonly bodyBytes: number;
  readonly maxTokens: number;
  /** Maximum duration of a request, milliseconds. */
  readonly total: number;
}

/** How the body of a request is read. */
export type AcceptReading = Pick<BodyReading, "reservation" | "getNow">;

const CHAT_PATH = "/v1/chat/completions";
const COMPLETION_PATH = "/v1/completions";
const SERVICE_PATH = /^\/v1\/services\/([a-z0-9][a-z0-9.-]{0,62})(\/[^#]*)?$/;
const REPEATABLE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
const MAX_KEY_LENGTH = 200;
const MAX_STOP_SEQUENCES = 16;
const MAX_DEADLINE_MS = 86_400_000;

const MessageContent = Schema.Union([
  Schema.String,
  Schema.Null,
  Schema.Array(Schema.Struct({ type: Schema.Literal("text"), text: Schema.String })),
]);
const COMMON_FIELDS = {
  model: Schema.String,
  max_tokens: Schema.optionalKey(Schema.NullOr(Schema.Int)),
  max_completion_tokens: Schema.optionalKey(Schema.NullOr(Schema.Int)),
  stream: Schema.optionalKey(Schema.NullOr(Schema.Boolean)),
  stream_options: Schema.optionalKey(
    Schema.NullOr(Schema.Struct({ include_usage: Schema.optionalKey(Schema.Boolean) })),
  ),
  temperature: Schema.optionalKey(Schema.NullOr(Schema.Number)),
  stop: Schema.optionalKey(Schema.NullOr(Schema.Union([Schema.String, Schema.Array(Schema.String)]))),
  n: Schema.optionalKey(Schema.NullOr(Schema.Int)),
};
const ChatBody = Schema.Struct({
  ...COMMON_FIELDS,
  messages: Schema.Array(Schema.Struct({ role: Schema.String, content: MessageContent })).check(
    Schema.isMinLength(1),
  ),
});
const CompletionBody = Schema.Struct({ ...COMMON_FIELDS, prompt: Schema.String });

const decodeChat = Schema.decodeUnknownResult(ChatBody);
const decodeCompletion = Schema.decodeUnknownResult(CompletionBody);

/**
 * Reads and parses a request.
 * @param now - Monotonic milliseconds.
 * @throws Refusal - With the outcome not-run.
 */
export async function acceptRequest(
  now: number,
  incoming: IncomingMessage,
  limits: AcceptLimits,
  reading: AcceptReading,
): Promise<AcceptedRequest> {
  const id = createRequestId();
  const url = incoming.url ?? "/";
  throwIfNotRoutable(incoming.method ?? "", url);
  const body = await readBody(incoming, limits, reading);
  const call = parseCall(incoming, url, body, limits);
  const key = getHeader(incoming, REQUEST_HEADER.key);
  throwIfMalformed(
    key.length > MAX_KEY_LENGTH,
    `${REQUEST_HEADER.key} exceeds the maximum of ${MAX_KEY_LENGTH} characters`,
  );
  return {
    id,
    receivedAt: now,
    call,
    organisationName: getHeader(incoming, REQUEST_HEADER.organisation),
    purpose: getHeader(incoming, REQUEST_HEADER.purpose),
    deadlineMs: getDeadline(incoming),
    isRepeatable: isRepeatable(incoming, call),
    key,
    fingerprint: key === "" ? "" : getFingerprint(incoming, body),
  };
}

/**
 * Request ids have a random prefix for each process and a counter. They are unique, and cheaper than random
 * bytes for each request.
 */
const ID_PREFIX = randomBytes(9).toString("hex");
let nextId = 0;

function createRequestId(): RequestId {
  nextId += 1;
  return RequestId(`${ID_PREFIX}-${nextId.toString(36)}`);
}

function throwIfNotRoutable(method: string, url: string): void {
  const path = getPath(url);
  if (SERVICE_PATH.test(url)) return;
  const isModelPath = path === CHAT_PATH || path === COMPLETION_PATH;
  if (!isModelPath)
    throw new Refusal({ code: "not_found", outcome: "not-run", reason: `the path ${path} does not exist` });
  if (method === "POST") return;
  throw new Refusal({
    code: "method_not_allowed",
    outcome: "not-run",
    reason: `${path} only accepts POST, not ${method}`,
  });
}

function getPath(url: string): string {
  const queryIndex = url.indexOf("?");
  return queryIndex < 0 ? url : url.slice(0, queryIndex);
}

async function readBody(
  incoming: IncomingMessage,
  { bodyBytes, total }: AcceptLimits,
  reading: AcceptReading,
): Promise<Buffer> {
  const body = await BodyReader.read(incoming, { ...reading, maxBytes: bodyBytes, timeoutMs: total });
  if (typeof body !== "string") return Buffer.concat(body.chunks);
  dropBody(incoming, bodyBytes);
  throw createBodyRefusal(body, bodyBytes);
}

/** When a request may come again that found no memory for its body, milliseconds. */
const NO_MEMORY_RETRY_MS = 500;

function createBodyRefusal(failure: BodyFailure, maxBytes: number): Refusal {
  const outcome = "not-run";
  const retryAfterMs = NO_MEMORY_RETRY_MS;
  switch (failure) {
    case "tooLarge":
      return new Refusal({
        code: "body_too_large",
        outcome,
        reason: `the body exceeds the maximum of ${maxBytes} bytes`,
      });
    case "broken":
      return new Refusal({ code: "malformed_request", outcome, reason: "the body is not complete" });
    case "noRoom":
      return new Refusal({
        code: "no_memory",
        outcome,
        reason: "there is no memory for the body",
        retryAfterMs,
      });
    default:
      return new Refusal({ code: "slow_body", outcome, reason: "the body arrived too slowly", retryAfterMs });
  }
}

function parseCall(
  incoming: IncomingMessage,
  url: string,
  body: Buffer,
  limits: AcceptLimits,
): ModelCall | ServiceCall {
  const service = SERVICE_PATH.exec(url);
  if (service !== null) {
    return {
      kind: "service",
      service: service[1]!,
      method: incoming.method ?? "GET",
      path: service[2] ?? "/",
      headers: incoming.headers,
      body,
    };
  }
  const json = parseJson(body);
  return getPath(url) === CHAT_PATH ? parseChat(json, limits) : parseCompletion(json, limits);
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    throw new Refusal({
      code: "malformed_request",
      outcome: "not-run",
      reason: "the body is not valid JSON",
    });
  }
}

function parseChat(json: unknown, limits: AcceptLimits): ModelCall {
  const decoded = decodeChat(json);
  if (Result.isFailure(decoded)) throw createMalformedRefusal(decoded.failure);
  const { messages, ...commonFields } = decoded.success;
  const prompt = messages.map((message) => `${message.role}: ${getText(message.content)}\n`).join("");
  return { ...parseCommonFields(commonFields, limits), form: "chat", prompt };
}

function parseCompletion(json: unknown, limits: AcceptLimits): ModelCall {
  const decoded = decodeCompletion(json);
  if (Result.isFailure(decoded)) throw createMalformedRefusal(decoded.failure);
  const { prompt, ...commonFields } = decoded.success;
  return { ...parseCommonFields(commonFields, limits), form: "completion", prompt };
}

function createMalformedRefusal(cause: unknown): Refusal {
  return new Refusal({ code: "malformed_request", outcome: "not-run", reason: String(cause) });
}

type CommonFields = Omit<typeof CompletionBody.Type, "prompt">;

function parseCommonFields(body: CommonFields, limits: AcceptLimits): Omit<ModelCall, "form" | "prompt"> {
  const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? limits.maxTokens;
  throwIfMalformed(
    maxTokens < 1 || maxTokens > limits.maxTokens,
    `max_tokens must be 1 to ${limits.maxTokens}`,
  );
  throwIfMalformed((body.n ?? 1) !== 1, "n must be 1: a request gets exactly one answer");
  const stop = typeof body.stop === "string" ? [body.stop] : (body.stop ?? []);
  throwIfMalformed(stop.length > MAX_STOP_SEQUENCES, `stop must have at most ${MAX_STOP_SEQUENCES} entries`);
  const slash = body.model.indexOf("/");
  return {
    kind: "model",
    model: slash < 0 ? body.model : body.model.slice(0, slash),
    adapter: slash < 0 ? "" : body.model.slice(slash + 1),
    maxTokens,
    isStream: body.stream ?? false,
    includesUsage: body.stream_options?.include_usage ?? false,
    temperature: body.temperature ?? undefined,
    stop,
  };
}

function getText(content: typeof MessageContent.Type): string {
  if (typeof content === "string") return content;
  return (content ?? []).map((part) => part.text).join("");
}

function getHeader(incoming: IncomingMessage, name: string): string {
  const value = incoming.headers[name];
  return Array.isArray(value) ? value.join(",") : (value ?? "");
}

function getDeadline(incoming: IncomingMessage): number | undefined {
  const text = getHeader(incoming, REQUEST_HEADER.deadline);
  if (text === "") return undefined;
  const deadline = Number(text);
  const isValid = Number.isInteger(deadline) && deadline > 0 && deadline <= MAX_DEADLINE_MS;
  throwIfMalformed(
    !isValid,
    `${REQUEST_HEADER.deadline} must be 1 to ${MAX_DEADLINE_MS} milliseconds, not ${text}`,
  );
  return deadline;
}

function isRepeatable(incoming: IncomingMessage, call: ModelCall | ServiceCall): boolean {
  const value = getHeader(incoming, REQUEST_HEADER.repeatable);
  throwIfMalformed(
    value !== "" && value !== "yes" && value !== "no",
    `${REQUEST_HEADER.repeatable} must be yes or no, not ${value}`,
  );
  if (value !== "") return value === "yes";
  // A generation has no side effects. For services, only read methods are assumed to have none.
  return call.kind === "model" || REPEATABLE_METHODS.has(call.method);
}

function getFingerprint(incoming: IncomingMessage, body: Buffer): string {
  return createHash("sha256").update(`${incoming.method} ${incoming.url}\n`).update(body).digest("base64");
}
