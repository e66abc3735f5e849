/**
 * Limits the bytes that a process buffers for all requests and answers together.
 *
 * A request reserves its body before the body is read, and gives the reservation back when no part of the
 * process holds the body any more. When there is no room, bodies that have been sent whole are evicted, since
 * they are only needed to send a request again; then bodies that arrive slowly give way, the slowest first. A part
 * of the budget is kept for small bodies. Pure: times are monotonic milliseconds given by the caller.
 */
import { type BodyOwner, BodyReservation, type BodyRoom } from "./BodyReservation";

export interface MemoryBudgetOptions {
  /** Memory limit of the process, bytes. */
  readonly limitBytes: number;
  /** Gets the memory that the process uses for itself, bytes. */
  readonly getOwnBytes: () => number;
  /** Called for each body that is evicted to make room. */
  readonly onEvicted: () => void;
  /** Called for each body that was arriving and gives way to others. */
  readonly onGaveWay: () => void;
}

/** Fraction of the limit that is used; the rest covers allocations that the process doesn't see. */
const USED_SHARE = 0.9;
/** Buffers that are no longer used but not yet collected, bytes. V8 collects them when they exceed this size. */
const GARBAGE_BYTES = 64 * 1_024 * 1_024;
/** The budget is never smaller than this, bytes, so that small bodies are always accepted. */
const MIN_BYTES = 8 * 1_024 * 1_024;
/** Fraction of the budget that an organisation may use without regard to others. */
const ORGANISATION_SHARE = 0.25;
/** Fraction of the budget that only organisations use which use no more than their share. */
const KEPT_SHARE = 0.125;
/** Fraction of the budget that only small bodies use. */
const SMALL_SHARE = 0.125;
/** Fraction of the budget that no body uses, so that answers have room beside them. */
const ANSWER_SHARE = 0.05;
/** Maximum size of a small body, bytes of memory. */
const SMALL_BODY_BYTES = 65_536;
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
  private readonly _arrivingBodies = new Set<BodyReservation>();
  /** Bytes of bodies that ended, weighted by how recently; at the time of the last one. */
  private _releasedBytes = 0;
  private _releasedAt = 0;
  private _bodyBytes = 0;
  private _bodyBufferBytes = 0;
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

  /** Gets the bytes of the buffers in use, without what they cost besides. */
  get bufferBytes(): number {
    return this._bodyBufferBytes + this._answerBytes;
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
  take(body: BodyReservation, bytes: number, now: number): boolean {
    if (body.costBytes + bytes > this.maxBytes * (1 - SMALL_SHARE)) return false;
    const hasRoom = () => this._hasRoom(body, bytes);
    if (!this._evictUntil(hasRoom) && !this._endSlowUntil(hasRoom, body, now)) return false;
    this._addBodyBytes(body.owner, bytes);
    return true;
  }

  /** Ends the body that arrives most slowly; `false` when none is slow. */
  endSlowest(now: number): boolean {
    const slowest = this._getSlowestArriving(now, Number.POSITIVE_INFINITY);
    if (slowest === undefined) return false;
    this._options.onGaveWay();
    slowest.giveWay();
    return true;
  }

  /** @internal Gives room back. */
  give(owner: BodyOwner, bytes: number): void {
    this._addBodyBytes(owner, -bytes);
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

  /** @internal Records whether a body is arriving. */
  setArriving(body: BodyReservation, isArriving: boolean): void {
    if (isArriving) this._arrivingBodies.add(body);
    else this._arrivingBodies.delete(body);
  }

  private _hasRoom({ owner, costBytes }: BodyReservation, bytes: number): boolean {
    const { maxBytes } = this;
    const total = this.bytes + bytes;
    if (total > maxBytes * (1 - ANSWER_SHARE)) return false;
    if (costBytes + bytes <= SMALL_BODY_BYTES) return true;
    if (total <= maxBytes * (1 - KEPT_SHARE - SMALL_SHARE)) return true;
    const ownBytes = (this._bytesByOrganisation.get(owner.organisation) ?? 0) + bytes;
    return total <= maxBytes * (1 - SMALL_SHARE) && ownBytes <= maxBytes * ORGANISATION_SHARE;
  }

  /** Ends bodies that arrive more slowly than the given one until there is room. */
  private _endSlowUntil(hasRoom: () => boolean, body: BodyReservation, now: number): boolean {
    const ownRate = body.getSlowRate(now) ?? Number.POSITIVE_INFINITY;
    while (!hasRoom()) {
      const slowest = this._getSlowestArriving(now, ownRate);
      if (slowest === undefined) return false;
      this._options.onGaveWay();
      slowest.giveWay();
    }
    return true;
  }

  /** Gets the body that arrives most slowly, and more slowly than a rate. */
  private _getSlowestArriving(now: number, maxRate: number): BodyReservation | undefined {
    let slowest: BodyReservation | undefined;
    let slowestRate = maxRate;
    for (const body of this._arrivingBodies) {
      const rate = body.getSlowRate(now);
      if (rate === undefined || rate >= slowestRate) continue;
      slowest = body;
      slowestRate = rate;
    }
    return slowest;
  }

  private _getReleasedBytes(now: number): number {
    return this._releasedBytes * Math.exp((this._releasedAt - now) / RATE_WINDOW_MS);
  }

  private _addBodyBytes({ organisation, costPerByte = 1 }: BodyOwner, bytes: number): void {
    this._bodyBytes += bytes;
    this._bodyBufferBytes += bytes / costPerByte;
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
