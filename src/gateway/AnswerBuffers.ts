/**
 * Limits the bytes that a process buffers for all incomplete answers together.
 *
 * When the total exceeds the limit, the largest answer is abandoned. An endpoint that sends data without end
 * therefore costs no other caller its answer. Pure.
 */
import { BufferedAnswer, type BufferTotal } from "./BufferedAnswer";

/** Buffered bytes of all answers of a process. */
export class AnswerBuffers implements BufferTotal {
  private readonly _maxBytes: number;
  private readonly _answers = new Set<BufferedAnswer>();
  private _bytes = 0;

  /** @param maxBytes - Limit on the total. */
  constructor(maxBytes: number) {
    this._maxBytes = maxBytes;
  }

  /** Gets the total number of buffered bytes. */
  get bytes(): number {
    return this._bytes;
  }

  /**
   * Starts to count an answer.
   * @param onAbandoned - Called when the answer is abandoned, with the number of bytes that were buffered for it.
   */
  open(onAbandoned: (bytes: number) => void): BufferedAnswer {
    const answer = new BufferedAnswer(this, onAbandoned);
    this._answers.add(answer);
    return answer;
  }

  /** @internal */
  add(bytes: number): void {
    this._bytes += bytes;
  }

  /** @internal */
  remove(answer: BufferedAnswer): void {
    this._answers.delete(answer);
  }

  /** @internal Abandons the largest answers until the total is within the limit. */
  enforceLimit(): void {
    while (this._bytes > this._maxBytes) this._getLargest().abandon();
  }

  private _getLargest(): BufferedAnswer {
    return [...this._answers].reduce((largest, answer) => (answer.bytes > largest.bytes ? answer : largest));
  }
}
