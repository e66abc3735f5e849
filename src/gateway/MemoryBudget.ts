/**
 * Limits the bytes that a process buffers for all requests and answers together.
 *
 * A request reserves its body before the body is read, and gives the reservation back when no part of the
 * process holds the body any more. When there is no room, bodies that have been sent whole are evicted, since
 * they are only needed to send a request again. Pure: times are monotonic milliseconds given by the caller.
 */
import { type BodyOwner, BodyReservation, type BodyRoom } from "./BodyReservation";

export interface MemoryBudgetOptions {
  /** Memory limit of the process, bytes. */
  readonly limitBytes: number;
  /** Gets the memory that the process uses for itself, bytes. */
  readonly getOwnBytes: () => number;
  /** Called for each body that is evicted to make room. */
  readonly onEvicted: () => void;
}

/** Fraction of the limit that is used; the rest covers allocations that the process doesn't see. */
const USED_SHARE = 0.9;
/** Buffers that are no longer used but not yet collected, bytes. V8 collects them when they exceed this size. */
const GARBAGE_BYTES = 64 * 1_024 * 1_024;
/** The budget is never smaller than this, bytes, so that small bodies are always accepted. */
const MIN_BYTES = 8 * 1_024 * 1_024;
/** Fraction of the budget that is kept for organisations that use no more than this fraction. */
const KEPT_SHARE = 0.25;
/** Time over which the rate is measured at which room becomes free, in milliseconds. */
const RATE_WINDOW_MS = 2_000;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 3_000;

/** Budget of one process. */
export class MemoryBudget implements BodyRoom {
  private readonly _options: MemoryBudgetOptions;
  private readonly _bytesByOrganisation = new Map<string | undefined, number>();
  /** Bodies that may be evicted, in the order in which they were sent; those that are needed less likely first. */
  private readonly _idleBodies = [new Set<BodyReservation>(), new Set<BodyReservation>()] as const;
  /** Bytes of bodies that ended, weighted by how recently; at the time of the last one. */
  private _releasedBytes = 0;
  private _releasedAt = 0;
  private _bodyBytes = 0;
  private _answerBytes = 0;

  /** @param options - Limit and own use. */
  constructor(options: MemoryBudgetOptions) {
    this._options = options;
  }

  /** Gets the size of the budget, bytes. */
  get maxBytes(): number {
    const { limitBytes, getOwnBytes } = this._options;
    return Math.max(MIN_BYTES, limitBytes * USED_SHARE - GARBAGE_BYTES - getOwnBytes());
  }

  /** Gets the bytes in use, by bodies and answers. */
  get bytes(): number {
    return this._bodyBytes + this._answerBytes;
  }

  /** Gets the bytes reserved for bodies. */
  get bodyBytes(): number {
    return this._bodyBytes;
  }

  /** Opens a reservation of no bytes for a body. */
  open(owner: BodyOwner): BodyReservation {
    return new BodyReservation(this, owner);
  }

  /** Adds to the bytes of buffered answers; a negative number subtracts. Evicts bodies where there is no room. */
  addAnswerBytes(bytes: number): void {
    this._answerBytes += bytes;
    this._evictUntil(() => !this.isExceeded);
  }

  /** Gets whether more is in use than the budget allows. */
  get isExceeded(): boolean {
    return this.bytes > this.maxBytes;
  }

  /**
   * Gets when there will be room for a body, by the rate at which bodies have ended; milliseconds from now.
   * @param bytes - Size of the body.
   */
  getRetryAfterMs(now: number, bytes: number): number {
    const releasedBytes = this._getReleasedBytes(now);
    if (releasedBytes < 1) return MAX_RETRY_MS;
    const waitMs = (bytes / releasedBytes) * RATE_WINDOW_MS;
    return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs)));
  }

  /** @internal Takes room for a body; `false` when there is none. */
  take({ organisation }: BodyOwner, bytes: number): boolean {
    const maxBytes = this.maxBytes;
    const ownBytes = (this._bytesByOrganisation.get(organisation) ?? 0) + bytes;
    const hasRoom = () => {
      const total = this.bytes + bytes;
      if (total <= maxBytes * (1 - KEPT_SHARE)) return true;
      return total <= maxBytes && ownBytes <= maxBytes * KEPT_SHARE;
    };
    if (!this._evictUntil(hasRoom)) return false;
    this._addBodyBytes(organisation, bytes);
    return true;
  }

  /** @internal Gives room back. */
  give({ organisation }: BodyOwner, bytes: number): void {
    this._addBodyBytes(organisation, -bytes);
  }

  /** @internal Records the end of a body, which tells at which rate room becomes free. */
  addRelease(now: number, bytes: number): void {
    this._releasedBytes = this._getReleasedBytes(now) + bytes;
    this._releasedAt = now;
  }

  /** @internal Records whether a body may be evicted. */
  setIdle(body: BodyReservation, isIdle: boolean): void {
    const bodies = this._idleBodies[body.owner.isRepeatable ? 1 : 0];
    if (isIdle) bodies.add(body);
    else bodies.delete(body);
  }

  private _getReleasedBytes(now: number): number {
    return this._releasedBytes * Math.exp((this._releasedAt - now) / RATE_WINDOW_MS);
  }

  private _addBodyBytes(organisation: string | undefined, bytes: number): void {
    this._bodyBytes += bytes;
    const total = (this._bytesByOrganisation.get(organisation) ?? 0) + bytes;
    if (total === 0) this._bytesByOrganisation.delete(organisation);
    else this._bytesByOrganisation.set(organisation, total);
  }

  private _evictUntil(hasRoom: () => boolean): boolean {
    for (const bodies of this._idleBodies) {
      for (const body of bodies) {
        if (hasRoom()) return true;
        this._options.onEvicted();
        body.evict();
      }
    }
    return hasRoom();
  }
}
