import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { HeldBytes } from "../../src/gateway/AnswerBuffers";

const MAX_BYTES = 100;

describe("HeldBytes", () => {
  it("gives up the largest answer, not the one that came to the bound", () => {
    const held = new HeldBytes(MAX_BYTES);
    const ended: string[] = [];
    const endless = held.open((bytes) => ended.push(`endless ${bytes}`));
    const small = held.open((bytes) => ended.push(`small ${bytes}`));
    endless.setBytes(90);
    small.setBytes(20);
    expect(ended).toEqual(["endless 90"]);
    expect(held.bytes).toBe(20);
    small.close();
    expect(held.bytes).toBe(0);
  });

  it("holds its bound over all answers, whatever comes and ends when", () => {
    const step = fc.record({
      answer: fc.nat(4),
      bytes: fc.option(fc.nat(2 * MAX_BYTES), { nil: undefined }),
    });
    const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const held = new HeldBytes(MAX_BYTES);
      const open = () => held.open(() => {});
      const answers = Array.from({ length: 5 }, open);
      for (const { answer, bytes } of steps) {
        if (bytes === undefined) {
          answers[answer]!.close();
          answers[answer] = open();
        } else if (answers[answer]!.isOpen) answers[answer]!.setBytes(bytes);
        const sum = answers.reduce((total, { bytes: each }) => total + each, 0);
        expect(held.bytes).toBe(sum);
        expect(sum).toBeLessThanOrEqual(MAX_BYTES);
      }
    });
    fc.assert(property, { seed: 20_261_204 });
  });

  it("counts nothing of an answer that was given up, though more of it comes", () => {
    const held = new HeldBytes(MAX_BYTES);
    const answer = held.open(() => {});
    answer.setBytes(MAX_BYTES + 1);
    answer.setBytes(MAX_BYTES);
    expect(held.bytes).toBe(0);
    expect(answer.isOpen).toBe(false);
  });
});
