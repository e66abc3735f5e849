import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { createMembership, DEFAULT_TIMING, type RaftNode } from "../../src/consensus";
import { AppendResponseSchema, ConsensusMessageSchema } from "../../src/gen/ploverstage/v1/consensus_pb";
import { createNode, createVoter, deliverAll, takeMessages, waitForPreVote } from "./ElectionHarness";

const VOTERS = ["a", "b", "c"];
const MAX_TIMEOUT_MS = 1_000;
const ABSENCE_MS = 20_000;
const TICK_MS = 20;
const OBSERVED_MS = 2_000;

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

  // Guards against heartbeats to learners that take the leader's time from reads and orders.
  it("gets every second heartbeat, and new entries at once", () => {
    const { leader, follower, now } = electAndAddLearner();
    const count = (to: string, at: number) =>
      takeMessages(leader, at).filter((message) => message.to === to && message.body.case === "appendRequest")
        .length;
    const answer = {
      case: "appendResponse",
      value: create(AppendResponseSchema, { accepted: true }),
    } as const;
    let heartbeats = 0;
    for (let at = now + TICK_MS; at <= now + OBSERVED_MS; at += TICK_MS) {
      for (const id of [follower.id, "d"]) {
        const value = { ...answer.value, matchIndex: leader.log.lastIndex };
        const message = { from: id, to: leader.id, term: leader.term, body: { ...answer, value } };
        leader.receive(at, create(ConsensusMessageSchema, message));
      }
      leader.tick(at);
      heartbeats += count("d", at);
    }
    expect(heartbeats).toBeGreaterThan(0);
    expect(heartbeats).toBeLessThanOrEqual(OBSERVED_MS / (2 * DEFAULT_TIMING.heartbeatMs) + 1);
    leader.addCommand(now + OBSERVED_MS, new Uint8Array([1]));
    expect(count("d", now + OBSERVED_MS)).toBe(1);
  });
});
