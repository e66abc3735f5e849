import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import {
  DeclarationSchema,
  ReplicaMemberSchema,
  ReplicaPhase,
  ReplicaSchema,
} from "../../src/gen/ploverstage/v1/state_pb";
import { getIncarnationKey, type Incarnation, parseIncarnationKey } from "../../src/ids";
import { CommittedFacts, type CommittedState } from "../../src/registration/CommittedFacts";

const START_TIME = 1_700_000_000_000;

/** Creates a committed state with one replica in each phase and the given departed incarnations. */
function createFacts(departed: readonly Incarnation[]): CommittedFacts {
  const departedKeys = new Set(departed.map(getIncarnationKey));
  const state: CommittedState = {
    getDeclaration: () => create(DeclarationSchema, { version: 7 }),
    getReplica: (id) => {
      const phase = ReplicaPhase[id as keyof typeof ReplicaPhase];
      if (phase === undefined) return undefined;
      const member = create(ReplicaMemberSchema, { instanceId: `${id}-head`, born: START_TIME });
      return create(ReplicaSchema, { id, phase, members: [member] });
    },
    getKnownReplicas: () => [],
    getDepartures: () => [...departed],
    hasDeparted: (incarnation) => departedKeys.has(getIncarnationKey(incarnation)),
  };
  return new CommittedFacts(() => state);
}

describe("CommittedFacts", () => {
  it("ends a replica that is retiring or has lost a member, and no other replica", () => {
    const createTarget = (id: string) => create(TargetSchema, { id, model: "m", instanceId: `${id}-head` });
    const facts = createFacts([]);
    expect(facts.declaration?.version).toBe(7);
    for (const id of ["RETIRING", "RELEASED"]) expect(facts.hasEnded(createTarget(id))).toBe(true);
    for (const id of ["SERVING", "not-applied-yet"]) expect(facts.hasEnded(createTarget(id))).toBe(false);
    const factsAfterDeparture = createFacts([{ instanceId: "SERVING-head", born: START_TIME }]);
    expect(factsAfterDeparture.hasEnded(createTarget("SERVING"))).toBe(true);
  });

  it("ends the departed incarnation of a plain service's instance, but not its successor under the same id", () => {
    const facts = createFacts([{ instanceId: "app@1", born: START_TIME }]);
    const hasEnded = (born: number) => {
      const id = getIncarnationKey({ instanceId: "app@1", born });
      return facts.hasEnded(create(TargetSchema, { id, instanceId: "app@1" }));
    };
    expect(hasEnded(START_TIME)).toBe(true);
    expect(hasEnded(START_TIME + 1)).toBe(false);
    expect(hasEnded(0)).toBe(false);
  });

  it("parses the incarnation from a target's id", () => {
    for (const born of [0, 1, START_TIME]) {
      const incarnation = { instanceId: "a@b", born };
      expect(parseIncarnationKey("a@b", getIncarnationKey(incarnation))).toEqual(incarnation);
    }
  });
});
