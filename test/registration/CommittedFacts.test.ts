import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import {
  DeclarationSchema,
  ReplicaMemberSchema,
  ReplicaPhase,
  ReplicaSchema,
} from "../../src/gen/ploverstage/v1/state_pb";
import { getLifeKey, type Life, parseLifeKey } from "../../src/ids";
import { type AgreedState, CommittedFacts } from "../../src/registration/CommittedFacts";

const BORN = 1_700_000_000_000;

/** An agreed state of one replica a phase, in which some lives have left. */
function createFacts(departed: readonly Life[]): CommittedFacts {
  const gone = new Set(departed.map(getLifeKey));
  const state: AgreedState = {
    getDeclaration: () => create(DeclarationSchema, { version: 7 }),
    getReplica: (id) => {
      const phase = ReplicaPhase[id as keyof typeof ReplicaPhase];
      if (phase === undefined) return undefined;
      const member = create(ReplicaMemberSchema, { instanceId: `${id}-head`, born: BORN });
      return create(ReplicaSchema, { id, phase, members: [member] });
    },
    getKnownReplicas: () => [],
    getDepartures: () => [...departed],
    hasDeparted: (life) => gone.has(getLifeKey(life)),
  };
  return new CommittedFacts(() => state);
}

describe("AgreedFacts", () => {
  it("ends replicas that retire or that a member has left, and no other", () => {
    const createTarget = (id: string) => create(TargetSchema, { id, model: "m", instanceId: `${id}-head` });
    const facts = createFacts([]);
    expect(facts.declaration?.version).toBe(7);
    for (const id of ["RETIRING", "RELEASED"]) expect(facts.hasEnded(createTarget(id))).toBe(true);
    for (const id of ["SERVING", "not-applied-yet"]) expect(facts.hasEnded(createTarget(id))).toBe(false);
    const left = createFacts([{ instanceId: "SERVING-head", born: BORN }]);
    expect(left.hasEnded(createTarget("SERVING"))).toBe(true);
  });

  it("ends a plain service's instance with the life that left, not with the one that follows under its id", () => {
    const facts = createFacts([{ instanceId: "app@1", born: BORN }]);
    const hasEnded = (born: number) => {
      const id = getLifeKey({ instanceId: "app@1", born });
      return facts.hasEnded(create(TargetSchema, { id, instanceId: "app@1" }));
    };
    expect(hasEnded(BORN)).toBe(true);
    expect(hasEnded(BORN + 1)).toBe(false);
    expect(hasEnded(0)).toBe(false);
  });

  it("reads the life that a target's id names", () => {
    for (const born of [0, 1, BORN]) {
      const life = { instanceId: "a@b", born };
      expect(parseLifeKey("a@b", getLifeKey(life))).toEqual(life);
    }
  });
});
