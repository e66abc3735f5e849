/**
 * Runs a request whose answer is a stream of events.
 *
 * Whole events are passed on as they arrive. Where the route allows it, a stream whose
 * endpoint breaks off or stands still goes on at another one after the last event that
 * was passed on, within the one answer.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AttemptRace } from "./AttemptRace";
import { createRace } from "./createRace";
import { endWithConnection } from "./delimitByClose";
import type { StreamEvent } from "./EventSplitter";
import type { Exchange } from "./Exchange";
import { getEndToEndHeaders, isFramed } from "./headers";
import type { GatePass } from "./StreamGate";
import { type StreamPart, type StreamProgress, StreamSource } from "./StreamSource";
import { getAnswerPatienceMs, getGapPatienceMs } from "./timeouts";

/** What a stream came to. */
export interface StreamResult {
  /** Whether the caller got the answer whole. */
  readonly isWhole: boolean;
  readonly firstEventMs: number | undefined;
  readonly longestGapMs: number;
  readonly events: number;
}

/** Runs one stream. */
export class StreamExchange {
  private readonly _exchange: Exchange;
  private readonly _response: ServerResponse;
  private _lastEventId: string | undefined;
  private _firstEventMs: number | undefined;
  private _eventAt: number | undefined;
  private _longestGapMs = 0;
  private _events = 0;
  /** Whether the caller's answer ends with its connection, as the endpoint's did. */
  private _endsWithConnection = false;
  private _pass: GatePass | undefined;

  /**
   * @param exchange - The request and its attempts.
   * @param response - Where the events go.
   */
  constructor(exchange: Exchange, response: ServerResponse) {
    this._exchange = exchange;
    this._response = response;
    this._lastEventId = exchange.request.call.lastEventId;
  }

  /** Gets what the stream has come to so far. */
  getResult(isWhole: boolean): StreamResult {
    return {
      isWhole,
      firstEventMs: this._firstEventMs,
      longestGapMs: Math.round(this._longestGapMs),
      events: this._events,
    };
  }

  /**
   * Runs the request.
   * @throws GatewayRefusal - When nothing of an answer has gone out.
   */
  async run(): Promise<StreamResult> {
    this._pass = await this._exchange.enterGate();
    if (this._pass === undefined) throw this._exchange.createOverload();
    try {
      return await this._runAttempts();
    } finally {
      this._pass.end();
    }
  }

  private async _runAttempts(): Promise<StreamResult> {
    const exchange = this._exchange;
    const race: AttemptRace<StreamPart> = createRace(exchange, {
      open: (target) => new StreamSource(exchange, target, () => this._getProgress(race)),
      getPatienceMs: () => this._getPatienceMs(),
    });
    try {
      for (let part = await race.next(); part !== undefined; part = await race.next()) {
        for (const event of part.events) await this._passOn(part.incoming, event);
        if (part.isEnd) return await this._endWhole(part.incoming);
      }
    } finally {
      race.close();
    }
    if (!this._response.headersSent) throw exchange.createRefusal();
    // Without its last chunk the answer is visibly not whole.
    this._response.destroy();
    return this.getResult(false);
  }

  private _getProgress({ hasRival }: AttemptRace<StreamPart>): StreamProgress {
    return {
      lastEventId: this._lastEventId,
      hasBegun: this._response.headersSent,
      endsWithConnection: this._endsWithConnection,
      hasRival,
    };
  }

  private _getPatienceMs(): number {
    const { route } = this._exchange.request;
    return this._events === 0 ? getAnswerPatienceMs(route) : getGapPatienceMs(route);
  }

  private async _endWhole(incoming: IncomingMessage): Promise<StreamResult> {
    this._writeHead(incoming);
    await new Promise<void>((resolve) => this._response.end(resolve));
    return this.getResult(true);
  }

  private async _passOn(incoming: IncomingMessage, { bytes, id }: StreamEvent): Promise<void> {
    this._writeHead(incoming);
    this._noteEvent();
    if (id !== undefined) this._lastEventId = id;
    const response = this._response;
    if (response.write(bytes) || response.destroyed) return;
    await new Promise<void>((resolve) => {
      response.once("drain", resolve);
      response.once("close", resolve);
    });
  }

  private _writeHead(incoming: IncomingMessage): void {
    if (this._response.headersSent) return;
    if (!isFramed(incoming)) {
      endWithConnection(this._response);
      this._endsWithConnection = true;
    }
    this._response.writeHead(incoming.statusCode ?? 0, getStreamHeaders(incoming));
  }

  private _noteEvent(): void {
    const now = this._exchange.getNow();
    this._events += 1;
    if (this._eventAt === undefined) this._noteFirstEvent(now);
    else this._longestGapMs = Math.max(this._longestGapMs, now - this._eventAt);
    this._eventAt = now;
  }

  /** An endpoint that failed before says nothing of how long others let a request wait. */
  private _noteFirstEvent(now: number): void {
    this._firstEventMs = Math.round(now - this._exchange.request.receivedAt);
    if (this._exchange.failures.length === 0) this._pass?.addFirstEvent();
    else this._pass?.end();
  }
}

/** A stream may be longer or shorter than its first endpoint meant, so its length is not passed on. */
function getStreamHeaders(incoming: IncomingMessage): string[] {
  const headers = getEndToEndHeaders(incoming.rawHeaders);
  const kept: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() !== "content-length") kept.push(headers[i]!, headers[i + 1]!);
  }
  return kept;
}
