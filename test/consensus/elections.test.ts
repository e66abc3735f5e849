import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { DEFAULT_TIMING } from "../../src/consensus";
import { AppendResponseSchema, ConsensusMessageSchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { createNode, deliverAll, takeMessages, waitForPreVote } from "./ElectionHarness";

const VOTERS = ["a", "b", "c"];
/** Longest time until a member first requests pre-votes. */
const MAX_TIMEOUT_MS = DEFAULT_TIMING.electionMaxMs;

describe("an election of two of three members", () => {
  it("succeeds if the other member missed the last term", () => {
    const [a, b] = [createNode("a", VOTERS, 3), createNode("b", VOTERS, 2)];
    const now = waitForPreVote(a, 0, MAX_TIMEOUT_MS)!;
    deliverAll([a, b], now);
    expect(a.isEstablished()).toBe(true);
  });

  it("succeeds if the candidate missed the last term", () => {
    const [a, b] = [createNode("a", VOTERS, 2), createNode("b", VOTERS, 3)];
    const now = waitForPreVote(a, 0, MAX_TIMEOUT_MS)!;
    deliverAll([a, b], now);
    expect(a.isEstablished()).toBe(true);
  });

  it("succeeds if the other member's own pre-vote requests were lost", () => {
    const [a, b] = [createNode("a", VOTERS, 1), createNode("b", VOTERS, 1)];
    const requestedAt = waitForPreVote(a, 0, MAX_TIMEOUT_MS)!;
    takeMessages(a, requestedAt);
    const now = waitForPreVote(b, requestedAt + MAX_TIMEOUT_MS + 1, MAX_TIMEOUT_MS)!;
    deliverAll([a, b], now);
    expect(b.isEstablished()).toBe(true);
  });

  it("is won by the member with the lower id if both request pre-votes together", () => {
    const [a, b] = [createNode("a", VOTERS, 1), createNode("b", VOTERS, 1)];
    const now = Math.max(waitForPreVote(a, 0, MAX_TIMEOUT_MS)!, waitForPreVote(b, 0, MAX_TIMEOUT_MS)!);
    deliverAll([a, b], now);
    expect([a.isEstablished(), b.isEstablished()]).toEqual([true, false]);
  });
});

describe("a leader deposed by a higher term without a leader", () => {
  /** Duration of failed campaigns, enough for the election timeout to reach its maximum. */
  const FAILED_CAMPAIGNS_MS = 10_000;

  it("campaigns again after the base timeout and wins the votes of its followers", () => {
    const [a, b] = [createNode("a", VOTERS, 1), createNode("b", VOTERS, 1)];
    let now = 0;
    for (; now < FAILED_CAMPAIGNS_MS; now += 20) {
      for (const node of [a, b]) {
        node.tick(now);
        takeMessages(node, now);
      }
    }
    for (; !a.isEstablished() && !b.isEstablished(); now += 20) {
      for (const node of [a, b]) node.tick(now);
      deliverAll([a, b], now);
    }
    const [leader, follower] = a.isEstablished() ? [a, b] : [b, a];
    const response = { case: "appendResponse", value: create(AppendResponseSchema, {}) } as const;
    const term = leader.term + 1;
    leader.receive(now, create(ConsensusMessageSchema, { from: "c", to: leader.id, term, body: response }));
    expect(leader.role).toBe("follower");
    const requestedAt = waitForPreVote(leader, now, MAX_TIMEOUT_MS);
    expect(requestedAt).toBeDefined();
    deliverAll([leader, follower], requestedAt!);
    expect(leader.isEstablished()).toBe(true);
  });
});
