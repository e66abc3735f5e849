/**
 * Runs the attempts of one request and hedges an attempt that stops producing output.
 *
 * When the primary attempt is idle for too long, a second attempt (the hedge) runs concurrently with it. The
 * first one that produces output is kept and the other one is aborted. Work that an endpoint would have
 * finished is therefore only discarded once its replacement has produced output, and the caller receives
 * output from one attempt at a time.
 */

import type { Target } from "../gen/ploverstage/v1/fleet_pb";

/** One attempt, as a source of the parts of an answer. */
export interface AnswerSource<T> {
  readonly target: Target;
  /** When data last arrived or the last part was taken, whichever is later; monotonic milliseconds. */
  readonly lastActivityAt: number;
  /**
   * Gets the next part of the answer.
   * @returns `undefined` when the attempt has failed.
   */
  next(): Promise<T | undefined>;
  /** Aborts the attempt because another one produced output. */
  abandon(reason: string): void;
}

/** Callbacks with which a race opens attempts. */
export interface RaceOptions<T> {
  /** Gets the current time, monotonic milliseconds. */
  getNow(): number;
  /**
   * Sends the request when no attempt is in progress; resolves with `undefined` when it may not be sent
   * again.
   */
  openNext(): Promise<AnswerSource<T> | undefined>;
  /**
   * Sends the request to a second endpoint; returns `undefined` unless the first one has been idle for too
   * long and the request may be sent again.
   */
  openHedge(idle: AnswerSource<T>, idleMs: number): AnswerSource<T> | undefined;
}

interface PendingRead<T> {
  readonly resolve: (part: T | undefined) => void;
  readonly reject: (cause: unknown) => void;
}

/** Interval at which the primary attempt is checked for being idle. */
const CHECK_INTERVAL_MS = 50;
/**
 * A check that runs later than this is skipped, because data that arrived meanwhile has not been processed
 * yet.
 */
const MAX_CHECK_LAG_MS = 30;

/** Race between the attempts of one request. */
export class AttemptRace<T> {
  private readonly _options: RaceOptions<T>;
  private readonly _timer: NodeJS.Timeout;
  private _primary: AnswerSource<T> | undefined;
  /** Second attempt, opened while the primary one is idle. */
  private _hedge: AnswerSource<T> | undefined;
  /** `undefined` while the caller processes a part; idle time does not count then. */
  private _pendingRead: PendingRead<T> | undefined;
  private _checkedAt: number;

  /** @param options - Callbacks that open attempts. */
  constructor(options: RaceOptions<T>) {
    this._options = options;
    this._checkedAt = options.getNow();
    this._timer = setInterval(() => this._checkIdle(), CHECK_INTERVAL_MS);
  }

  /** Gets whether two attempts are in progress. */
  get hasHedge(): boolean {
    return this._hedge !== undefined;
  }

  /**
   * Gets the next part of the answer from the first attempt that produces one. Only one call may be pending
   * at a time.
   * @returns `undefined` when all attempts have failed.
   */
  next(): Promise<T | undefined> {
    return new Promise((resolve, reject) => {
      this._pendingRead = { resolve, reject };
      if (this._primary === undefined) this._openNext();
      else this._readNext(this._primary);
    });
  }

  /** Stops checking for idle attempts. */
  close(): void {
    clearInterval(this._timer);
  }

  private _readNext(source: AnswerSource<T>): void {
    source.next().then(
      (part) => this._handlePart(source, part),
      (cause: unknown) => this._pendingRead?.reject(cause),
    );
  }

  private _handlePart(source: AnswerSource<T>, part: T | undefined): void {
    if (source !== this._primary && source !== this._hedge) return;
    if (part === undefined) this._removeFailed(source);
    else this._select(source, part);
  }

  private _select(source: AnswerSource<T>, part: T): void {
    const isPrimary = source === this._primary;
    const other = isPrimary ? this._hedge : this._primary;
    const idleMs = Math.round(this._options.getNow() - (this._primary?.lastActivityAt ?? 0));
    this._primary = source;
    this._hedge = undefined;
    other?.abandon(isPrimary ? "the primary attempt resumed" : `no data received for ${idleMs} ms`);
    this._resolveRead(part);
  }

  private _removeFailed(source: AnswerSource<T>): void {
    if (source === this._primary) this._primary = this._hedge;
    this._hedge = undefined;
    if (this._primary === undefined) this._openNext();
  }

  private _openNext(): void {
    this._options.openNext().then(
      (source) => {
        this._primary = source;
        if (source === undefined) this._resolveRead(undefined);
        else this._readNext(source);
      },
      (cause: unknown) => this._pendingRead?.reject(cause),
    );
  }

  private _resolveRead(part: T | undefined): void {
    const pendingRead = this._pendingRead;
    this._pendingRead = undefined;
    pendingRead?.resolve(part);
  }

  private _checkIdle(): void {
    const now = this._options.getNow();
    const lagMs = now - this._checkedAt - CHECK_INTERVAL_MS;
    this._checkedAt = now;
    const primary = this._primary;
    if (lagMs > MAX_CHECK_LAG_MS || this._pendingRead === undefined || primary === undefined) return;
    if (this._hedge !== undefined) return;
    this._hedge = this._options.openHedge(primary, now - primary.lastActivityAt);
    if (this._hedge !== undefined) this._readNext(this._hedge);
  }
}
