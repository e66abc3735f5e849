/**
 * Splits a stream of server-sent events into complete events without changing their bytes.
 *
 * An event ends with an empty line. Only complete events are returned, so a stream that breaks off within an
 * event can be resumed at another endpoint without passing on a partial event.
 */

/** One complete event. */
export interface StreamEvent {
  /** The event's bytes, including the empty line. */
  readonly bytes: Buffer;
  /** The event's id; `undefined` when it has none. */
  readonly id: string | undefined;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_LINE = /^id:[ ]?([^\r\n]*)/m;

/** Splitter of one stream. */
export class EventSplitter {
  /** Bytes after the last complete event; the capacity grows by doubling. */
  private _buffer: Buffer = Buffer.alloc(0);
  private _length = 0;
  /** Offset at which the search for an empty line continues. */
  private _searchOffset = 0;

  /** Gets the number of bytes after the last complete event. */
  get remainderLength(): number {
    return this._length;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const remainder = this._buffer.subarray(0, this._length);
    this._setBuffer(Buffer.alloc(0));
    this._searchOffset = 0;
    return remainder;
  }

  /** Adds bytes; returns the events that they complete. */
  addBytes(bytes: Buffer): StreamEvent[] {
    let remainder = this._append(bytes);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = findEventEnd(remainder, this._searchOffset);
      if (end === undefined) break;
      events.push(createEvent(remainder.subarray(0, end)));
      remainder = remainder.subarray(end);
      this._searchOffset = 0;
    }
    // Returned events share this buffer and must not be overwritten, so the remainder gets no spare capacity
    // in it.
    if (events.length > 0 || this._length === 0) this._setBuffer(remainder);
    else this._length = remainder.length;
    // The last three bytes may be the start of an empty line.
    this._searchOffset = Math.max(0, remainder.length - 3);
    return events;
  }

  private _append(bytes: Buffer): Buffer {
    if (this._length === 0) return bytes;
    const length = this._length + bytes.length;
    if (length > this._buffer.length) {
      const larger = Buffer.allocUnsafe(Math.max(length, this._buffer.length * 2));
      this._buffer.copy(larger, 0, 0, this._length);
      this._buffer = larger;
    }
    bytes.copy(this._buffer, this._length);
    return this._buffer.subarray(0, length);
  }

  private _setBuffer(remainder: Buffer): void {
    this._buffer = remainder;
    this._length = remainder.length;
  }
}

function createEvent(bytes: Buffer): StreamEvent {
  return { bytes, id: ID_LINE.exec(bytes.toString("latin1"))?.[1] };
}

/** Gets the index after the first empty line; `undefined` when there is none. */
function findEventEnd(bytes: Buffer, from: number): number | undefined {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return undefined;
}
