import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { DEFAULT_TIMING } from "../../src/consensus";
import { AppendResponseSchema, ConsensusMessageSchema } from "../../src/gen/ploverstage/v1/consensus_pb";
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

describe("a leader that was deposed by a term without a leader", () => {
  /** Campaigns in vain, for as long as patience grows. */
  const VAIN_MS = 10_000;

  it("asks to lead again after the usual time, and is supported by those who heard it last", () => {
    const [a, b] = [createNode("a", VOTERS, 1), createNode("b", VOTERS, 1)];
    let now = 0;
    for (; now < VAIN_MS; now += 20) {
      for (const node of [a, b]) {
        node.tick(now);
        takeMessages(node, now);
      }
    }
    for (; !a.isEstablished() && !b.isEstablished(); now += 20) {
      for (const node of [a, b]) node.tick(now);
      exchange([a, b], now);
    }
    const [leader, follower] = a.isEstablished() ? [a, b] : [b, a];
    const response = { case: "appendResponse", value: create(AppendResponseSchema, {}) } as const;
    const term = leader.term + 1;
    leader.receive(now, create(ConsensusMessageSchema, { from: "c", to: leader.id, term, body: response }));
    expect(leader.role).toBe("follower");
    const askedAt = waitForQuestion(leader, now, FIRST_MS);
    expect(askedAt).toBeDefined();
    exchange([leader, follower], askedAt!);
    expect(leader.isEstablished()).toBe(true);
  });
});
