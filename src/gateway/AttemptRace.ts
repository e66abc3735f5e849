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
  readonly heardAt: number;
  /**
   * Gets the next part of the answer.
   * @returns `undefined` when the attempt has failed.
   */
  next(): Promise<T | undefined>;
  /** Aborts the attempt because another one produced output. */
  leave(reason: string): void;
}

/** Callbacks with which a race opens attempts. */
export interface RaceRules<T> {
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
  openBeside(silent: AnswerSource<T>, silentMs: number): AnswerSource<T> | undefined;
}

interface Wait<T> {
  readonly resolve: (part: T | undefined) => void;
  readonly reject: (cause: unknown) => void;
}

/** Interval at which the primary attempt is checked for being idle. */
const WATCH_MS = 50;
/**
 * A check that runs later than this is skipped, because data that arrived meanwhile has not been processed
 * yet.
 */
const MAX_WATCH_LAG_MS = 30;

/** Race between the attempts of one request. */
export class AttemptRace<T> {
  private readonly _rules: RaceRules<T>;
  private readonly _timer: NodeJS.Timeout;
  private _lead: AnswerSource<T> | undefined;
  /** Second attempt, opened while the primary one is idle. */
  private _rival: AnswerSource<T> | undefined;
  /** `undefined` while the caller processes a part; idle time does not count then. */
  private _wait: Wait<T> | undefined;
  private _lookedAt: number;

  /** @param rules - Callbacks that open attempts. */
  constructor(rules: RaceRules<T>) {
    this._rules = rules;
    this._lookedAt = rules.getNow();
    this._timer = setInterval(() => this._look(), WATCH_MS);
  }

  /** Gets whether two attempts are in progress. */
  get hasRival(): boolean {
    return this._rival !== undefined;
  }

  /**
   * Gets the next part of the answer from the first attempt that produces one. Only one call may be pending
   * at a time.
   * @returns `undefined` when all attempts have failed.
   */
  next(): Promise<T | undefined> {
    return new Promise((resolve, reject) => {
      this._wait = { resolve, reject };
      if (this._lead === undefined) this._openNext();
      else this._listen(this._lead);
    });
  }

  /** Stops checking for idle attempts. */
  close(): void {
    clearInterval(this._timer);
  }

  private _listen(source: AnswerSource<T>): void {
    source.next().then(
      (part) => this._addPart(source, part),
      (cause: unknown) => this._wait?.reject(cause),
    );
  }

  private _addPart(source: AnswerSource<T>, part: T | undefined): void {
    if (source !== this._lead && source !== this._rival) return;
    if (part === undefined) this._drop(source);
    else this._keep(source, part);
  }

  private _keep(source: AnswerSource<T>, part: T): void {
    const isLead = source === this._lead;
    const other = isLead ? this._rival : this._lead;
    const silentMs = Math.round(this._rules.getNow() - (this._lead?.heardAt ?? 0));
    this._lead = source;
    this._rival = undefined;
    other?.leave(isLead ? "the primary attempt resumed" : `no data received for ${silentMs} ms`);
    this._end(part);
  }

  private _drop(source: AnswerSource<T>): void {
    if (source === this._lead) this._lead = this._rival;
    this._rival = undefined;
    if (this._lead === undefined) this._openNext();
  }

  private _openNext(): void {
    this._rules.openNext().then(
      (source) => {
        this._lead = source;
        if (source === undefined) this._end(undefined);
        else this._listen(source);
      },
      (cause: unknown) => this._wait?.reject(cause),
    );
  }

  private _end(part: T | undefined): void {
    const wait = this._wait;
    this._wait = undefined;
    wait?.resolve(part);
  }

  private _look(): void {
    const now = this._rules.getNow();
    const lagMs = now - this._lookedAt - WATCH_MS;
    this._lookedAt = now;
    const lead = this._lead;
    if (lagMs > MAX_WATCH_LAG_MS || this._wait === undefined || lead === undefined) return;
    if (this._rival !== undefined) return;
    this._rival = this._rules.openBeside(lead, now - lead.heardAt);
    if (this._rival !== undefined) this._listen(this._rival);
  }
}
