/**
 * One attempt whose answer is a stream. Its parts are the events completed by each chunk that arrives, then
 * the end of the stream.
 */
import { LostAnswer } from "../errors";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import {
  type AnsweringAttempt,
  type AttemptFailure,
  abandonAttempt,
  abortOversized,
  getFailureReason,
  isAnswering,
  wasAbandoned,
  wasEndedByEndpoint,
} from "./Attempt";
import type { AnswerSource } from "./AttemptRace";
import type { BufferedAnswer } from "./BufferedAnswer";
import { checkAnswer } from "./checkAnswer";
import { checkEnd } from "./checkEnd";
import { EventSplitter, type StreamEvent } from "./EventSplitter";
import type { Exchange } from "./Exchange";
import { mayRepeat } from "./timeouts";

/** A part of a stream. */
export interface StreamPart {
  readonly attempt: AnsweringAttempt;
  readonly events: readonly StreamEvent[];
  readonly isEnd: boolean;
}

/** State of the answer that the caller receives. */
export interface StreamProgress {
  /** Id of the event after which the stream continues. */
  readonly lastEventId: string | undefined;
  /** Whether the head of an answer has been sent to the caller. */
  readonly hasSentHead: boolean;
  /** Whether the answer whose head the caller received had neither a length nor chunks at its endpoint. */
  readonly startedUnframed: boolean;
  /** Whether another attempt is in progress and may still succeed. */
  readonly hasHedge: boolean;
}

const MIN_FAILURE_STATUS = 300;
/** Maximum size of an event. A stream's events carry tokens, so a larger one is an error. */
const MAX_EVENT_BYTES = 1_024 * 1_024;

/** Reads the stream of one attempt. */
export class StreamSource implements AnswerSource<StreamPart> {
  readonly target: Target;
  lastActivityAt: number;
  private readonly _exchange: Exchange;
  private readonly _getProgress: () => StreamProgress;
  private readonly _abort = new AbortController();
  private readonly _splitter = new EventSplitter();
  private _attempt: AnsweringAttempt | undefined;
  private _chunks: AsyncIterator<Buffer> | undefined;
  private _answeredAt: number | undefined;
  private _endStream: (() => void) | undefined;
  private readonly _buffered: BufferedAnswer;

  /** @param getProgress - Gets the state of the answer that the caller receives. */
  constructor(exchange: Exchange, target: Target, getProgress: () => StreamProgress) {
    this.target = target;
    this.lastActivityAt = exchange.getNow();
    this._exchange = exchange;
    this._getProgress = getProgress;
    this._buffered = exchange.dependencies.buffers.open((bytes) =>
      abortOversized(this._abort, target, bytes),
    );
  }

  /** Gets the next events, or the end; `undefined` when the attempt failed. */
  async next(): Promise<StreamPart | undefined> {
    this._attempt ??= await this._start();
    const attempt = this._attempt;
    if (attempt === undefined) {
      this._buffered.close();
      return undefined;
    }
    try {
      return await this._read(attempt);
    } catch (cause) {
      this._close();
      this._exchange.addFailedAttempt(attempt, this._createFailure(cause));
      return undefined;
    }
  }

  /** Aborts the attempt because another one produced output. */
  abandon(reason: string): void {
    abandonAttempt(this._abort, this.target, reason);
  }

  private async _start(): Promise<AnsweringAttempt | undefined> {
    const attempt = await this._exchange.send(this.target, this._getProgress().lastEventId, this._abort);
    if (!isAnswering(attempt)) return undefined;
    const failure = this._check(attempt);
    if (failure !== undefined) {
      this._exchange.addFailedAttempt(attempt, failure);
      return undefined;
    }
    this._chunks = (attempt.incoming as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
    return attempt;
  }

  /**
   * Gets why an answer can't be used. An error status is passed on only when no stream has been sent to the
   * caller and no other attempt may succeed.
   */
  private _check(attempt: AnsweringAttempt): AttemptFailure | undefined {
    const failure = checkAnswer(this._exchange, attempt);
    const status = attempt.incoming.statusCode ?? 0;
    if (failure !== undefined || status < MIN_FAILURE_STATUS) return failure;
    const { hasSentHead, hasHedge } = this._getProgress();
    const canRepeat = mayRepeat(this._exchange.request.route) && this._exchange.hasAttemptsLeft();
    if (!hasSentHead && !hasHedge && !canRepeat) return undefined;
    return { reason: `endpoint answered ${status}`, wasNotRun: false, wasSent: true, wasAnswered: true };
  }

  private async _read(attempt: AnsweringAttempt): Promise<StreamPart> {
    // The time in which the caller processed the previous part does not count as idle.
    if (this._answeredAt !== undefined) this.lastActivityAt = this._exchange.getNow();
    for (;;) {
      const { done, value } = await this._chunks!.next();
      if (done === true) return this._complete(attempt);
      const events = this._addChunk(value);
      if (events.length > 0) return { attempt, events, isEnd: false };
    }
  }

  private _addChunk(chunk: Buffer): StreamEvent[] {
    const now = this._exchange.getNow();
    this._answeredAt ??= now;
    // The head has recorded that its connection carries answers.
    this._exchange.addActivity(this.target, false);
    const events = this._splitter.addBytes(chunk);
    this._enforceLimits(this._splitter.remainderLength);
    if (events.length > 0) this._addActivity(now);
    return events;
  }

  /** Bytes of an incomplete event do not count as activity. */
  private _addActivity(now: number): void {
    const stallDetector = this._exchange.dependencies.pool.getStallDetector(this.target.id);
    if (this._endStream === undefined) this._endStream = stallDetector?.startStream(now);
    else stallDetector?.addEvent(now, now - this.lastActivityAt);
    this.lastActivityAt = now;
  }

  private _enforceLimits(remainderBytes: number): void {
    this._buffered.setBytes(remainderBytes);
    if (remainderBytes > MAX_EVENT_BYTES) abortOversized(this._abort, this.target, remainderBytes);
    this._abort.signal.throwIfAborted();
  }

  private _close(): void {
    this._endStream?.();
    this._buffered.close();
  }

  private async _complete(attempt: AnsweringAttempt): Promise<StreamPart> {
    const { isFramed } = attempt;
    const remainder = this._splitter.takeRemainder();
    const { hasSentHead, startedUnframed } = this._getProgress();
    const hasEvents = this._endStream !== undefined || hasSentHead;
    const canEnd = isFramed || startedUnframed || !hasSentHead;
    // A close-delimited answer may have been cut, which looks the same as its end.
    if (!canEnd || (!isFramed && (remainder.length > 0 || !hasEvents))) {
      throw new LostAnswer({
        address: this.target.address,
        reason: "connection closed without marking the end of the answer",
      });
    }
    await checkEnd(this._exchange, attempt);
    this._abort.signal.throwIfAborted();
    this._close();
    this._exchange.addSuccessfulAttempt(attempt);
    return {
      attempt,
      events: remainder.length > 0 ? [{ bytes: remainder, id: undefined }] : [],
      isEnd: true,
    };
  }

  private _createFailure(cause: unknown): AttemptFailure {
    return {
      reason: `stream broke off: ${getFailureReason(cause, this._abort)}`,
      wasNotRun: false,
      wasSent: true,
      answeredAt: this._answeredAt,
      wasEndedByEndpoint: wasEndedByEndpoint(this._abort),
      wasAbandoned: wasAbandoned(this._abort),
    };
  }
}
