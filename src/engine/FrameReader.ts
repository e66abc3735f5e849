/**
 * Reads an engine's answer, which has one JSON frame per line.
 *
 * Each frame states its request, epoch and offset. A duplicate frame is dropped. A frame of another request
 * or epoch, or one that follows a gap, ends the stream with a typed error and closes the connection.
 */
import type { IncomingMessage } from "node:http";
import { ForeignAnswer, LostAnswer, MalformedAnswer } from "../errors";
import type { Frame, Generation } from "./Engine";

/** Maximum length of a line, in characters. */
const MAX_LINE = 1_000_000;
/** Time that the response may take to end after its last frame, in milliseconds. */
const DRAIN_MS = 1_000;

interface WireFrame {
  readonly request_id: string;
  readonly epoch: number;
  readonly offset: number;
  readonly tokens: number;
  readonly text: string;
  readonly finish_reason?: string;
}

/** The frames of one generation, in batches of those that arrived together. */
export class FrameReader implements AsyncIterable<readonly Frame[]> {
  private readonly _answer: IncomingMessage;
  private readonly _address: string;
  private readonly _generation: Generation;
  private _offset: number;
  private _partialLine = "";

  /** @param offset - Index of the first token expected. */
  constructor(answer: IncomingMessage, address: string, generation: Generation, offset: number) {
    this._answer = answer;
    this._address = address;
    this._generation = generation;
    this._offset = offset;
  }

  /**
   * Reads the frames in order.
   * @throws LostAnswer - The response ended or failed before the last frame.
   * @throws ForeignAnswer - A frame has another request or epoch, or follows a gap.
   * @throws MalformedAnswer - A frame is invalid.
   */
  async *[Symbol.asyncIterator](): AsyncGenerator<readonly Frame[]> {
    let isWhole = false;
    try {
      this._answer.setEncoding("utf8");
      // Leaving the loop must not close the connection: after a complete answer, the connection can be
      // reused.
      for await (const chunk of this._answer.iterator({ destroyOnReturn: false }) as AsyncIterable<string>) {
        const { frames, failure } = this._takeFrames(chunk);
        isWhole = frames.at(-1)?.finishReason !== undefined;
        if (frames.length > 0) yield frames;
        if (isWhole) return;
        if (failure !== undefined) throw failure;
      }
    } catch (cause) {
      if (cause instanceof ForeignAnswer || cause instanceof MalformedAnswer) throw cause;
      throw this._createLost(String(cause));
    } finally {
      if (isWhole) this._finishResponse();
      else this._answer.destroy();
    }
    throw this._createLost(`the stream ended at token ${this._offset} without a last frame`);
  }

  /**
   * Reads the rest of the response after its last frame. Closes the connection if the response does not end
   * in time.
   */
  private _finishResponse(): void {
    if (this._answer.complete) {
      this._answer.resume();
      return;
    }
    const timer = setTimeout(() => this._answer.destroy(), DRAIN_MS);
    this._answer.once("close", () => clearTimeout(timer));
    this._answer.on("error", () => {});
    this._answer.resume();
  }

  /** Gets the frames that a chunk completes, up to the last frame of the answer or the first invalid one. */
  private _takeFrames(chunk: string): { frames: Frame[]; failure: unknown } {
    const lines = (this._partialLine + chunk).split("\n");
    this._partialLine = lines.pop()!;
    const frames: Frame[] = [];
    try {
      if (this._partialLine.length > MAX_LINE)
        throw this._createMalformed("a line exceeds the maximum length");
      for (const line of lines) {
        const frame = line === "" ? undefined : this._takeFrame(line);
        if (frame !== undefined) frames.push(frame);
        if (frame?.finishReason !== undefined) break;
      }
    } catch (failure) {
      return { frames, failure };
    }
    return { frames, failure: undefined };
  }

  /** Gets the frame of a line; `undefined` for a duplicate. */
  private _takeFrame(line: string): Frame | undefined {
    const wire = this._parse(line);
    if (wire.request_id !== this._generation.requestId || wire.epoch !== this._generation.epoch) {
      throw this._createForeign(`request ${wire.request_id} epoch ${wire.epoch}`);
    }
    if (wire.offset < this._offset) return undefined;
    if (wire.offset > this._offset) throw this._createForeign(`offset ${wire.offset}`);
    this._offset += wire.tokens;
    return { offset: wire.offset, tokens: wire.tokens, text: wire.text, finishReason: wire.finish_reason };
  }

  private _parse(line: string): WireFrame {
    let value: unknown;
    try {
      value = JSON.parse(line);
    } catch {
      throw this._createMalformed("a frame is not valid JSON");
    }
    if (!isWireFrame(value)) throw this._createMalformed("a frame has a missing or invalid field");
    return value;
  }

  private _createForeign(found: string): ForeignAnswer {
    const expected = `request ${this._generation.requestId} epoch ${this._generation.epoch} offset ${this._offset}`;
    return new ForeignAnswer({ address: this._address, expected, found });
  }

  private _createMalformed(reason: string): MalformedAnswer {
    return new MalformedAnswer({ address: this._address, reason });
  }

  private _createLost(reason: string): LostAnswer {
    return new LostAnswer({ address: this._address, reason });
  }
}

/** Checks a frame. The check is written by hand because it runs for every token. */
function isWireFrame(value: unknown): value is WireFrame {
  if (typeof value !== "object" || value === null) return false;
  const frame = value as Partial<Record<keyof WireFrame, unknown>>;
  return (
    typeof frame.request_id === "string" &&
    typeof frame.epoch === "number" &&
    Number.isSafeInteger(frame.offset) &&
    Number.isSafeInteger(frame.tokens) &&
    (frame.tokens as number) >= 0 &&
    typeof frame.text === "string" &&
    (frame.finish_reason === undefined || typeof frame.finish_reason === "string")
  );
}
