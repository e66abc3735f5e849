/** Where the events of a stream go: to its caller as they arrive, or into a buffer until the stream is complete. */
import type { ServerResponse } from "node:http";
import { breakOff, endWhole } from "../http";
import type { AnswerBuffers } from "./AnswerBuffers";
import type { BufferedAnswer } from "./BufferedAnswer";
import { createOutcomeUnknownRefusal } from "./GatewayRefusal";

/** Head of a stream. */
export interface StreamHead {
  readonly status: number;
  /** Without a length; alternating names and values. */
  readonly headers: readonly string[];
}

export interface StreamOutput {
  /** Whether the output has taken the head. */
  readonly hasHead: boolean;
  /** Sets the head. */
  start(head: StreamHead): void;
  /**
   * Adds events. Resolves once the output can take more.
   * @throws GatewayRefusal - When there is no room for them.
   */
  write(bytes: Buffer): Promise<void>;
  /** Ends the answer as whole. Resolves once its last bytes have been sent. */
  end(): Promise<void>;
  /**
   * Ends the answer as broken.
   * @returns `false` when no part of it was sent, so that the caller can still be refused.
   */
  breakOff(): boolean;
}

/** Creates the output for a caller. */
export function createStreamOutput(response: ServerResponse, buffers: AnswerBuffers): StreamOutput {
  return response.req.httpVersion === "1.1" ? new ChunkedOutput(response) : new HeldOutput(response, buffers);
}

/** Sends events at once, in chunks. */
class ChunkedOutput implements StreamOutput {
  private readonly _response: ServerResponse;

  constructor(response: ServerResponse) {
    this._response = response;
  }

  get hasHead(): boolean {
    return this._response.headersSent;
  }

  start({ status, headers }: StreamHead): void {
    this._response.writeHead(status, [...headers]);
  }

  async write(bytes: Buffer): Promise<void> {
    const response = this._response;
    if (response.write(bytes) || response.destroyed) return;
    await new Promise<void>((resolve) => {
      response.once("drain", resolve);
      response.once("close", resolve);
    });
  }

  end(): Promise<void> {
    return endWhole(this._response);
  }

  breakOff(): boolean {
    if (!this._response.headersSent) return false;
    void breakOff(this._response);
    return true;
  }
}

/**
 * Holds events until the stream is complete, and sends them with a length. A caller that receives no chunks
 * could not tell a part of the stream from a whole one if this process was killed.
 */
class HeldOutput implements StreamOutput {
  private readonly _response: ServerResponse;
  private readonly _buffered: BufferedAnswer;
  private readonly _events: Buffer[] = [];
  private _head: StreamHead | undefined;

  constructor(response: ServerResponse, buffers: AnswerBuffers) {
    this._response = response;
    this._buffered = buffers.open(() => {});
    response.once("close", () => this._buffered.close());
  }

  get hasHead(): boolean {
    return this._head !== undefined;
  }

  start(head: StreamHead): void {
    this._head = head;
  }

  async write(bytes: Buffer): Promise<void> {
    this._events.push(bytes);
    this._buffered.setBytes(this._buffered.bytes + bytes.length);
    if (this._buffered.isOpen || this._response.destroyed) return;
    throw createOutcomeUnknownRefusal(
      "no_memory",
      "there is no memory to hold the stream until it is complete",
    );
  }

  end(): Promise<void> {
    const { status, headers } = this._head!;
    const body = Buffer.concat(this._events);
    this._response.writeHead(status, [...headers, "Content-Length", String(body.length)]);
    this._response.write(body);
    return endWhole(this._response);
  }

  breakOff(): boolean {
    return false;
  }
}
