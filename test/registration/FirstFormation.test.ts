import { describe, expect, it } from "vitest";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { FirstFormation } from "../../src/registration/FirstFormation";
import { createFacts, createInstances, createReplica } from "../support/planning";

const forming = createReplica(1, createInstances(2), { phase: ReplicaPhase.FORMING }).replica;
const serving = createReplica(1, createInstances(2)).replica;
const retiring = createReplica(1, createInstances(2), { phase: ReplicaPhase.RETIRING }).replica;
const loading = createInstances(1, { isLoading: true });

describe("FirstFormation", () => {
  it("is under way from the first start until nothing loads any more, and never again", () => {
    const formation = new FirstFormation(true);
    formation.update(createFacts({}));
    expect(formation.isUnderWay).toBe(true);
    formation.update(createFacts({ replicas: [forming], instances: loading }));
    formation.update(createFacts({ replicas: [serving], instances: loading }));
    expect(formation.isUnderWay).toBe(true);
    formation.update(createFacts({ replicas: [serving] }));
    expect(formation.isUnderWay).toBe(false);
    formation.update(createFacts({ replicas: [serving], instances: loading }));
    expect(formation.isUnderWay).toBe(false);
  });

  it("is over once a replica is given up", () => {
    const formation = new FirstFormation(true);
    formation.update(createFacts({ replicas: [forming], instances: loading }));
    formation.update(createFacts({ replicas: [retiring], instances: loading }));
    expect(formation.isUnderWay).toBe(false);
  });

  it("is over for a leader that found replicas serving, and for a process that was restarted", () => {
    const formation = new FirstFormation(true);
    formation.update(createFacts({ replicas: [serving], instances: loading }));
    expect(formation.isUnderWay).toBe(false);
    expect(new FirstFormation(false).isUnderWay).toBe(false);
  });
});
