/**
 * Shares the event loop among the connections whose requests have bodies.
 *
 * The parser hands over each chunk of a body in a call of its own, so a client that sends small chunks takes a
 * hundred times the processor time of one that sends the same bytes in large ones. A connection that has had its
 * part is paused, and paused connections are read again in the order in which they were paused, a few in a turn.
 */

/** The reading side of a connection. */
export interface ReadSource {
  /** Stops the reading of the connection. */
  pauseReading(): void;
  /** Reads the connection again. */
  resumeReading(): void;
}

/** Cost after which a connection is paused, in chunks. */
const MAX_COST = 256;
/** Bytes that cost as much as one chunk. */
const BYTES_PER_CHUNK = 2_048;
/** Cost of the connections that are read again in one turn of the event loop. */
const MAX_COST_PER_TURN = 1_024;

/** What a connection has cost since it was last paused. */
export class ReadShare {
  private readonly _turns: ReadTurns;
  private readonly _source: ReadSource;
  private _cost = 0;
  private _isPaused = false;

  constructor(turns: ReadTurns, source: ReadSource) {
    this._turns = turns;
    this._source = source;
  }

  /** Gets whether the connection waits for its next turn. */
  get isPaused(): boolean {
    return this._isPaused;
  }

  /** Adds a chunk; pauses the connection when it has had its part. */
  add(bytes: number): void {
    this._cost += 1 + bytes / BYTES_PER_CHUNK;
    if (this._isPaused || this._cost < MAX_COST) return;
    this._isPaused = true;
    this._source.pauseReading();
    this._turns.enqueue(this);
  }

  /**
   * Reads the connection again.
   * @returns What the connection cost, including what had been read when it was paused.
   */
  resume(): number {
    const cost = this._cost;
    this._cost = 0;
    this._isPaused = false;
    this._source.resumeReading();
    return cost;
  }
}

/** The connections of one process that wait for their turn to be read. */
export class ReadTurns {
  private readonly _defer: (startTurn: () => void) => void;
  private readonly _waiting: ReadShare[] = [];
  private _isScheduled = false;

  /** @param defer - Runs a function in the next turn of the event loop. */
  constructor(defer: (startTurn: () => void) => void) {
    this._defer = defer;
  }

  /** Adds a connection that was paused. */
  enqueue(share: ReadShare): void {
    this._waiting.push(share);
    this._schedule();
  }

  private _schedule(): void {
    if (this._isScheduled) return;
    this._isScheduled = true;
    this._defer(() => this._startTurn());
  }

  private _startTurn(): void {
    this._isScheduled = false;
    let cost = 0;
    while (cost < MAX_COST_PER_TURN) {
      const share = this._waiting.shift();
      if (share === undefined) return;
      cost += share.resume();
    }
    this._schedule();
  }
}
