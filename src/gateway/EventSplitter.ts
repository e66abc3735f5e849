/**
 * Cuts a stream of server-sent events into whole events, bytes unchanged.
 *
 * An event ends with an empty line. Only whole events are given out, so that a stream
 * that stops within one can go on elsewhere without a trace of the piece.
 */

/** One whole event. */
export interface StreamEvent {
  /** The bytes, the empty line included. */
  readonly bytes: Buffer;
  /** Its id, `undefined` when it bears none. */
  readonly id: string | undefined;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_LINE = /^id:[ ]?([^\r\n]*)/m;

/** Splits one stream. */
export class EventSplitter {
  private _rest: Buffer = Buffer.alloc(0);
  /** Where the search for an empty line goes on. */
  private _searchedTo = 0;

  /** Gets how many bytes stand behind the last whole event. */
  get restLength(): number {
    return this._rest.length;
  }

  /** Takes what is left over. */
  takeRest(): Buffer {
    const rest = this._rest;
    this._rest = Buffer.alloc(0);
    this._searchedTo = 0;
    return rest;
  }

  /** Adds bytes; gives the events that are whole now. */
  addBytes(bytes: Buffer): StreamEvent[] {
    this._rest = this._rest.length === 0 ? bytes : Buffer.concat([this._rest, bytes]);
    const events: StreamEvent[] = [];
    for (;;) {
      const end = findEventEnd(this._rest, this._searchedTo);
      if (end === undefined) break;
      events.push(createEvent(this._rest.subarray(0, end)));
      this._rest = this._rest.subarray(end);
      this._searchedTo = 0;
    }
    // An empty line may be cut within; three bytes may belong to it.
    this._searchedTo = Math.max(0, this._rest.length - 3);
    return events;
  }
}

function createEvent(bytes: Buffer): StreamEvent {
  return { bytes, id: ID_LINE.exec(bytes.toString("latin1"))?.[1] };
}

/** Gets the index behind the first empty line. */
function findEventEnd(bytes: Buffer, from: number): number | undefined {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return undefined;
}
