/** What a process holds of one answer that is not whole yet; counts toward the bound of all of them. Pure. */

/** What counts all answers together. */
export interface HeldSum {
  /** Adds bytes, or takes them off. */
  change(bytes: number): void;
  /** Gives answers up until the bound holds. */
  bound(): void;
  /** Forgets an answer. */
  remove(answer: HeldAnswer): void;
}

/** What is held of one answer. */
export class HeldAnswer {
  private readonly _held: HeldSum;
  private readonly _giveUp: (bytes: number) => void;
  private _bytes = 0;
  private _isOpen = true;

  /** @internal Use `HeldBytes.open`. */
  constructor(held: HeldSum, giveUp: (bytes: number) => void) {
    this._held = held;
    this._giveUp = giveUp;
  }

  /** Gets how many bytes are held of it. */
  get bytes(): number {
    return this._bytes;
  }

  /** Gets whether it is held still, and not given up. */
  get isOpen(): boolean {
    return this._isOpen;
  }

  /** Sets how many bytes are held of it; may give up this or another one. */
  setBytes(bytes: number): void {
    if (!this._isOpen) return;
    this._held.change(bytes - this._bytes);
    this._bytes = bytes;
    this._held.bound();
  }

  /** Holds nothing of it any more. */
  close(): void {
    this._isOpen = false;
    this._held.change(-this._bytes);
    this._bytes = 0;
    this._held.remove(this);
  }

  /** Ends it, since it is the largest one of too many bytes. */
  giveUp(): void {
    const bytes = this._bytes;
    this.close();
    this._giveUp(bytes);
  }
}
