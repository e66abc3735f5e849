/**
 * Lets only so much of one kind of work begin in one turn of the event loop.
 *
 * Between two turns messages are read and timers run: heartbeats and votes never wait for more than
 * one turn's share of a long list.
 */

/** Work that waits for its turn, first come, first served. */
export class TurnQueue {
  private readonly _perTurn: number;
  private readonly _waiting: (() => void)[] = [];
  private _begun = 0;
  private _isScheduled = false;

  /**
   * @param perTurn - Pieces of work that may begin in one turn.
   */
  constructor(perTurn: number) {
    this._perTurn = perTurn;
  }

  /** Resolves when one more piece may begin. */
  waitForTurn(): Promise<void> {
    this._schedule();
    if (this._begun < this._perTurn && this._waiting.length === 0) {
      this._begun += 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => this._waiting.push(resolve));
  }

  private _schedule(): void {
    if (this._isScheduled) return;
    this._isScheduled = true;
    setImmediate(() => this._startTurn());
  }

  private _startTurn(): void {
    this._isScheduled = false;
    const next = this._waiting.splice(0, this._perTurn);
    this._begun = next.length;
    if (next.length > 0) this._schedule();
    for (const begin of next) begin();
  }
}
