/**
 * Runs a request whose answer is a single body, which is buffered completely before any of it is passed on.
 */
import { createRace } from "./createRace";
import type { Exchange } from "./Exchange";
import { type CompleteAnswer, PlainSource } from "./PlainSource";
import { getAnswerTimeoutMs } from "./timeouts";

/** Runs a request until an answer may be passed on. */
export class PlainExchange {
  private readonly _exchange: Exchange;
  /** Server error answered by an endpoint; passed on unchanged when no other attempt succeeds. */
  private _serverError: CompleteAnswer | undefined;

  /** @param exchange - The request and its attempts. */
  constructor(exchange: Exchange) {
    this._exchange = exchange;
  }

  /**
   * Runs the request.
   * @throws GatewayRefusal - When no attempt produced an answer.
   */
  async run(): Promise<CompleteAnswer> {
    const exchange = this._exchange;
    const race = createRace(exchange, {
      open: (target) =>
        new PlainSource(exchange, target, (answer) => {
          this._serverError = answer;
        }),
      getIdleTimeoutMs: () => getAnswerTimeoutMs(exchange.request.route),
    });
    try {
      const answer = (await race.next()) ?? this._serverError;
      if (answer === undefined) throw exchange.createRefusal();
      return answer;
    } finally {
      race.close();
    }
  }
}
