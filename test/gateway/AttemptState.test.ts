import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type AttemptGrant,
  AttemptState,
  countSent,
  countTaken,
  mayHaveRun,
  ONE_ATTEMPT,
} from "../../src/gateway/AttemptState";

type Step = (state: AttemptState) => void;

/** Creates an attempt at an endpoint and records steps in order. */
function create(...steps: readonly Step[]): AttemptState {
  return createGranted(ONE_ATTEMPT, ...steps);
}

/** Creates an attempt at another entry and records steps in order. */
function createGranted(grant: AttemptGrant, ...steps: readonly Step[]): AttemptState {
  const state = new AttemptState(grant);
  for (const step of steps) step(state);
  return state;
}

const sent = (state: AttemptState) => state.setSent();
const answered = (count: number) => (state: AttemptState) => state.setAnswered(count);
const refused = (count: number) => (state: AttemptState) => state.setAnswered(count, true);
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

  const TWO = { attempts: 2, mayResume: false };
  const RESUMABLE = { attempts: 2, mayResume: true };

  // Guards against attempts that are granted twice while another entry may still use them.
  it.each([
    ["an endpoint that is being connected to", create(), 1],
    ["an endpoint that was not reached", create(over(true)), 0],
    ["an endpoint", create(sent, over(false)), 1],
    ["an entry that is being connected to", createGranted(TWO), 2],
    ["an entry that was not reached", createGranted(TWO, over(true)), 0],
    ["an entry that has not answered", createGranted(TWO, sent), 2],
    ["an entry that broke off before it answered", createGranted(TWO, sent, over(false)), 2],
    ["an entry that answered after one attempt", createGranted(TWO, sent, answered(1)), 1],
    ["an entry that reached no endpoint", createGranted(TWO, sent, refused(0), over(true)), 0],
    ["an entry that may resume its stream", createGranted(RESUMABLE, sent, answered(1)), 2],
    ["an entry that broke its stream off", createGranted(RESUMABLE, sent, answered(1), over(false)), 2],
    ["an entry that refused a stream", createGranted(RESUMABLE, sent, refused(1), over(true)), 1],
  ])("takes the attempts that may have been used at %s", (_name, state, takenCount) => {
    expect(state.takenCount).toBe(takenCount);
    expect(countTaken([state, state])).toBe(2 * takenCount);
  });

  it("tells whether another entry may repeat the request", () => {
    expect(createGranted(TWO, sent).mayBeRepeated).toBe(true);
    expect(createGranted({ ...TWO, attempts: 1 }, sent).mayBeRepeated).toBe(false);
    expect(createGranted(RESUMABLE, sent, answered(1)).mayBeRepeated).toBe(true);
    expect(createGranted(RESUMABLE, sent, answered(2)).mayBeRepeated).toBe(false);
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
