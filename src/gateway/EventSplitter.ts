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
  private _store: Buffer = Buffer.alloc(0);
  private _length = 0;
  /** Offset at which the search for an empty line continues. */
  private _searchedTo = 0;

  /** Gets the number of bytes after the last complete event. */
  get restLength(): number {
    return this._length;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRest(): Buffer {
    const rest = this._store.subarray(0, this._length);
    this._keep(Buffer.alloc(0));
    this._searchedTo = 0;
    return rest;
  }

  /** Adds bytes; returns the events that they complete. */
  addBytes(bytes: Buffer): StreamEvent[] {
    let rest = this._join(bytes);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = findEventEnd(rest, this._searchedTo);
      if (end === undefined) break;
      events.push(createEvent(rest.subarray(0, end)));
      rest = rest.subarray(end);
      this._searchedTo = 0;
    }
    // Returned events share this buffer and must not be overwritten, so the remainder gets no spare capacity
    // in it.
    if (events.length > 0 || this._length === 0) this._keep(rest);
    else this._length = rest.length;
    // The last three bytes may be the start of an empty line.
    this._searchedTo = Math.max(0, rest.length - 3);
    return events;
  }

  private _join(bytes: Buffer): Buffer {
    if (this._length === 0) return bytes;
    const length = this._length + bytes.length;
    if (length > this._store.length) {
      const larger = Buffer.allocUnsafe(Math.max(length, this._store.length * 2));
      this._store.copy(larger, 0, 0, this._length);
      this._store = larger;
    }
    bytes.copy(this._store, this._length);
    return this._store.subarray(0, length);
  }

  private _keep(rest: Buffer): void {
    this._store = rest;
    this._length = rest.length;
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
