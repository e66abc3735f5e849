/** The room that one body takes of the memory budget, from before it is read until no holder needs it. Pure. */
/** Whose body it is, and what it is needed for. */
export interface BodyOwner {
  /** `undefined` for anonymous access. */
  readonly organisation: string | undefined;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Bytes that the process takes for each byte of the body while it handles the request; one by default. */
  readonly costPerByte?: number;
}

/** The budget that a reservation takes its room from. */
export interface BodyRoom {
  /** Takes room for a body; `false` when there is none. */
  take(body: BodyReservation, bytes: number, now: number): boolean;
  /** Gives room back. */
  give(owner: BodyOwner, bytes: number): void;
  /** Records the end of a body, which tells at which rate room becomes free. */
  addRelease(now: number, bytes: number): void;
  /** Records whether a body may be evicted. */
  setIdle(body: BodyReservation, isIdle: boolean): void;
  /** Records whether a body is arriving. */
  setArriving(body: BodyReservation, isArriving: boolean): void;
}

/** Progress of a body that is arriving; times are monotonic milliseconds. */
interface Arrival {
  readonly startedAt: number;
  readonly giveWay: () => void;
  bytes: number;
  arrivedAt: number;
}

/** Time without a byte after which an incomplete body may give way to others, milliseconds. */
const MIN_SILENCE_MS = 250;
/** Time after which any incomplete body may give way to others, milliseconds. */
const MIN_AGE_MS = 1_000;

/** Reservation of one body. */
export class BodyReservation {
  readonly owner: BodyOwner;
  private readonly _budget: BodyRoom;
  /** See `BodyOwner`. */
  private readonly _costPerByte: number;
  private _bytes = 0;
  private _isOpen = true;
  private _sendingCount = 0;
  private _onEvict: (() => void) | undefined;
  private _arrival: Arrival | undefined;

  /** @internal Use `MemoryBudget.open`. */
  constructor(budget: BodyRoom, owner: BodyOwner) {
    this._budget = budget;
    this.owner = owner;
    this._costPerByte = owner.costPerByte ?? 1;
  }

  /** Gets the reserved bytes of the body. */
  get bytes(): number {
    return this._bytes;
  }

  /** Gets the reserved memory, bytes. */
  get costBytes(): number {
    return this._bytes * this._costPerByte;
  }

  /** Gets whether the body is held; `false` once the reservation was released or the body was evicted. */
  get isOpen(): boolean {
    return this._isOpen;
  }

  /** Reserves further bytes; `false` when there is no room. */
  reserve(bytes: number, now: number): boolean {
    if (!this._isOpen) return false;
    if (bytes === 0) return true;
    if (!this._budget.take(this, bytes * this._costPerByte, now)) return false;
    this._bytes += bytes;
    return true;
  }

  /**
   * Records that the body is arriving.
   * @param giveWay - Ends the reading of the body to make room for others. The request has not run.
   */
  startArriving(now: number, giveWay: () => void): void {
    this._arrival = { startedAt: now, giveWay, bytes: 0, arrivedAt: now };
    this._budget.setArriving(this, true);
  }

  /** Records that bytes have arrived. */
  addArrived(now: number, bytes: number): void {
    if (this._arrival === undefined) return;
    this._arrival.bytes += bytes;
    this._arrival.arrivedAt = now;
  }

  /** Records that no more of the body is read. */
  endArriving(): void {
    this._arrival = undefined;
    this._budget.setArriving(this, false);
  }

  /**
   * Gets the rate at which the body arrives, bytes a millisecond; `undefined` while it is not arriving, or not
   * slow enough to give way to others.
   */
  getSlowRate(now: number): number | undefined {
    if (this._arrival === undefined) return undefined;
    const { startedAt, arrivedAt, bytes } = this._arrival;
    const ageMs = now - startedAt;
    if (now - arrivedAt < MIN_SILENCE_MS && ageMs < MIN_AGE_MS) return undefined;
    return bytes / ageMs;
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
    this._budget.addRelease(now, this.costBytes);
    this._close();
  }

  /** @internal Evicts the body to make room; the request can't be sent again. */
  evict(): void {
    this._onEvict?.();
    this._close();
  }

  /** @internal Ends a body that is arriving, to make room. */
  giveWay(): void {
    const arrival = this._arrival;
    this.endArriving();
    arrival?.giveWay();
    this._close();
  }

  private _close(): void {
    this._isOpen = false;
    this._budget.setIdle(this, false);
    this._budget.give(this.owner, this.costBytes);
    this._bytes = 0;
  }
}
