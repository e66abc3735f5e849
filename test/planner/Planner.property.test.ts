import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseConfiguration } from "../../src/configuration";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { type Action, type InstanceFacts, Planner, type PlanningFacts } from "../../src/planner";
import { createConfiguration } from "../support/configuration";
import { createFacts, createInstance, createReplica, NOW } from "../support/planning";

const SIZE = 3;
const CONFIGURATION = parseConfiguration(
  "test",
  createConfiguration({ replicas: 3, size: SIZE, version: "2" }),
);
const SEED = 20_261_202;
const KINDS = [
  "formReplica",
  "loadInstance",
  "releaseReplica",
  "retireReplica",
  "serveReplica",
  "warmInstance",
];

const anyInstance = fc.record({
  fabricDomain: fc.constantFrom("a", "b"),
  isLeaving: fc.constantFrom(false, false, false, true),
  answeredAt: fc.constantFrom(NOW, NOW, NOW, NOW - 700, NOW - 2_000, NOW - 100_000),
  isReady: fc.boolean(),
  isLoading: fc.constantFrom(false, false, false, true),
  model: fc.constantFrom("", "m"),
  modelVersion: fc.constantFrom("1", "2"),
  losses: fc.constantFrom([], [], [NOW - 3, NOW - 2, NOW - 1]),
});

/** Any instances; some of them in replicas of any phase, as the agreed state may have them. */
const anyFacts: fc.Arbitrary<PlanningFacts> = fc
  .record({
    instances: fc.array(anyInstance, { minLength: 1, maxLength: 18 }),
    phases: fc.array(fc.constantFrom(ReplicaPhase.FORMING, ReplicaPhase.SERVING, ReplicaPhase.RETIRING), {
      maxLength: 5,
    }),
    versions: fc.array(fc.constantFrom("1", "2"), { minLength: 5, maxLength: 5 }),
    isClear: fc.boolean(),
    isInForce: fc.boolean(),
    inFlight: fc.nat({ max: 1 }),
    hasJoined: fc.boolean(),
  })
  .map(({ instances, phases, versions, isClear, isInForce, inFlight, hasJoined }) => {
    const all = instances.map((change, i) => createInstance(`i${i}`, change));
    const replicas = phases.flatMap((phase, i) => {
      const members = all.slice(i * SIZE, (i + 1) * SIZE);
      if (members.length < SIZE) return [];
      return [createReplica(i + 1, members, { phase, modelVersion: versions[i]! }).replica];
    });
    const ids = replicas.map((replica) => replica.id);
    return createFacts({
      instances: all.map((instance, i) => ({
        ...instance,
        epoch: hasJoined || i % 2 === 0 ? Math.floor(i / SIZE) + 1 : 0,
      })),
      replicas,
      areOldLeasesExpired: isClear,
      retiredInForce: new Set(isInForce ? ids : []),
      inFlight: new Map(ids.map((id) => [id, inFlight])),
    });
  });

function getHeld(facts: PlanningFacts): Set<string> {
  return new Set(facts.replicas.flatMap((replica) => replica.members.map((member) => member.instanceId)));
}

function isFit(instance: InstanceFacts): boolean {
  const isPresent = NOW - instance.answeredAt <= CONFIGURATION.timing.presenceWindow;
  return isPresent && !instance.isLeaving && !instance.isLoading && instance.losses.length < 3;
}

function checkForming(facts: PlanningFacts, actions: readonly Action[]): void {
  const held = getHeld(facts);
  const taken = actions.flatMap((action) => (action.kind === "formReplica" ? action.members : []));
  expect(new Set(taken).size).toBe(taken.length);
  for (const instance of taken) expect(!held.has(instance.id) && isFit(instance)).toBe(true);
  for (const action of actions) {
    if (action.kind !== "formReplica") continue;
    expect(action.members).toHaveLength(SIZE);
    expect(new Set(action.members.map((member) => member.fabricDomain)).size).toBe(1);
  }
}

function checkOne(facts: PlanningFacts, action: Action): void {
  if (action.kind === "releaseReplica") {
    expect(action.replica.phase).toBe(ReplicaPhase.RETIRING);
    expect(facts.areOldLeasesExpired && facts.retiredInForce.has(action.replica.id)).toBe(true);
    expect(facts.inFlight.get(action.replica.id)).toBe(0);
  }
  if (action.kind === "serveReplica") {
    expect(action.replica.phase).toBe(ReplicaPhase.FORMING);
    for (const member of action.replica.members) {
      const instance = facts.instances.find((candidate) => candidate.id === member.instanceId)!;
      expect(instance).toMatchObject({ epoch: action.replica.epoch, isReady: true, isLeaving: false });
      expect(NOW - instance.answeredAt).toBeLessThanOrEqual(CONFIGURATION.timing.presenceWindow);
    }
  }
  if (action.kind === "warmInstance") expect(getHeld(facts).has(action.instance.id)).toBe(false);
  if (action.kind === "retireReplica") expect(action.replica.phase).not.toBe(ReplicaPhase.RETIRING);
}

describe("Planner on any facts", () => {
  it("takes, serves, frees and warms only what may be, and retires none twice", () => {
    const kinds = new Set<string>();
    const property = fc.property(anyFacts, (facts) => {
      const actions = new Planner().plan(NOW, facts, CONFIGURATION);
      for (const action of actions) {
        kinds.add(action.kind);
        checkOne(facts, action);
      }
      checkForming(facts, actions);
      const retired = actions.flatMap((action) =>
        action.kind === "retireReplica" ? [action.replica.id] : [],
      );
      expect(new Set(retired).size).toBe(retired.length);
    });
    fc.assert(property, { seed: SEED, numRuns: 3_000 });
    // Facts that never lead to a decision would hold anything.
    expect([...kinds].sort()).toEqual(KINDS);
  });

  it("decides the same on the same facts", () => {
    const property = fc.property(anyFacts, (facts) => {
      const [first, second] = [new Planner(), new Planner()].map((each) =>
        each.plan(NOW, facts, CONFIGURATION),
      );
      expect(second).toEqual(first);
    });
    fc.assert(property, { seed: SEED, numRuns: 200 });
  });
});
