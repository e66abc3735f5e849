/**
 * Runs a request whose answer is a stream of events.
 *
 * Complete events are passed on as they arrive, or together to callers that receive no chunks. Where the route allows it, a stream whose endpoint breaks off
 * or stalls is resumed at another endpoint after the last event that was passed on, within the same answer.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { closeAfter } from "../http";
import type { AnsweringAttempt } from "./Attempt";
import type { AttemptRace } from "./AttemptRace";
import { createRace } from "./createRace";
import type { StreamEvent } from "./EventSplitter";
import type { Exchange } from "./Exchange";
import { dropHeaders, FRAMING_HEADERS, getEndToEndHeaders } from "./headers";
import { createRelayAnswerHeaders } from "./relay";
import type { StreamAdmission } from "./StreamGate";
import { createStreamOutput, type StreamOutput } from "./StreamOutput";
import { type StreamPart, type StreamProgress, StreamSource } from "./StreamSource";
import { getAnswerTimeoutMs, getGapTimeoutMs } from "./timeouts";

export interface StreamResult {
  /** Whether the caller received the complete answer. */
  readonly isWhole: boolean;
  readonly firstEventMs: number | undefined;
  readonly longestGapMs: number;
  readonly events: number;
}

/** Runs one stream. */
export class StreamExchange {
  private readonly _exchange: Exchange;
  private readonly _response: ServerResponse;
  private readonly _output: StreamOutput;
  private _lastEventId: string | undefined;
  private _firstEventMs: number | undefined;
  private _lastEventAt: number | undefined;
  private _longestGapMs = 0;
  private _eventCount = 0;
  /** Whether the answer whose head the caller received had neither a length nor chunks at its endpoint. */
  private _startedUnframed = false;
  private _admission: StreamAdmission | undefined;

  /**
   * @param exchange - The request and its attempts.
   * @param response - Answer to which the events are written.
   */
  constructor(exchange: Exchange, response: ServerResponse) {
    this._exchange = exchange;
    this._response = response;
    this._output = createStreamOutput(response, exchange.dependencies.buffers);
    this._lastEventId = exchange.request.call.lastEventId;
  }

  /** Gets the result of the stream so far. */
  getResult(isWhole: boolean): StreamResult {
    return {
      isWhole,
      firstEventMs: this._firstEventMs,
      longestGapMs: Math.round(this._longestGapMs),
      events: this._eventCount,
    };
  }

  /**
   * Runs the request.
   * @throws GatewayRefusal - When no part of an answer was sent and none will be.
   */
  async run(): Promise<StreamResult> {
    this._admission = await this._exchange.enterGate();
    if (this._admission === undefined) throw this._exchange.createOverloadRefusal();
    try {
      return await this._runAttempts();
    } finally {
      this._admission.end();
    }
  }

  private async _runAttempts(): Promise<StreamResult> {
    const exchange = this._exchange;
    const race: AttemptRace<StreamPart> = createRace(exchange, {
      open: (target) => new StreamSource(exchange, target, () => this._getProgress(race)),
      getIdleTimeoutMs: () => this._getIdleTimeoutMs(),
    });
    try {
      for (let part = await race.next(); part !== undefined; part = await race.next()) {
        for (const event of part.events) await this._passOn(part.attempt, event);
        if (part.isEnd) return await this._complete(part.attempt);
      }
    } catch (cause) {
      exchange.cancel();
      throw cause;
    } finally {
      race.close();
    }
    if (!this._output.breakOff()) throw exchange.createRefusal();
    return this.getResult(false);
  }

  private _getProgress({ hasHedge }: AttemptRace<StreamPart>): StreamProgress {
    return {
      lastEventId: this._lastEventId,
      hasSentHead: this._output.hasHead,
      startedUnframed: this._startedUnframed,
      hasHedge,
    };
  }

  private _getIdleTimeoutMs(): number {
    const { route } = this._exchange.request;
    return this._eventCount === 0 ? getAnswerTimeoutMs(route) : getGapTimeoutMs(route);
  }

  private async _complete(attempt: AnsweringAttempt): Promise<StreamResult> {
    this._writeHead(attempt);
    await this._output.end();
    return this.getResult(true);
  }

  private async _passOn(attempt: AnsweringAttempt, { bytes, id }: StreamEvent): Promise<void> {
    this._writeHead(attempt);
    this._addEvent();
    if (id !== undefined) this._lastEventId = id;
    await this._output.write(bytes);
  }

  private _writeHead({ incoming, isFramed }: AnsweringAttempt): void {
    if (this._output.hasHead) return;
    this._startedUnframed = !isFramed;
    const { request, sentCount } = this._exchange;
    // Another entry keeps its connection; it closes the one of its own caller.
    if (!isFramed && !request.isRelayed) closeAfter(this._response);
    const relayHeaders = request.isRelayed ? createRelayAnswerHeaders(sentCount, isFramed) : [];
    const headers = [...getStreamHeaders(incoming), ...relayHeaders];
    this._output.start({ status: incoming.statusCode ?? 0, headers });
  }

  private _addEvent(): void {
    const now = this._exchange.getNow();
    this._eventCount += 1;
    if (this._lastEventAt === undefined) this._addFirstEvent(now);
    else this._longestGapMs = Math.max(this._longestGapMs, now - this._lastEventAt);
    this._lastEventAt = now;
  }

  /**
   * The delay of a first event after a failed attempt shows nothing about the endpoints' queues, so it is not
   * added.
   */
  private _addFirstEvent(now: number): void {
    this._firstEventMs = Math.round(now - this._exchange.request.receivedAt);
    if (this._exchange.failures.length === 0) this._admission?.addFirstEvent();
    else this._admission?.end();
  }
}

/**
 * Gets the headers of a stream. Its length is not passed on, because a resumed stream may differ in length
 * from the first endpoint's.
 */
function getStreamHeaders(incoming: IncomingMessage): string[] {
  return dropHeaders(getEndToEndHeaders(incoming.rawHeaders), FRAMING_HEADERS);
}
