/**
 * Runs a request whose answer is a stream of events.
 *
 * Whole events are passed on as they arrive. Where the route allows it, a stream whose
 * endpoint breaks off or stands still goes on at another one after the last event that
 * was passed on, within the one answer.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { LostAnswer } from "../errors";
import { EventSplitter } from "./EventSplitter";
import {
  type AttemptFailure,
  type BegunAttempt,
  type Exchange,
  explainFailure,
  hasBegun,
  wasBroken,
} from "./Exchange";
import { endWithConnection } from "./endWithConnection";
import { getEndToEndHeaders, isFramed } from "./headers";
import { getAnswerPatienceMs, getGapPatienceMs, mayRepeat } from "./patience";
import type { GatePass } from "./StreamGate";

/** What a stream came to. */
export interface StreamResult {
  /** Whether the caller got the answer whole. */
  readonly isWhole: boolean;
  readonly firstEventMs: number | undefined;
  readonly longestGapMs: number;
  readonly events: number;
}

type RelayEnd = "whole" | "brokeOff";

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
  /** Whether the caller has not taken what it was sent: no silence of the endpoint is seen then. */
  private _isBlocked = false;

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
    do {
      const end = await this._attempt();
      if (end === "whole") return this.getResult(true);
    } while (await this._exchange.takeNextAttempt());
    if (!this._response.headersSent) throw this._exchange.createRefusal();
    // Without its last chunk the answer is visibly not whole.
    this._response.destroy();
    return this.getResult(false);
  }

  private async _attempt(): Promise<RelayEnd> {
    const exchange = this._exchange;
    const target = exchange.chooseTarget();
    if (target === undefined) return "brokeOff";
    const attempt = await exchange.send(target, this._lastEventId, () => this._getPatienceMs());
    if (!hasBegun(attempt)) return "brokeOff";
    const failure = this._check(attempt);
    if (failure !== undefined) {
      exchange.failAttempt(attempt, failure);
      return "brokeOff";
    }
    return this._relay(attempt);
  }

  private _getPatienceMs(): number {
    const { route } = this._exchange.request;
    return this._events === 0 ? getAnswerPatienceMs(route) : getGapPatienceMs(route);
  }

  private _check({ incoming }: BegunAttempt): AttemptFailure | undefined {
    const { tools, request } = this._exchange;
    const status = incoming.statusCode ?? 0;
    const facts = tools.dialect.readAnswer(request.call, { status, headers: incoming.headers });
    if (!facts.isOwn) return { reason: "it answered another request", wasNotRun: false, wasSent: true };
    if (facts.wasNotRun) return { reason: `it refused with ${status}`, wasNotRun: true, wasSent: true };
    if (!facts.isGenuine) {
      return { reason: `its ${status} bears no mark of an endpoint`, wasNotRun: false, wasSent: true };
    }
    // A stream that has begun can't turn into a failure; before that, one may be passed on.
    const isFailure = status >= 300;
    const canRepeat = mayRepeat(request.route) && this._exchange.hasAttemptsLeft();
    if (isFailure && (this._response.headersSent || canRepeat)) {
      return { reason: `it answered ${status}`, wasNotRun: false, wasSent: true };
    }
    return undefined;
  }

  private async _relay(attempt: BegunAttempt): Promise<RelayEnd> {
    const splitter = new EventSplitter();
    let heardAt = attempt.startedAt;
    let answeredAt: number | undefined;
    const pace = this._exchange.tools.pool.getPace(attempt.target.id);
    let endStream: (() => void) | undefined;
    const stopWatch = this._exchange.watchSilence(
      attempt,
      () => this._getPatienceMs(),
      () => (this._isBlocked ? this._exchange.getNow() : heardAt),
    );
    try {
      for await (const chunk of attempt.incoming as AsyncIterable<Buffer>) {
        const now = this._exchange.getNow();
        if (endStream === undefined) endStream = pace?.startStream(now);
        else pace?.addEvent(now, now - heardAt);
        heardAt = now;
        answeredAt ??= now;
        this._exchange.tools.pool.addSign(now, attempt.target.id);
        for (const event of splitter.addBytes(chunk)) await this._passOn(attempt, event.bytes, event.id);
        // The caller may have been slow to take them.
        heardAt = this._exchange.getNow();
      }
      return await this._endWhole(attempt, splitter);
    } catch (cause) {
      this._exchange.failAttempt(attempt, {
        reason: `its stream broke off: ${explainFailure(cause, attempt.abort)}`,
        wasNotRun: false,
        wasSent: true,
        answeredAt,
        wasBroken: wasBroken(attempt.abort),
      });
      return "brokeOff";
    } finally {
      stopWatch();
      endStream?.();
    }
  }

  private async _endWhole(attempt: BegunAttempt, splitter: EventSplitter): Promise<RelayEnd> {
    const rest = splitter.takeRest();
    const canEnd = isFramed(attempt.incoming) || this._endsWithConnection || !this._response.headersSent;
    // Without a length only the end of the connection ends it, and that may come too soon.
    if (!canEnd || (rest.length > 0 && !isFramed(attempt.incoming))) {
      throw new LostAnswer({ address: attempt.target.address, reason: "it ended without saying so" });
    }
    if (rest.length > 0) await this._passOn(attempt, rest, undefined);
    this._writeHead(attempt.incoming);
    this._exchange.endAttempt(attempt);
    await new Promise<void>((resolve) => this._response.end(resolve));
    return "whole";
  }

  private async _passOn(attempt: BegunAttempt, bytes: Buffer, id: string | undefined): Promise<void> {
    this._writeHead(attempt.incoming);
    this._noteEvent();
    if (id !== undefined) this._lastEventId = id;
    const response = this._response;
    if (response.write(bytes) || response.destroyed) return;
    this._isBlocked = true;
    await new Promise<void>((resolve) => {
      response.once("drain", resolve);
      response.once("close", resolve);
    });
    this._isBlocked = false;
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
