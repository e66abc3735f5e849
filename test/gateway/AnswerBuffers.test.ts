import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type AnswerBudget, AnswerBuffers } from "../../src/gateway/AnswerBuffers";

const MAX_BYTES = 100;
/** A budget of which answers may take `MAX_BYTES`, and which nothing else uses. */
const BUDGET: AnswerBudget = { maxBytes: 2 * MAX_BYTES, isExceeded: false, addAnswerBytes: () => {} };

describe("AnswerBuffers", () => {
  it("abandons the largest answer, not the one that exceeded the limit", () => {
    const buffers = new AnswerBuffers(BUDGET);
    const ended: string[] = [];
    const endless = buffers.open((bytes) => ended.push(`endless ${bytes}`));
    const small = buffers.open((bytes) => ended.push(`small ${bytes}`));
    endless.setBytes(90);
    small.setBytes(20);
    expect(ended).toEqual(["endless 90"]);
    expect(buffers.bytes).toBe(20);
    small.close();
    expect(buffers.bytes).toBe(0);
  });

  it("keeps the total within the limit for any sequence of changes", () => {
    const step = fc.record({
      answer: fc.nat(4),
      bytes: fc.option(fc.nat(2 * MAX_BYTES), { nil: undefined }),
    });
    const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const buffers = new AnswerBuffers(BUDGET);
      const open = () => buffers.open(() => {});
      const answers = Array.from({ length: 5 }, open);
      for (const { answer, bytes } of steps) {
        if (bytes === undefined) {
          answers[answer]!.close();
          answers[answer] = open();
        } else if (answers[answer]!.isOpen) answers[answer]!.setBytes(bytes);
        const sum = answers.reduce((total, { bytes: each }) => total + each, 0);
        expect(buffers.bytes).toBe(sum);
        expect(sum).toBeLessThanOrEqual(MAX_BYTES);
      }
    });
    fc.assert(property, { seed: 20_261_204 });
  });

  it("counts no bytes of an abandoned answer, even when more of it arrives", () => {
    const buffers = new AnswerBuffers(BUDGET);
    const answer = buffers.open(() => {});
    answer.setBytes(MAX_BYTES + 1);
    answer.setBytes(MAX_BYTES);
    expect(buffers.bytes).toBe(0);
    expect(answer.isOpen).toBe(false);
  });
});
