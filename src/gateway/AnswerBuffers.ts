/**
 * Limits the bytes that a process buffers for all answers together, until their callers have taken them.
 *
 * Answers share the budget with the bodies of requests. When answers exceed their limit, or all together the
 * budget, the largest answer is abandoned. An endpoint that sends data without end therefore costs no other
 * caller its answer. Pure.
 */

import type { MemoryBudget } from "../server";
import { bufferCollection } from "../server";
import { BufferedAnswer, type BufferTotal } from "./BufferedAnswer";

/** The part of the memory budget that answers use. */
export type AnswerBudget = Pick<MemoryBudget, "maxBytes" | "isExceeded" | "addAnswerBytes">;

/** Fraction of the budget that answers may take. */
const ANSWER_SHARE = 0.5;

/** Buffered bytes of all answers of a process. */
export class AnswerBuffers implements BufferTotal {
  private readonly _budget: AnswerBudget;
  private readonly _answers = new Set<BufferedAnswer>();
  private _bytes = 0;

  /** @param budget - Budget of the process. */
  constructor(budget: AnswerBudget) {
    this._budget = budget;
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
    if (bytes > 0) bufferCollection.addReceived(bytes);
    this._bytes += bytes;
    this._budget.addAnswerBytes(bytes);
  }

  /** @internal */
  remove(answer: BufferedAnswer): void {
    this._answers.delete(answer);
  }

  /** @internal Abandons the largest answers until the total is within the limit. */
  enforceLimit(): void {
    while (this._isExceeded) this._getLargest().abandon();
  }

  private get _isExceeded(): boolean {
    if (this._bytes === 0) return false;
    return this._budget.isExceeded || this._bytes > this._budget.maxBytes * ANSWER_SHARE;
  }

  private _getLargest(): BufferedAnswer {
    return [...this._answers].reduce((largest, answer) => (answer.bytes > largest.bytes ? answer : largest));
  }
}
