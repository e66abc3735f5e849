/** Counts the buffered bytes of one incomplete answer toward the limit over all answers. Pure. */

/** Total over all buffered answers. */
export interface HeldSum {
  /** Adds a number of bytes to the total; a negative number subtracts. */
  change(bytes: number): void;
  /** Abandons answers until the total is within the limit. */
  bound(): void;
  /** Removes an answer from the total. */
  remove(answer: HeldAnswer): void;
}

/** Buffered bytes of one answer. */
export class HeldAnswer {
  private readonly _held: HeldSum;
  private readonly _giveUp: (bytes: number) => void;
  private _bytes = 0;
  private _isOpen = true;

  /** @internal Use `AnswerBuffers.open`. */
  constructor(held: HeldSum, giveUp: (bytes: number) => void) {
    this._held = held;
    this._giveUp = giveUp;
  }

  /** Gets the number of buffered bytes. */
  get bytes(): number {
    return this._bytes;
  }

  /** Gets whether the answer is still buffered; `false` once it is closed or abandoned. */
  get isOpen(): boolean {
    return this._isOpen;
  }

  /**
   * Sets the number of buffered bytes. When the total exceeds the limit, this abandons the largest answer,
   * which may be this one.
   */
  setBytes(bytes: number): void {
    if (!this._isOpen) return;
    this._held.change(bytes - this._bytes);
    this._bytes = bytes;
    this._held.bound();
  }

  /** Removes the answer's bytes from the total. */
  close(): void {
    this._isOpen = false;
    this._held.change(-this._bytes);
    this._bytes = 0;
    this._held.remove(this);
  }

  /** Abandons the answer because it is the largest one while the total exceeds the limit. */
  giveUp(): void {
    const bytes = this._bytes;
    this.close();
    this._giveUp(bytes);
  }
}
