import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { createMembership, type RaftNode } from "../../src/consensus";
import { AppendResponseSchema, ConsensusMessageSchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { createNode, createVoter, deliverAll, takeMessages, waitForPreVote } from "./ElectionHarness";

const VOTERS = ["a", "b", "c"];
const MAX_TIMEOUT_MS = 1_000;
const ABSENCE_MS = 20_000;

/** Lets two of three members elect a leader, which then adds a learner. */
function electAndAddLearner(): { leader: RaftNode; follower: RaftNode; now: number } {
  const [leader, follower] = [createNode("a", VOTERS, 1), createNode("b", VOTERS, 1)];
  const now = waitForPreVote(leader, 0, MAX_TIMEOUT_MS)!;
  deliverAll([leader, follower], now);
  addLearner(leader, now);
  deliverAll([leader, follower], now);
  return { leader, follower, now };
}

function addLearner(leader: RaftNode, now: number): void {
  const learner = { ...createVoter("d"), learner: true };
  leader.addMembership(now, createMembership([...leader.membership.members, learner]));
}

describe("a joining member", () => {
  it("counts as responsive from its addition on", () => {
    const { leader, now } = electAndAddLearner();
    expect(leader.getProgress("d")?.answeredAt).toBe(now);
  });

  it("counts as responsive again when it joins again after its removal", () => {
    const { leader, follower, now } = electAndAddLearner();
    const answer = { case: "appendResponse", value: create(AppendResponseSchema, {}) } as const;
    const message = { from: "d", to: leader.id, term: leader.term, body: answer };
    leader.receive(now, create(ConsensusMessageSchema, message));
    const voters = leader.membership.members.filter(({ learner }) => !learner);
    leader.addMembership(now, createMembership(voters));
    deliverAll([leader, follower], now);
    addLearner(leader, now + ABSENCE_MS);
    takeMessages(leader, now + ABSENCE_MS);
    expect(leader.getProgress("d")?.answeredAt).toBe(now + ABSENCE_MS);
  });
});
