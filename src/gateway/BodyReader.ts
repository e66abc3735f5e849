/** Reads the body of a request into the memory budget. */
import type { IncomingMessage } from "node:http";
import type { BodyReservation } from "./BodyReservation";
import { RequestBody } from "./RequestBody";

/** Why a body was not read. */
export type BodyFailure =
  /** It exceeds the maximum size. */
  | "tooLarge"
  /** The process has no room for it. */
  | "noRoom"
  /** The connection closed before the body was complete. */
  | "broken";

/** Collects the chunks of one body. */
export class BodyReader {
  private readonly _incoming: IncomingMessage;
  private readonly _maxBytes: number;
  private readonly _reservation: BodyReservation;
  private readonly _resolve: (result: RequestBody | BodyFailure) => void;
  private readonly _listeners: readonly (readonly [string, (chunk: Buffer) => void])[];
  private _chunks: Buffer[] = [];
  private _length = 0;

  private constructor(
    incoming: IncomingMessage,
    maxBytes: number,
    reservation: BodyReservation,
    resolve: (result: RequestBody | BodyFailure) => void,
  ) {
    this._incoming = incoming;
    this._maxBytes = maxBytes;
    this._reservation = reservation;
    this._resolve = resolve;
    this._listeners = [
      ["data", (chunk) => this._addChunk(chunk)],
      ["end", () => this._end(new RequestBody(this._chunks, this._reservation))],
      ["error", () => this._end("broken")],
      ["close", () => this._end("broken")],
    ];
  }

  /**
   * Reads a body. Its declared length is reserved before the first byte is read; without one, each chunk is
   * reserved as it arrives.
   * @param maxBytes - Maximum size of the body.
   */
  static read(
    incoming: IncomingMessage,
    maxBytes: number,
    reservation: BodyReservation,
  ): Promise<RequestBody | BodyFailure> {
    const declaredBytes = getDeclaredBytes(incoming);
    if (declaredBytes > maxBytes) return Promise.resolve("tooLarge");
    if (!reservation.reserve(declaredBytes)) return Promise.resolve("noRoom");
    return new Promise((resolve) => new BodyReader(incoming, maxBytes, reservation, resolve)._start());
  }

  private _start(): void {
    for (const [event, listener] of this._listeners) this._incoming.on(event, listener);
  }

  private _addChunk(chunk: Buffer): void {
    this._length += chunk.length;
    const missingBytes = this._length - this._reservation.bytes;
    if (this._length > this._maxBytes) this._end("tooLarge");
    else if (missingBytes > 0 && !this._reservation.reserve(missingBytes)) this._end("noRoom");
    else this._chunks.push(chunk);
  }

  /** Removes all references to the chunks: the request outlives a body that is evicted. */
  private _end(result: RequestBody | BodyFailure): void {
    for (const [event, listener] of this._listeners) this._incoming.off(event, listener);
    // Later errors of the connection are handled where the answer is sent.
    this._incoming.on("error", () => {});
    this._chunks = [];
    this._resolve(result);
  }
}

/** Gets the declared length of a body, bytes; 0 when none is declared. */
export function getDeclaredBytes({ headers }: IncomingMessage): number {
  const declared = Number(headers["content-length"]);
  return Number.isSafeInteger(declared) && declared > 0 ? declared : 0;
}
