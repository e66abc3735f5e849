import { describe, expect, it } from "vitest";
import {
  createMembership,
  getRepairedMembership,
  getVoterCount,
  getVoters,
  JoinQueue,
  type MembershipContext,
} from "../../src/consensus";
import type { Member, Membership } from "../../src/gen/ploverstage/v1/consensus_pb";

function createMember(name: string, learner = false, incarnation = "0"): Member {
  return {
    $typeName: "ploverstage.v1.Member",
    id: `${name}.${incarnation}`,
    name,
    address: `${name}:1`,
    learner,
    failureDomain: "",
  };
}

const CURRENT = createMembership(["a", "b", "c"].map((name) => createMember(name)));

/** Limits and member states that decide on a join. */
interface JoiningContext extends MembershipContext {
  /** Whether the joining member has nearly the whole log and responds. */
  readonly isCaughtUp: boolean;
}

/** Applies the membership changes that follow from a join request until none is left. */
function applyJoin(current: Membership, joiningMember: Member, context: JoiningContext): Membership[] {
  const steps: Membership[] = [];
  const joins = new JoinQueue();
  joins.add(0, joiningMember);
  const isReady = (id: string) => id === joiningMember.id && context.isCaughtUp;
  for (let now = current; ; ) {
    const next = joins.getNextMembership(0, now) ?? getRepairedMembership(now, { ...context, isReady });
    if (next === undefined) return steps;
    steps.push(next);
    now = next;
  }
}

function getVoterIds(membership: Membership | undefined): string[] {
  return getVoters(membership!).map((member) => member.id);
}

describe("getRepairedMembership", () => {
  it("makes a joining member a voter once it has caught up, if voters are unlimited", () => {
    expect(getVoterIds(applyJoin(CURRENT, createMember("d"), { isCaughtUp: true }).at(-1))).toEqual([
      "a.0",
      "b.0",
      "c.0",
      "d.0",
    ]);
  });

  it("keeps a joining member as a learner while there are enough voters or it lags", () => {
    const context = { isCaughtUp: true, maxVoters: 3, isUnresponsive: () => false };
    expect(getVoterIds(applyJoin(CURRENT, createMember("d"), context).at(-1))).toEqual(["a.0", "b.0", "c.0"]);
    const lagging = { isCaughtUp: false, maxVoters: 3, isUnresponsive: (id: string) => id === "b.0" };
    expect(getVoterIds(applyJoin(CURRENT, createMember("d"), lagging).at(-1))).toEqual(["a.0", "b.0", "c.0"]);
  });

  it("replaces a failed voter by a joining member, changing one member per step", () => {
    const context = { isCaughtUp: true, maxVoters: 3, isUnresponsive: (id: string) => id === "b.0" };
    const steps = applyJoin(CURRENT, createMember("d"), context);
    expect(steps.map((step) => step.members.length)).toEqual([4, 4, 4]);
    expect(steps.map((step) => getVoters(step).length)).toEqual([3, 4, 3]);
    expect(getVoterIds(steps.at(-1))).toEqual(["a.0", "c.0", "d.0"]);
  });

  it("replaces a member that joins again with an empty disk, despite the voter limit", () => {
    const steps = applyJoin(CURRENT, createMember("b", true, "1"), { isCaughtUp: true, maxVoters: 3 });
    expect(getVoterIds(steps.at(-1))).toEqual(["a.0", "c.0", "b.1"]);
  });

  it("never reduces the number of voters during a replacement", () => {
    const context = { isCaughtUp: true, maxVoters: 3, isUnresponsive: (id: string) => id === "b.0" };
    for (const joiningMember of [createMember("d"), createMember("b", false, "1")]) {
      const counts = applyJoin(CURRENT, joiningMember, context).map((step) => getVoters(step).length);
      expect(Math.min(...counts)).toBe(3);
    }
  });

  it("makes a surplus voter a learner: a failed one, or else the last that joined", () => {
    const four = applyJoin(CURRENT, createMember("d"), { isCaughtUp: true, maxVoters: 4 }).at(-1)!;
    const trim = (leaderId: string, failedId = "") =>
      getRepairedMembership(four, { maxVoters: 3, leaderId, isUnresponsive: (id) => id === failedId });
    expect(getVoterIds(trim("a.0", "c.0"))).toEqual(["a.0", "b.0", "d.0"]);
    expect(getVoterIds(trim("a.0"))).toEqual(["a.0", "b.0", "c.0"]);
    expect(getVoterIds(trim("d.0"))).toEqual(["a.0", "b.0", "d.0"]);
  });

  it("keeps a replaced voter as a learner until it expires", () => {
    const isUnresponsive = (id: string) => id === "b.0";
    const swapped = applyJoin(CURRENT, createMember("d"), {
      isCaughtUp: true,
      maxVoters: 3,
      isUnresponsive,
    }).at(-1)!;
    expect(swapped.members.map(({ id, learner }) => [id, learner])).toContainEqual(["b.0", true]);
    const trimmed = getRepairedMembership(swapped, {
      maxVoters: 3,
      isUnresponsive,
      isExpired: isUnresponsive,
    });
    expect(trimmed?.members.map((member) => member.id)).toEqual(["a.0", "c.0", "d.0"]);
  });

  it("removes expired learners, but no learners that join concurrently", () => {
    const current = createMembership([...CURRENT.members, createMember("x", true)]);
    const isExpired = (id: string) => id === "x.0";
    const steps = applyJoin(current, createMember("d"), { isCaughtUp: false, maxVoters: 3, isExpired });
    expect(steps.at(-1)?.members.map((member) => member.id)).toEqual(["a.0", "b.0", "c.0", "d.0"]);
    const concurrent = applyJoin(current, createMember("d"), {
      isCaughtUp: false,
      maxVoters: 3,
      isUnresponsive: isExpired,
    });
    expect(concurrent.at(-1)?.members.map((member) => member.id)).toEqual([
      "a.0",
      "b.0",
      "c.0",
      "x.0",
      "d.0",
    ]);
  });

  it("makes a ready learner a voter without a further request, first one that replaces a voter of its name", () => {
    const learners = [createMember("x", true), createMember("b", true, "1")];
    const current = createMembership([...CURRENT.members, ...learners]);
    const isUnresponsive = (id: string) => id === "b.0" || id === "c.0";
    const repair = (isReady: (id: string) => boolean) =>
      getVoterIds(getRepairedMembership(current, { maxVoters: 3, isUnresponsive, isReady }) ?? current);
    expect(repair(() => true)).toEqual(["a.0", "b.0", "c.0", "b.1"]);
    expect(repair((id) => id === "x.0")).toEqual(["a.0", "b.0", "c.0", "x.0"]);
    expect(repair(() => false)).toEqual(["a.0", "b.0", "c.0"]);
  });

  it("keeps a ready learner as a learner while all voters respond", () => {
    const current = createMembership([...CURRENT.members, createMember("x", true)]);
    const context = { maxVoters: 3, isUnresponsive: () => false, isReady: () => true };
    expect(getRepairedMembership(current, context)).toBeUndefined();
  });

  it("computes enough voters to retain a majority after the declared losses", () => {
    expect([0, 1, 2, 3].map(getVoterCount)).toEqual([3, 3, 5, 7]);
    for (const losses of [1, 2, 3, 4]) {
      const voters = getVoterCount(losses);
      expect(voters - losses).toBeGreaterThan(voters / 2);
    }
  });
});
