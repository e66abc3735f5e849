/**
 * What a process holds of answers that are not whole yet, bounded over all of them together.
 *
 * Over the bound the largest one is given up, so that what an endpoint sends without end costs nobody else their answer. Pure.
 */
import { HeldAnswer, type HeldSum } from "./BufferedAnswer";

/** What is held of all answers of a process. */
export class HeldBytes implements HeldSum {
  private readonly _maxBytes: number;
  private readonly _answers = new Set<HeldAnswer>();
  private _bytes = 0;

  /**
   * @param maxBytes - Bound of all of them together.
   */
  constructor(maxBytes: number) {
    this._maxBytes = maxBytes;
  }

  /** Gets how many bytes are held. */
  get bytes(): number {
    return this._bytes;
  }

  /**
   * Begins to hold an answer.
   * @param giveUp - Ends the answer; called with how many bytes of it were held.
   */
  open(giveUp: (bytes: number) => void): HeldAnswer {
    const answer = new HeldAnswer(this, giveUp);
    this._answers.add(answer);
    return answer;
  }

  /** @internal */
  change(bytes: number): void {
    this._bytes += bytes;
  }

  /** @internal */
  remove(answer: HeldAnswer): void {
    this._answers.delete(answer);
  }

  /** @internal Gives answers up until the bound holds. */
  bound(): void {
    while (this._bytes > this._maxBytes) this._getLargest().giveUp();
  }

  private _getLargest(): HeldAnswer {
    return [...this._answers].reduce((largest, answer) => (answer.bytes > largest.bytes ? answer : largest));
  }
}
