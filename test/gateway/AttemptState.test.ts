import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { AttemptState, countSent, mayHaveRun } from "../../src/gateway/AttemptState";

/** Creates an attempt and records steps in order. */
function create(...steps: readonly ((state: AttemptState) => void)[]): AttemptState {
  const state = new AttemptState();
  for (const step of steps) step(state);
  return state;
}

const sent = (state: AttemptState) => state.setSent();
const answered = (count: number) => (state: AttemptState) => state.setAnswered(count);
const over = (isKnownNotRun: boolean) => (state: AttemptState) => state.end(isKnownNotRun);

describe("AttemptState", () => {
  it.each([
    ["not sent", create(), "notSent", 0, false],
    ["over before it was sent", create(over(true)), "over", 0, false],
    ["sent without an answer yet", create(sent), "sent", 1, true],
    ["sent and answered", create(sent, answered(1)), "answered", 1, true],
    ["sent and answered by an entry after two attempts", create(sent, answered(2)), "answered", 2, true],
    ["refused as not run", create(sent, answered(1), over(true)), "over", 1, false],
    ["refused by an entry that sent it nowhere", create(sent, answered(0), over(true)), "over", 0, false],
    ["broken off before an answer", create(sent, over(false)), "over", 1, true],
    [
      "broken off by an entry that told of no attempt",
      create(sent, answered(0), over(false)),
      "over",
      0,
      true,
    ],
    ["completed", create(sent, answered(1), over(false)), "over", 1, true],
  ] as const)("of an attempt that is %s", (_name, state, phase, sentCount, mayRun) => {
    expect([state.phase, state.sentCount, state.mayHaveRun]).toEqual([phase, sentCount, mayRun]);
  });

  it("never takes a request for not run while any attempt may have run it, in any order of attempts", () => {
    const outcome = fc.constantFrom<"notSent" | "running" | "notRun" | "lost">(
      "notSent",
      "running",
      "notRun",
      "lost",
    );
    fc.assert(
      fc.property(fc.array(outcome, { maxLength: 6 }), (outcomes) => {
        const states = outcomes.map((name) => {
          if (name === "notSent") return create();
          return name === "running" ? create(sent) : create(sent, over(name === "notRun"));
        });
        expect(mayHaveRun(states)).toBe(outcomes.some((name) => name === "running" || name === "lost"));
        expect(countSent(states)).toBe(outcomes.filter((name) => name !== "notSent").length);
      }),
    );
  });
});
