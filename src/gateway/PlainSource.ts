/** One attempt whose answer is a single body; the whole body is its only part. */
import type { IncomingMessage } from "node:http";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import {
  type AnsweringAttempt,
  abandonAttempt,
  abortOversized,
  getFailureReason,
  isAnswering,
  wasAbandoned,
  wasEndedByEndpoint,
} from "./Attempt";
import type { AnswerSource } from "./AttemptRace";
import { checkAnswer } from "./checkAnswer";
import { checkEnd } from "./checkEnd";
import type { Exchange } from "./Exchange";
import { mayRepeat } from "./timeouts";

/** A complete answer. */
export interface CompleteAnswer {
  readonly status: number;
  /** As received, alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /**
   * Whether the endpoint's answer has a length or chunked framing; otherwise only the close of its connection
   * marked its end.
   */
  readonly isFramed: boolean;
}

/** Maximum size of an answer; larger ones are aborted. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
const MIN_SERVER_ERROR_STATUS = 500;

/** Reads the answer of one attempt. */
export class PlainSource implements AnswerSource<CompleteAnswer> {
  readonly target: Target;
  lastActivityAt: number;
  private readonly _exchange: Exchange;
  private readonly _onServerError: (answer: CompleteAnswer) => void;
  private readonly _abort = new AbortController();

  /** @param onServerError - Called with a server error of the endpoint when another attempt may succeed. */
  constructor(exchange: Exchange, target: Target, onServerError: (answer: CompleteAnswer) => void) {
    this.target = target;
    this.lastActivityAt = exchange.getNow();
    this._exchange = exchange;
    this._onServerError = onServerError;
  }

  /** Gets the complete answer; `undefined` when the attempt failed. */
  async next(): Promise<CompleteAnswer | undefined> {
    const exchange = this._exchange;
    const { call } = exchange.request;
    const attempt = await exchange.send(this.target, call.lastEventId, this._abort);
    if (!isAnswering(attempt)) return undefined;
    const failure = checkAnswer(exchange, attempt);
    if (failure !== undefined) {
      exchange.addFailedAttempt(attempt, failure);
      return undefined;
    }
    const answer = await this._readAnswer(attempt);
    if (answer === undefined || !this._isRetryable(answer)) return answer;
    this._onServerError(answer);
    return undefined;
  }

  /** Aborts the attempt because another one produced output. */
  abandon(reason: string): void {
    abandonAttempt(this._abort, this.target, reason);
  }

  private async _readAnswer(attempt: AnsweringAttempt): Promise<CompleteAnswer | undefined> {
    const { incoming } = attempt;
    try {
      const body = await this._readBody(incoming);
      await checkEnd(this._exchange, attempt);
      this._abort.signal.throwIfAborted();
      this._exchange.addSuccessfulAttempt(attempt);
      return {
        status: incoming.statusCode ?? 0,
        headers: incoming.rawHeaders,
        body,
        isFramed: attempt.isFramed,
      };
    } catch (cause) {
      this._exchange.addFailedAttempt(attempt, {
        reason: `answer broke off: ${getFailureReason(cause, this._abort)}`,
        wasNotRun: false,
        wasSent: true,
        wasEndedByEndpoint: wasEndedByEndpoint(this._abort),
        wasAbandoned: wasAbandoned(this._abort),
      });
      return undefined;
    }
  }

  private async _readBody(incoming: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    const abort = (bytes: number) => abortOversized(this._abort, this.target, bytes);
    const buffered = this._exchange.dependencies.buffers.open(abort);
    try {
      for await (const chunk of incoming as AsyncIterable<Buffer>) {
        this.lastActivityAt = this._exchange.getNow();
        chunks.push(chunk);
        buffered.setBytes(buffered.bytes + chunk.length);
        if (buffered.bytes > MAX_ANSWER_BYTES) abort(buffered.bytes);
        this._abort.signal.throwIfAborted();
      }
      return Buffer.concat(chunks);
    } finally {
      buffered.close();
    }
  }

  private _isRetryable(answer: CompleteAnswer): boolean {
    return answer.status >= MIN_SERVER_ERROR_STATUS && mayRepeat(this._exchange.request.route);
  }
}
