import { describe, expect, it } from "vitest";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { FirstFormation } from "../../src/registration/FirstFormation";
import { createFacts, createInstances, createReplica } from "../support/planning";

const forming = createReplica(1, createInstances(2), { phase: ReplicaPhase.FORMING }).replica;
const serving = createReplica(1, createInstances(2)).replica;
const retiring = createReplica(1, createInstances(2), { phase: ReplicaPhase.RETIRING }).replica;
const loading = createInstances(1, { isLoading: true });

describe("FirstFormation", () => {
  it("is in progress from the first start until nothing loads any more, and never again", () => {
    const formation = new FirstFormation(true);
    formation.update(createFacts({}));
    expect(formation.isInProgress).toBe(true);
    formation.update(createFacts({ replicas: [forming], instances: loading }));
    formation.update(createFacts({ replicas: [serving], instances: loading }));
    expect(formation.isInProgress).toBe(true);
    formation.update(createFacts({ replicas: [serving] }));
    expect(formation.isInProgress).toBe(false);
    formation.update(createFacts({ replicas: [serving], instances: loading }));
    expect(formation.isInProgress).toBe(false);
  });

  it("ends once a replica is retired", () => {
    const formation = new FirstFormation(true);
    formation.update(createFacts({ replicas: [forming], instances: loading }));
    formation.update(createFacts({ replicas: [retiring], instances: loading }));
    expect(formation.isInProgress).toBe(false);
  });

  it("has ended for a leader that found serving replicas, and for a restarted process", () => {
    const formation = new FirstFormation(true);
    formation.update(createFacts({ replicas: [serving], instances: loading }));
    expect(formation.isInProgress).toBe(false);
    expect(new FirstFormation(false).isInProgress).toBe(false);
  });
});
