import { beforeEach, describe, expect, it } from "vitest";
import { createMembership, JoinQueue } from "../../src/consensus";
import type { Membership } from "../../src/gen/ploverstage/v1/consensus_pb";
import { createVoter } from "./ElectionHarness";

const CURRENT = createMembership(["a", "b", "c"].map(createVoter));

describe("JoinQueue", () => {
  let joins: JoinQueue;
  beforeEach(() => {
    joins = new JoinQueue();
  });

  function getLearnerIds(membership: Membership | undefined): string[] {
    return (membership?.members ?? []).filter(({ learner }) => learner).map(({ id }) => id);
  }

  // Guards against processes with new disks that wait for their next request while other changes are pending.
  it("keeps the requests of several processes until each of them is a member", () => {
    joins.add(0, createVoter("d"));
    joins.add(0, createVoter("e"));
    const first = joins.getNextMembership(0, CURRENT);
    expect(getLearnerIds(first)).toEqual(["d"]);
    const second = joins.getNextMembership(1_000, first!);
    expect(getLearnerIds(second)).toEqual(["d", "e"]);
    expect(joins.getNextMembership(1_000, second!)).toBeUndefined();
    expect(joins.getNextMembership(1_000, CURRENT)).toBeUndefined();
  });

  it("drops a request that is not renewed for five seconds, and all of them with the leadership", () => {
    joins.add(0, createVoter("d"));
    joins.add(4_000, createVoter("e"));
    expect(getLearnerIds(joins.getNextMembership(5_001, CURRENT))).toEqual(["e"]);
    joins.clear();
    expect(joins.getNextMembership(5_001, CURRENT)).toBeUndefined();
  });
});
