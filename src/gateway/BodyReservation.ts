/** The room that one body takes of the memory budget, from before it is read until no holder needs it. Pure. */
/** Whose body it is, and what it is needed for. */
export interface BodyOwner {
  /** `undefined` for anonymous access. */
  readonly organisation: string | undefined;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
}

/** The budget that a reservation takes its room from. */
export interface BodyRoom {
  /** Takes room for a body; `false` when there is none. */
  take(owner: BodyOwner, bytes: number): boolean;
  /** Gives room back. */
  give(owner: BodyOwner, bytes: number): void;
  /** Records the end of a body, which tells at which rate room becomes free. */
  addRelease(now: number, bytes: number): void;
  /** Records whether a body may be evicted. */
  setIdle(body: BodyReservation, isIdle: boolean): void;
}

/** Reservation of one body. */
export class BodyReservation {
  readonly owner: BodyOwner;
  private readonly _budget: BodyRoom;
  private _bytes = 0;
  private _isOpen = true;
  private _sendingCount = 0;
  private _onEvict: (() => void) | undefined;

  /** @internal Use `MemoryBudget.open`. */
  constructor(budget: BodyRoom, owner: BodyOwner) {
    this._budget = budget;
    this.owner = owner;
  }

  /** Gets the reserved bytes. */
  get bytes(): number {
    return this._bytes;
  }

  /** Gets whether the body is held; `false` once the reservation was released or the body was evicted. */
  get isOpen(): boolean {
    return this._isOpen;
  }

  /** Reserves further bytes; `false` when there is no room. */
  reserve(bytes: number): boolean {
    if (!this._isOpen) return false;
    if (bytes === 0) return true;
    if (!this._budget.take(this.owner, bytes)) return false;
    this._bytes += bytes;
    return true;
  }

  /** Sets what to do when the body is evicted to make room. Without it, the body is kept. */
  setOnEvict(onEvict: () => void): void {
    this._onEvict = onEvict;
  }

  /**
   * Records that the body is being sent.
   * @returns A function that records that it was sent whole, or that the attempt is over.
   */
  startSending(): () => void {
    this._sendingCount += 1;
    this._budget.setIdle(this, false);
    let isSending = true;
    return () => {
      if (!isSending) return;
      isSending = false;
      this._sendingCount -= 1;
      const isIdle = this._isOpen && this._sendingCount === 0 && this._onEvict !== undefined;
      if (isIdle) this._budget.setIdle(this, true);
    };
  }

  /** Gives the room back because the request is over. */
  release(now: number): void {
    if (!this._isOpen) return;
    this._budget.addRelease(now, this._bytes);
    this._close();
  }

  /** @internal Evicts the body to make room; the request can't be sent again. */
  evict(): void {
    this._onEvict?.();
    this._close();
  }

  private _close(): void {
    this._isOpen = false;
    this._budget.setIdle(this, false);
    this._budget.give(this.owner, this._bytes);
    this._bytes = 0;
  }
}
