import { describe, expect, it } from "vitest";
import {
  createMembership,
  getNextMembership,
  getTrimmedMembership,
  getVoterCount,
  getVoters,
  type JoiningContext,
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

/** Takes steps until nothing is left to change: the joiner asks, and the leader trims after each step. */
function join(current: Membership, joiner: Member, facts: JoiningContext): Membership[] {
  const steps: Membership[] = [];
  for (let now = current; ; ) {
    const next = getTrimmedMembership(now, facts) ?? getNextMembership(now, joiner, facts);
    if (next === undefined) return steps;
    steps.push(next);
    now = next;
  }
}

function getVoterIds(membership: Membership | undefined): string[] {
  return getVoters(membership!).map((member) => member.id);
}

describe("getNextMembership", () => {
  it("lets a joiner vote that has caught up, where there is no bound", () => {
    expect(getVoterIds(join(CURRENT, createMember("d"), { isCaughtUp: true }).at(-1))).toEqual([
      "a.0",
      "b.0",
      "c.0",
      "d.0",
    ]);
  });

  it("keeps a joiner as a learner while voters enough are there, or it lags", () => {
    const facts = { isCaughtUp: true, maxVoters: 3, isUnresponsive: () => false };
    expect(getVoterIds(join(CURRENT, createMember("d"), facts).at(-1))).toEqual(["a.0", "b.0", "c.0"]);
    const lagging = { isCaughtUp: false, maxVoters: 3, isUnresponsive: (id: string) => id === "b.0" };
    expect(getVoterIds(join(CURRENT, createMember("d"), lagging).at(-1))).toEqual(["a.0", "b.0", "c.0"]);
  });

  it("gives a joiner the place of a voter that is gone, one member a step", () => {
    const facts = { isCaughtUp: true, maxVoters: 3, isUnresponsive: (id: string) => id === "b.0" };
    const steps = join(CURRENT, createMember("d"), facts);
    expect(steps.map((step) => step.members.length)).toEqual([4, 4, 4]);
    expect(steps.map((step) => getVoters(step).length)).toEqual([3, 4, 3]);
    expect(getVoterIds(steps.at(-1))).toEqual(["a.0", "c.0", "d.0"]);
  });

  it("replaces a namesake with an emptied disk, whatever the bound", () => {
    const steps = join(CURRENT, createMember("b", true, "1"), { isCaughtUp: true, maxVoters: 3 });
    expect(getVoterIds(steps.at(-1))).toEqual(["a.0", "c.0", "b.1"]);
  });

  it("never has fewer voters than before while one takes another's place", () => {
    const facts = { isCaughtUp: true, maxVoters: 3, isUnresponsive: (id: string) => id === "b.0" };
    for (const joiner of [createMember("d"), createMember("b", false, "1")]) {
      const counts = join(CURRENT, joiner, facts).map((step) => getVoters(step).length);
      expect(Math.min(...counts)).toBe(3);
    }
  });

  it("never keeps a voter too many: one that is gone, else the last that joined, gives its vote away", () => {
    const four = join(CURRENT, createMember("d"), { isCaughtUp: true, maxVoters: 4 }).at(-1)!;
    const trim = (leaderId: string, gone = "") =>
      getTrimmedMembership(four, { maxVoters: 3, leaderId, isUnresponsive: (id) => id === gone });
    expect(getVoterIds(trim("a.0", "c.0"))).toEqual(["a.0", "b.0", "d.0"]);
    expect(getVoterIds(trim("a.0"))).toEqual(["a.0", "b.0", "c.0"]);
    expect(getVoterIds(trim("d.0"))).toEqual(["a.0", "b.0", "d.0"]);
  });

  it("keeps a voter that gave its vote away as a learner, until it is forgotten", () => {
    const isUnresponsive = (id: string) => id === "b.0";
    const swapped = join(CURRENT, createMember("d"), { isCaughtUp: true, maxVoters: 3, isUnresponsive }).at(
      -1,
    )!;
    expect(swapped.members.map(({ id, learner }) => [id, learner])).toContainEqual(["b.0", true]);
    const trimmed = getTrimmedMembership(swapped, {
      maxVoters: 3,
      isUnresponsive,
      isExpired: isUnresponsive,
    });
    expect(trimmed?.members.map((member) => member.id)).toEqual(["a.0", "c.0", "d.0"]);
  });

  it("forgets learners that are gone, and no joiner that others ask beside", () => {
    const current = createMembership([...CURRENT.members, createMember("x", true)]);
    const isExpired = (id: string) => id === "x.0";
    const steps = join(current, createMember("d"), { isCaughtUp: false, maxVoters: 3, isExpired });
    expect(steps.at(-1)?.members.map((member) => member.id)).toEqual(["a.0", "b.0", "c.0", "d.0"]);
    const beside = join(current, createMember("d"), {
      isCaughtUp: false,
      maxVoters: 3,
      isUnresponsive: isExpired,
    });
    expect(beside.at(-1)?.members.map((member) => member.id)).toEqual(["a.0", "b.0", "c.0", "x.0", "d.0"]);
  });

  it("wants voters enough that a majority is left after the declared losses", () => {
    expect([0, 1, 2, 3].map(getVoterCount)).toEqual([3, 3, 5, 7]);
    for (const losses of [1, 2, 3, 4]) {
      const voters = getVoterCount(losses);
      expect(voters - losses).toBeGreaterThan(voters / 2);
    }
  });
});
