/** Runs a request whose answer is one body: taken in whole before any of it goes out. */
import type { IncomingMessage } from "node:http";
import { type AttemptFailure, type BegunAttempt, type Exchange, hasBegun, wasBroken } from "./Exchange";
import { isFramed } from "./headers";
import { getAnswerPatienceMs, mayRepeat } from "./patience";

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

/** Runs a request until an answer may be passed on. */
export class PlainExchange {
  private readonly _exchange: Exchange;

  /**
   * @param exchange - The request and its attempts.
   */
  constructor(exchange: Exchange) {
    this._exchange = exchange;
  }

  /**
   * Runs the request.
   * @throws GatewayRefusal
   */
  async run(): Promise<WholeAnswer> {
    let fallback: WholeAnswer | undefined;
    for (;;) {
      const result = await this._attempt();
      if (result !== undefined && "body" in result && !this._isWorthRepeating(result)) return result;
      if (result !== undefined && "body" in result) fallback = result;
      if (!(await this._exchange.takeNextAttempt())) break;
    }
    // An endpoint's own failure is passed on as it stands where no other attempt came to more.
    if (fallback !== undefined) return fallback;
    throw this._exchange.createRefusal();
  }

  private async _attempt(): Promise<WholeAnswer | undefined> {
    const exchange = this._exchange;
    const target = exchange.chooseTarget();
    if (target === undefined) return undefined;
    const { call, route } = exchange.request;
    const attempt = await exchange.send(target, call.lastEventId, () => getAnswerPatienceMs(route));
    if (!hasBegun(attempt)) return undefined;
    const failure = this._check(attempt);
    if (failure !== undefined) {
      exchange.failAttempt(attempt, failure);
      return undefined;
    }
    return this._readWhole(attempt);
  }

  private _check({ incoming }: BegunAttempt): AttemptFailure | undefined {
    const { tools, request } = this._exchange;
    const status = incoming.statusCode ?? 0;
    const facts = tools.dialect.readAnswer(request.call, { status, headers: incoming.headers });
    if (!facts.isOwn) return { reason: "it answered another request", wasNotRun: false, wasSent: true };
    if (facts.wasNotRun) return { reason: `it refused with ${status}`, wasNotRun: true, wasSent: true };
    if (facts.isGenuine) return undefined;
    return { reason: `its ${status} bears no mark of an endpoint`, wasNotRun: false, wasSent: true };
  }

  private async _readWhole(attempt: BegunAttempt): Promise<WholeAnswer | undefined> {
    const { incoming } = attempt;
    try {
      const body = await readBody(incoming);
      this._exchange.endAttempt(attempt);
      return {
        status: incoming.statusCode ?? 0,
        headers: incoming.rawHeaders,
        body,
        isFramed: isFramed(incoming),
      };
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      this._exchange.failAttempt(attempt, {
        reason: `its answer broke off: ${reason}`,
        wasNotRun: false,
        wasSent: true,
        wasBroken: wasBroken(attempt.abort),
      });
      return undefined;
    }
  }

  private _isWorthRepeating(answer: WholeAnswer): boolean {
    return answer.status >= SERVER_ERROR && mayRepeat(this._exchange.request.route);
  }
}

async function readBody(incoming: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAX_ANSWER_BYTES) throw new RangeError(`it is longer than ${MAX_ANSWER_BYTES} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
