/**
 * Reads an engine's answer: one JSON frame a line.
 *
 * Each frame names its request, epoch and offset. A doubled frame is dropped; a frame
 * of another request or epoch, or after a gap, ends the reading with a typed error and
 * the connection is given up.
 */
import type { IncomingMessage } from "node:http";
import { ForeignAnswer, LostAnswer, MalformedAnswer } from "../errors";
import type { Frame, Generation } from "./Engine";

/** Longest line accepted, characters. */
const MAX_LINE = 1_000_000;
/** Time that an answer has to end after its last frame. */
const DRAIN_MS = 1_000;

interface WireFrame {
  readonly request_id: string;
  readonly epoch: number;
  readonly offset: number;
  readonly tokens: number;
  readonly text: string;
  readonly finish_reason?: string;
}

/** Frames of one generation, as many at a time as arrived together. */
export class FrameReader implements AsyncIterable<readonly Frame[]> {
  private readonly _answer: IncomingMessage;
  private readonly _address: string;
  private readonly _generation: Generation;
  private _offset: number;
  private _rest = "";

  /**
   * @param offset - Index of the first token expected.
   */
  constructor(answer: IncomingMessage, address: string, generation: Generation, offset: number) {
    this._answer = answer;
    this._address = address;
    this._generation = generation;
    this._offset = offset;
  }

  /**
   * Gives the frames in order.
   * @throws LostAnswer - When the answer ended without its last frame.
   * @throws ForeignAnswer, MalformedAnswer
   */
  async *[Symbol.asyncIterator](): AsyncGenerator<readonly Frame[]> {
    let isWhole = false;
    try {
      this._answer.setEncoding("utf8");
      // Leaving the loop must not close the connection: a whole answer leaves it reusable.
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
      if (isWhole) this._drain();
      else this._answer.destroy();
    }
    throw this._createLost(`it ended at token ${this._offset} without a last frame`);
  }

  /** Lets the answer end by itself; one that goes on after its last frame is cut. */
  private _drain(): void {
    if (this._answer.complete) {
      this._answer.resume();
      return;
    }
    const timer = setTimeout(() => this._answer.destroy(), DRAIN_MS);
    this._answer.once("close", () => clearTimeout(timer));
    this._answer.on("error", () => {});
    this._answer.resume();
  }

  /** Takes what a chunk completes: good frames up to the last one, or to a bad one. */
  private _takeFrames(chunk: string): { frames: Frame[]; failure: unknown } {
    const lines = (this._rest + chunk).split("\n");
    this._rest = lines.pop()!;
    const frames: Frame[] = [];
    try {
      if (this._rest.length > MAX_LINE) throw this._createMalformed("a line is too long");
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

  /** A doubled frame gives nothing. */
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
      throw this._createMalformed("a frame is no JSON");
    }
    if (!isWireFrame(value)) throw this._createMalformed("a frame lacks a field");
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

/** A hand-written check: this runs for every token. */
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
