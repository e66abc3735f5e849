/** One attempt at an answer that is one body: its only part is the whole of it. */
import type { IncomingMessage } from "node:http";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import {
  type BegunAttempt,
  breakOffOversized,
  explainFailure,
  hasBegun,
  leaveAttempt,
  wasBroken,
  wasLeft,
} from "./Attempt";
import type { AnswerSource } from "./AttemptRace";
import { checkAnswer } from "./checkAnswer";
import type { Exchange } from "./Exchange";
import { isFramed } from "./headers";
import { mayRepeat } from "./timeouts";

/** A whole answer. */
export interface WholeAnswer {
  readonly status: number;
  /** As received, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether the endpoint said where it ends; else only the end of its connection did. */
  readonly isFramed: boolean;
}

/** Larger answers are not held. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
const SERVER_ERROR = 500;

/** Reads one attempt's answer. */
export class PlainSource implements AnswerSource<WholeAnswer> {
  readonly target: Target;
  heardAt: number;
  private readonly _exchange: Exchange;
  private readonly _onFailure: (answer: WholeAnswer) => void;
  private readonly _abort = new AbortController();

  /**
   * @param onFailure - Called with an endpoint's own failure, where another attempt may come to more.
   */
  constructor(exchange: Exchange, target: Target, onFailure: (answer: WholeAnswer) => void) {
    this.target = target;
    this.heardAt = exchange.getNow();
    this._exchange = exchange;
    this._onFailure = onFailure;
  }

  /** Gets the whole answer. */
  async next(): Promise<WholeAnswer | undefined> {
    const exchange = this._exchange;
    const { call } = exchange.request;
    const attempt = await exchange.send(this.target, call.lastEventId, this._abort);
    if (!hasBegun(attempt)) return undefined;
    const failure = checkAnswer(exchange, attempt.incoming);
    if (failure !== undefined) {
      exchange.failAttempt(attempt, failure);
      return undefined;
    }
    const answer = await this._readWhole(attempt);
    if (answer === undefined || !this._isWorthRepeating(answer)) return answer;
    this._onFailure(answer);
    return undefined;
  }

  /** Ends it, for another attempt that went on. */
  leave(reason: string): void {
    leaveAttempt(this._abort, this.target, reason);
  }

  private async _readWhole(attempt: BegunAttempt): Promise<WholeAnswer | undefined> {
    const { incoming } = attempt;
    try {
      const body = await this._readBody(incoming);
      this._exchange.endAttempt(attempt);
      return {
        status: incoming.statusCode ?? 0,
        headers: incoming.rawHeaders,
        body,
        isFramed: isFramed(incoming),
      };
    } catch (cause) {
      this._exchange.failAttempt(attempt, {
        reason: `its answer broke off: ${explainFailure(cause, this._abort)}`,
        wasNotRun: false,
        wasSent: true,
        wasBroken: wasBroken(this._abort),
        wasLeft: wasLeft(this._abort),
      });
      return undefined;
    }
  }

  private async _readBody(incoming: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    const giveUp = (bytes: number) => breakOffOversized(this._abort, this.target, bytes);
    const held = this._exchange.tools.held.open(giveUp);
    try {
      for await (const chunk of incoming as AsyncIterable<Buffer>) {
        this.heardAt = this._exchange.getNow();
        chunks.push(chunk);
        held.setBytes(held.bytes + chunk.length);
        if (held.bytes > MAX_ANSWER_BYTES) giveUp(held.bytes);
        this._abort.signal.throwIfAborted();
      }
      return Buffer.concat(chunks);
    } finally {
      held.close();
    }
  }

  private _isWorthRepeating(answer: WholeAnswer): boolean {
    return answer.status >= SERVER_ERROR && mayRepeat(this._exchange.request.route);
  }
}
