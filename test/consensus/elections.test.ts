import { describe, expect, it } from "vitest";
import { DEFAULT_TIMING } from "../../src/consensus";
import { createNode, exchange, takeMessages, waitForQuestion } from "./ElectionHarness";

const VOTERS = ["a", "b", "c"];
/** No member waits longer before it first asks. */
const FIRST_MS = DEFAULT_TIMING.electionMaxMs;

describe("an election of two of three members", () => {
  it("is not held up by a member that missed the last term", () => {
    const [a, b] = [createNode("a", VOTERS, 3), createNode("b", VOTERS, 2)];
    const now = waitForQuestion(a, 0, FIRST_MS)!;
    exchange([a, b], now);
    expect(a.isEstablished()).toBe(true);
  });

  it("is not held up where the one that asks missed the last term", () => {
    const [a, b] = [createNode("a", VOTERS, 2), createNode("b", VOTERS, 3)];
    const now = waitForQuestion(a, 0, FIRST_MS)!;
    exchange([a, b], now);
    expect(a.isEstablished()).toBe(true);
  });

  it("is not held up by a member whose own question was lost", () => {
    const [a, b] = [createNode("a", VOTERS, 1), createNode("b", VOTERS, 1)];
    const askedAt = waitForQuestion(a, 0, FIRST_MS)!;
    takeMessages(a, askedAt);
    const now = waitForQuestion(b, askedAt + FIRST_MS + 1, FIRST_MS)!;
    exchange([a, b], now);
    expect(b.isEstablished()).toBe(true);
  });

  it("is left to the first by id of two that ask together", () => {
    const [a, b] = [createNode("a", VOTERS, 1), createNode("b", VOTERS, 1)];
    const now = Math.max(waitForQuestion(a, 0, FIRST_MS)!, waitForQuestion(b, 0, FIRST_MS)!);
    exchange([a, b], now);
    expect([a.isEstablished(), b.isEstablished()]).toEqual([true, false]);
  });
});
