/** Reads the body of a request into the memory budget. */
import type { IncomingMessage } from "node:http";
import { BodyBlocks } from "./BodyBlocks";
import type { BodyReservation } from "./BodyReservation";
import { RequestBody } from "./RequestBody";

/** Why a body was not read. */
export type BodyFailure =
  /** It exceeds the maximum size. */
  | "tooLarge"
  /** The process has no room for it. */
  | "noRoom"
  /** It arrived too slowly to keep its room when others needed it. */
  | "gaveWay"
  /** It did not arrive within the time of the request. */
  | "tooSlow"
  /** The connection closed before the body was complete. */
  | "broken";

/** How a body is read. */
export interface BodyReading {
  /** Maximum size of the body, bytes. */
  readonly maxBytes: number;
  /** Room for the body. */
  readonly reservation: BodyReservation;
  /** Gets the present time, monotonic milliseconds. */
  readonly getNow: () => number;
  /** Time in which the body must arrive, milliseconds; none by default. */
  readonly timeoutMs?: number;
}

/** Collects the chunks of one body. */
export class BodyReader {
  private readonly _incoming: IncomingMessage;
  private readonly _reading: BodyReading;
  private readonly _resolve: (result: RequestBody | BodyFailure) => void;
  private readonly _listeners: readonly (readonly [string, (chunk: Buffer) => void])[];
  private readonly _blocks: BodyBlocks;
  private _timer: NodeJS.Timeout | undefined;

  private constructor(
    incoming: IncomingMessage,
    reading: BodyReading,
    resolve: (result: RequestBody | BodyFailure) => void,
  ) {
    this._incoming = incoming;
    this._reading = reading;
    this._resolve = resolve;
    this._blocks = new BodyBlocks(getDeclaredBytes(incoming));
    this._listeners = [
      ["data", (chunk) => this._addChunk(chunk)],
      ["end", () => this._end(new RequestBody(this._blocks.end(), reading.reservation))],
      ["error", () => this._end("broken")],
      ["close", () => this._end("broken")],
    ];
  }

  /**
   * Reads a body. Its declared length is reserved before the first byte is read; without one, each chunk is
   * reserved as it arrives.
   */
  static read(incoming: IncomingMessage, reading: BodyReading): Promise<RequestBody | BodyFailure> {
    const { maxBytes, reservation, getNow } = reading;
    const declaredBytes = getDeclaredBytes(incoming);
    if (declaredBytes > maxBytes) return Promise.resolve("tooLarge");
    if (!reservation.reserve(declaredBytes, getNow())) return Promise.resolve("noRoom");
    return new Promise((resolve) => new BodyReader(incoming, reading, resolve)._start());
  }

  private _start(): void {
    const { reservation, getNow, timeoutMs } = this._reading;
    for (const [event, listener] of this._listeners) this._incoming.on(event, listener);
    reservation.startArriving(getNow(), () => this._end("gaveWay"));
    if (timeoutMs !== undefined) this._timer = setTimeout(() => this._end("tooSlow"), Math.max(0, timeoutMs));
  }

  private _addChunk(chunk: Buffer): void {
    const { maxBytes, reservation, getNow } = this._reading;
    if (this._blocks.length + chunk.length > maxBytes) {
      this._end("tooLarge");
      return;
    }
    const growthBytes = this._blocks.getGrowthBytes(chunk.length);
    const missingBytes = this._blocks.allocatedBytes + growthBytes - reservation.bytes;
    const now = getNow();
    if (missingBytes > 0 && !reservation.reserve(missingBytes, now)) {
      this._end("noRoom");
      return;
    }
    this._blocks.add(chunk);
    reservation.addArrived(now, chunk.length);
  }

  /** Removes all references to the chunks: the request outlives a body that is evicted. */
  private _end(result: RequestBody | BodyFailure): void {
    clearTimeout(this._timer);
    this._reading.reservation.endArriving();
    for (const [event, listener] of this._listeners) this._incoming.off(event, listener);
    // Later errors of the connection are handled where the answer is sent.
    this._incoming.on("error", () => {});
    this._blocks.end();
    this._resolve(result);
  }
}

/** Gets the declared length of a body, bytes; 0 when none is declared. */
export function getDeclaredBytes({ headers }: IncomingMessage): number {
  const declared = Number(headers["content-length"]);
  return Number.isSafeInteger(declared) && declared > 0 ? declared : 0;
}
