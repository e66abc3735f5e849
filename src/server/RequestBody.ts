/** The body of a request, which may be evicted before the request is over. */
import type { BodyReservation } from "./BodyReservation";

/** Body of one request. */
export class RequestBody {
  /** Number of bytes, also after the body was evicted. */
  readonly length: number;
  private readonly _reservation: BodyReservation;
  private _chunks: readonly Uint8Array[];

  /**
   * @param chunks - The bytes in the order in which they arrived.
   * @param reservation - The room that they take.
   */
  constructor(chunks: readonly Uint8Array[], reservation: BodyReservation) {
    this._chunks = chunks;
    this._reservation = reservation;
    this.length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  }

  /** Gets the bytes; none once the body was evicted. */
  get chunks(): readonly Uint8Array[] {
    return this._chunks;
  }

  /** Gets whether the request can be sent with this body. */
  get isHeld(): boolean {
    return this._reservation.isOpen;
  }

  /** Records that the body is being sent. Returns a function that records that it was sent whole. */
  startSending(): () => void {
    return this._reservation.startSending();
  }

  /**
   * Allows the body to be evicted once it has been sent whole.
   * @param onEvict - Called right before that, while the bytes can still be read.
   */
  allowEviction(onEvict: () => void): void {
    this._reservation.setOnEvict(() => {
      onEvict();
      this._chunks = [];
    });
  }

  /** Releases the body because the request is over. */
  release(now: number): void {
    this._reservation.release(now);
    this._chunks = [];
  }
}
