import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { createMembership, type RaftNode } from "../../src/consensus";
import { AppendResponseSchema, ConsensusMessageSchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { createNode, createVoter, exchange, takeMessages, waitForQuestion } from "./ElectionHarness";

const VOTERS = ["a", "b", "c"];
const FIRST_MS = 1_000;
const LONG_MS = 20_000;

/** Lets two of three members elect a leader, and a learner in. */
function letIn(): { leader: RaftNode; follower: RaftNode; now: number } {
  const [leader, follower] = [createNode("a", VOTERS, 1), createNode("b", VOTERS, 1)];
  const now = waitForQuestion(leader, 0, FIRST_MS)!;
  exchange([leader, follower], now);
  addLearner(leader, now);
  exchange([leader, follower], now);
  return { leader, follower, now };
}

function addLearner(leader: RaftNode, now: number): void {
  const learner = { ...createVoter("d"), learner: true };
  leader.addMembership(now, createMembership([...leader.membership.members, learner]));
}

describe("a joiner", () => {
  it("is not silent before it could answer", () => {
    const { leader, now } = letIn();
    expect(leader.getProgress("d")?.answeredAt).toBe(now);
  });

  it("that returns after it was removed is not silent from before", () => {
    const { leader, follower, now } = letIn();
    const answer = { case: "appendResponse", value: create(AppendResponseSchema, {}) } as const;
    const message = { from: "d", to: leader.id, term: leader.term, body: answer };
    leader.receive(now, create(ConsensusMessageSchema, message));
    const voters = leader.membership.members.filter(({ learner }) => !learner);
    leader.addMembership(now, createMembership(voters));
    exchange([leader, follower], now);
    addLearner(leader, now + LONG_MS);
    takeMessages(leader, now + LONG_MS);
    expect(leader.getProgress("d")?.answeredAt).toBe(now + LONG_MS);
  });
});
