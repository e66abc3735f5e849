/** Runs a request whose answer is one body: taken in whole before any of it goes out. */
import { createRace } from "./createRace";
import type { Exchange } from "./Exchange";
import { PlainSource, type WholeAnswer } from "./PlainSource";
import { getAnswerPatienceMs } from "./timeouts";

/** Runs a request until an answer may be passed on. */
export class PlainExchange {
  private readonly _exchange: Exchange;
  /** An endpoint's own failure: passed on as it stands where no other attempt comes to more. */
  private _failure: WholeAnswer | undefined;

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
    const exchange = this._exchange;
    const race = createRace(exchange, {
      open: (target) =>
        new PlainSource(exchange, target, (failure) => {
          this._failure = failure;
        }),
      getPatienceMs: () => getAnswerPatienceMs(exchange.request.route),
    });
    try {
      const answer = (await race.next()) ?? this._failure;
      if (answer === undefined) throw exchange.createRefusal();
      return answer;
    } finally {
      race.close();
    }
  }
}
