/**
 * Limits how much work of one kind starts in one turn of the event loop.
 *
 * Messages are read and timers run between two turns, so heartbeats and votes wait for at most one turn's
 * share of a long list.
 */

/** Work that starts in order of arrival. */
export class TurnQueue {
  private readonly _perTurn: number;
  private readonly _waiting: (() => void)[] = [];
  private _startedInTurn = 0;
  private _isScheduled = false;

  /** @param perTurn - Number of work items that may start in one turn. */
  constructor(perTurn: number) {
    this._perTurn = perTurn;
  }

  /** Resolves when one more work item may start. */
  waitForTurn(): Promise<void> {
    this._schedule();
    if (this._startedInTurn < this._perTurn && this._waiting.length === 0) {
      this._startedInTurn += 1;
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
    this._startedInTurn = next.length;
    if (next.length > 0) this._schedule();
    for (const start of next) start();
  }
}
