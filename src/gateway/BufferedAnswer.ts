/** Counts the buffered bytes of one incomplete answer toward the limit over all answers. Pure. */

/** Total over all buffered answers. */
export interface BufferTotal {
  /** Adds a number of bytes to the total; a negative number subtracts. */
  add(bytes: number): void;
  /** Abandons answers until the total is within the limit. */
  enforceLimit(): void;
  /** Removes an answer from the total. */
  remove(answer: BufferedAnswer): void;
}

/** Buffered bytes of one answer. */
export class BufferedAnswer {
  private readonly _total: BufferTotal;
  private readonly _onAbandoned: (bytes: number) => void;
  private _bytes = 0;
  private _isOpen = true;

  /** @internal Use `AnswerBuffers.open`. */
  constructor(total: BufferTotal, onAbandoned: (bytes: number) => void) {
    this._total = total;
    this._onAbandoned = onAbandoned;
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
    this._total.add(bytes - this._bytes);
    this._bytes = bytes;
    this._total.enforceLimit();
  }

  /** Removes the answer's bytes from the total. */
  close(): void {
    this._isOpen = false;
    this._total.add(-this._bytes);
    this._bytes = 0;
    this._total.remove(this);
  }

  /** Abandons the answer because it is the largest one while the total exceeds the limit. */
  abandon(): void {
    const bytes = this._bytes;
    this.close();
    this._onAbandoned(bytes);
  }
}
