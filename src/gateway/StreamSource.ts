/** One attempt at a stream of events: its parts are the whole events of each piece that arrives, then its end. */
import type { IncomingMessage } from "node:http";
import { LostAnswer } from "../errors";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import {
  type AttemptFailure,
  type BegunAttempt,
  breakOffOversized,
  explainFailure,
  hasBegun,
  leaveAttempt,
  wasBroken,
  wasLeft,
} from "./Attempt";
import type { AnswerSource } from "./AttemptRace";
import type { HeldAnswer } from "./BufferedAnswer";
import { checkAnswer } from "./checkAnswer";
import { EventSplitter, type StreamEvent } from "./EventSplitter";
import type { Exchange } from "./Exchange";
import { isFramed } from "./headers";
import { mayRepeat } from "./timeouts";

/** What came of a stream. */
export interface StreamPart {
  readonly incoming: IncomingMessage;
  readonly events: readonly StreamEvent[];
  readonly isEnd: boolean;
}

/** What an attempt has to know of the answer that the caller gets. */
export interface StreamProgress {
  /** Where the stream goes on. */
  readonly lastEventId: string | undefined;
  /** Whether a part of an answer has gone out. */
  readonly hasBegun: boolean;
  /** Whether the caller's answer ends with its connection. */
  readonly endsWithConnection: boolean;
  /** Whether another attempt may still come to more. */
  readonly hasRival: boolean;
}

const FIRST_FAILURE_STATUS = 300;
/** An event that is larger is none: a stream's pieces are tokens. */
const MAX_EVENT_BYTES = 1_024 * 1_024;

/** Reads one attempt's stream. */
export class StreamSource implements AnswerSource<StreamPart> {
  readonly target: Target;
  heardAt: number;
  private readonly _exchange: Exchange;
  private readonly _getProgress: () => StreamProgress;
  private readonly _abort = new AbortController();
  private readonly _splitter = new EventSplitter();
  private _attempt: BegunAttempt | undefined;
  private _pieces: AsyncIterator<Buffer> | undefined;
  private _answeredAt: number | undefined;
  private _endStream: (() => void) | undefined;
  private readonly _held: HeldAnswer;

  /**
   * @param getProgress - Gives what the caller has got.
   */
  constructor(exchange: Exchange, target: Target, getProgress: () => StreamProgress) {
    this.target = target;
    this.heardAt = exchange.getNow();
    this._exchange = exchange;
    this._getProgress = getProgress;
    this._held = exchange.tools.held.open((bytes) => breakOffOversized(this._abort, target, bytes));
  }

  /** Gets the events that came next, or the end. */
  async next(): Promise<StreamPart | undefined> {
    this._attempt ??= await this._begin();
    const attempt = this._attempt;
    if (attempt === undefined) {
      this._held.close();
      return undefined;
    }
    try {
      return await this._read(attempt);
    } catch (cause) {
      this._close();
      this._exchange.failAttempt(attempt, this._explain(cause));
      return undefined;
    }
  }

  /** Ends it, for another attempt that went on. */
  leave(reason: string): void {
    leaveAttempt(this._abort, this.target, reason);
  }

  private async _begin(): Promise<BegunAttempt | undefined> {
    const attempt = await this._exchange.send(this.target, this._getProgress().lastEventId, this._abort);
    if (!hasBegun(attempt)) return undefined;
    const failure = this._check(attempt);
    if (failure !== undefined) {
      this._exchange.failAttempt(attempt, failure);
      return undefined;
    }
    this._pieces = (attempt.incoming as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
    return attempt;
  }

  /** A stream that has begun can't turn into a failure; before that, one may be passed on. */
  private _check({ incoming }: BegunAttempt): AttemptFailure | undefined {
    const failure = checkAnswer(this._exchange, incoming);
    const status = incoming.statusCode ?? 0;
    if (failure !== undefined || status < FIRST_FAILURE_STATUS) return failure;
    const { hasBegun: isAnswering, hasRival } = this._getProgress();
    const canRepeat = mayRepeat(this._exchange.request.route) && this._exchange.hasAttemptsLeft();
    if (!isAnswering && !hasRival && !canRepeat) return undefined;
    return { reason: `it answered ${status}`, wasNotRun: false, wasSent: true };
  }

  private async _read(attempt: BegunAttempt): Promise<StreamPart> {
    // The caller may have been slow to take the part before.
    if (this._answeredAt !== undefined) this.heardAt = this._exchange.getNow();
    for (;;) {
      const { done, value } = await this._pieces!.next();
      if (done === true) return this._end(attempt);
      const events = this._addPiece(value);
      if (events.length > 0) return { incoming: attempt.incoming, events, isEnd: false };
    }
  }

  private _addPiece(piece: Buffer): StreamEvent[] {
    const now = this._exchange.getNow();
    this._answeredAt ??= now;
    this._exchange.tools.pool.addSign(now, this.target.id);
    const events = this._splitter.addBytes(piece);
    this._bound(this._splitter.restLength);
    if (events.length > 0) this._addProgress(now);
    return events;
  }

  /** Bytes of an event that doesn't end are no progress. */
  private _addProgress(now: number): void {
    const pace = this._exchange.tools.pool.getPace(this.target.id);
    if (this._endStream === undefined) this._endStream = pace?.startStream(now);
    else pace?.addEvent(now, now - this.heardAt);
    this.heardAt = now;
  }

  private _bound(restBytes: number): void {
    this._held.setBytes(restBytes);
    if (restBytes > MAX_EVENT_BYTES) breakOffOversized(this._abort, this.target, restBytes);
    this._abort.signal.throwIfAborted();
  }

  private _close(): void {
    this._endStream?.();
    this._held.close();
  }

  private _end(attempt: BegunAttempt): StreamPart {
    const { incoming } = attempt;
    const rest = this._splitter.takeRest();
    const { hasBegun: isAnswering, endsWithConnection } = this._getProgress();
    const canEnd = isFramed(incoming) || endsWithConnection || !isAnswering;
    // Without a length only the end of the connection ends it, and that may come too soon.
    if (!canEnd || (rest.length > 0 && !isFramed(incoming))) {
      throw new LostAnswer({ address: this.target.address, reason: "it ended without saying so" });
    }
    this._close();
    this._exchange.endAttempt(attempt);
    return { incoming, events: rest.length > 0 ? [{ bytes: rest, id: undefined }] : [], isEnd: true };
  }

  private _explain(cause: unknown): AttemptFailure {
    return {
      reason: `its stream broke off: ${explainFailure(cause, this._abort)}`,
      wasNotRun: false,
      wasSent: true,
      answeredAt: this._answeredAt,
      wasBroken: wasBroken(this._abort),
      wasLeft: wasLeft(this._abort),
    };
  }
}
