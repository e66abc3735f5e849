/**
 * Writes answers to callers in the OpenAI-compatible format.
 *
 * A stream is forwarded frame by frame and never buffered as a whole, so backpressure from a slow caller
 * slows the engine down. An aborted stream ends with an error event instead of its end marker.
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { Frame } from "../engine";
import { breakOff } from "../http";
import type { Refusal } from "./Refusal";
import type { ModelCall } from "./requests";

/** Response headers that the entry sets. */
export const ANSWER_HEADER = {
  requestId: "ploverstage-request-id",
  outcome: "ploverstage-outcome",
  code: "ploverstage-code",
  replica: "ploverstage-replica",
} as const;

/** Token counts of an answer. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Writes the answer to one model request. */
export interface AnswerWriter {
  /** Whether any part of the answer has been sent to the caller. */
  readonly hasStarted: boolean;
  /** Writes frames. Resolves once the response can take more data. */
  write(frames: readonly Frame[], replicaId: string): Promise<void>;
  /** Completes the answer. */
  finish(usage: Usage): void;
  /** Discards buffered frames before another attempt. Has no effect on a stream. */
  reset(): void;
}

/** Creates the stream or JSON writer that the call asks for. */
export function createAnswerWriter(
  response: ServerResponse,
  requestId: string,
  call: ModelCall,
  createdS: number,
): AnswerWriter {
  if (call.isStream) return new StreamWriter(response, requestId, call, createdS);
  return new JsonWriter(response, requestId, call, createdS);
}

/** Writes the answer as server-sent events. */
class StreamWriter implements AnswerWriter {
  private readonly _response: ServerResponse;
  private readonly _requestId: string;
  private readonly _call: ModelCall;
  private readonly _eventPrefix: string;
  private _hasStarted = false;

  constructor(response: ServerResponse, requestId: string, call: ModelCall, createdS: number) {
    this._response = response;
    this._requestId = requestId;
    this._call = call;
    const object = call.form === "chat" ? "chat.completion.chunk" : "text_completion";
    const id = JSON.stringify(requestId);
    const model = JSON.stringify(call.model);
    this._eventPrefix = `data: {"id":${id},"object":"${object}","created":${createdS},"model":${model},"choices":`;
  }

  get hasStarted(): boolean {
    return this._hasStarted;
  }

  async write(frames: readonly Frame[], replicaId: string): Promise<void> {
    if (!this._hasStarted) this._start(replicaId);
    let events = "";
    for (const frame of frames) events += this._createEvent(frame);
    const canTakeMore = this._response.write(events);
    if (!canTakeMore && !this._response.destroyed) await waitForDrain(this._response);
  }

  finish(usage: Usage): void {
    if (this._call.includesUsage)
      this._response.write(`${this._eventPrefix}[],"usage":${toUsageJson(usage)}}\n\n`);
    this._response.end("data: [DONE]\n\n");
  }

  reset(): void {}

  private _createEvent(frame: Frame): string {
    const reason = frame.finishReason === undefined ? "null" : JSON.stringify(frame.finishReason);
    const text = JSON.stringify(frame.text);
    const content = this._call.form === "chat" ? `"delta":{"content":${text}}` : `"text":${text}`;
    return `${this._eventPrefix}[{"index":0,${content},"finish_reason":${reason}}]}\n\n`;
  }

  private _start(replicaId: string): void {
    this._hasStarted = true;
    this._response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
      [ANSWER_HEADER.requestId]: this._requestId,
      [ANSWER_HEADER.replica]: replicaId,
    });
  }
}

/** Writes the answer as one JSON body. The maximum number of tokens of a request bounds its size. */
class JsonWriter implements AnswerWriter {
  readonly hasStarted = false;
  private readonly _response: ServerResponse;
  private readonly _requestId: string;
  private readonly _call: ModelCall;
  private readonly _createdS: number;
  private _text: string[] = [];
  private _finishReason = "stop";
  private _replicaId = "";

  constructor(response: ServerResponse, requestId: string, call: ModelCall, createdS: number) {
    this._response = response;
    this._requestId = requestId;
    this._call = call;
    this._createdS = createdS;
  }

  async write(frames: readonly Frame[], replicaId: string): Promise<void> {
    for (const frame of frames) this._text.push(frame.text);
    this._replicaId = replicaId;
    this._finishReason = frames.at(-1)?.finishReason ?? this._finishReason;
  }

  finish(usage: Usage): void {
    const isChat = this._call.form === "chat";
    const generated = this._text.join("");
    const content = isChat ? { message: { role: "assistant", content: generated } } : { text: generated };
    const body = {
      id: this._requestId,
      object: isChat ? "chat.completion" : "text_completion",
      created: this._createdS,
      model: this._call.model,
      choices: [{ index: 0, ...content, finish_reason: this._finishReason }],
      usage: JSON.parse(toUsageJson(usage)),
    };
    const text = JSON.stringify(body);
    this._response.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      [ANSWER_HEADER.requestId]: this._requestId,
      [ANSWER_HEADER.replica]: this._replicaId,
      [ANSWER_HEADER.outcome]: "done",
    });
    this._response.end(text);
  }

  reset(): void {
    this._text = [];
  }
}

/**
 * Writes a refusal without delay.
 *
 * Once a stream has started, its status and headers can't change. The refusal is then written as an error
 * event without the end marker, and the connection is closed so that the caller can't take the answer for
 * complete.
 */
export function writeRefusal(
  response: ServerResponse,
  requestId: string,
  refusal: Refusal,
  addresses: readonly string[],
): void {
  if (response.writableEnded || response.destroyed) return;
  const body = JSON.stringify({
    error: {
      message: refusal.reason,
      type: refusal.status < 500 ? "invalid_request_error" : "server_error",
      code: refusal.code,
      outcome: refusal.outcome,
      request_id: requestId,
      retry_after_ms: refusal.retryAfterMs,
      addresses: addresses.length === 0 ? undefined : addresses,
    },
  });
  if (response.headersSent) {
    response.write(`data: ${body}\n\n`, () => void breakOff(response));
    return;
  }
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(body)),
    [ANSWER_HEADER.requestId]: requestId,
    [ANSWER_HEADER.outcome]: refusal.outcome,
    [ANSWER_HEADER.code]: refusal.code,
  };
  if (refusal.retryAfterMs !== undefined)
    headers["retry-after"] = String(Math.ceil(refusal.retryAfterMs / 1_000));
  if (refusal.code === "body_too_large") headers.connection = "close";
  response.writeHead(refusal.status, headers);
  response.end(body);
}

/** Waits until the response has drained or its connection has closed. */
export async function waitForDrain(response: ServerResponse): Promise<void> {
  const closeController = new AbortController();
  const onClose = () => closeController.abort();
  response.once("close", onClose);
  try {
    await once(response, "drain", { signal: closeController.signal });
  } catch {
    // The caller disconnected. The abort signal of the request ends the work.
  } finally {
    response.off("close", onClose);
  }
}

function toUsageJson({ promptTokens, completionTokens }: Usage): string {
  return JSON.stringify({
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  });
}
