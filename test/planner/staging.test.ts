import { describe, expect, it } from "vitest";
import { ImmediateRepair, type InstanceFacts, Planner, type PlanningConfiguration } from "../../src/planner";
import { createFacts, createInstances, createReplica, NOW } from "../support/planning";

const LOADED = { model: "m", modelVersion: "1" };

function createConfiguration(replicas: number): PlanningConfiguration {
  return {
    models: [{ name: "m", version: "1", adapters: [], load: 16_000, acceleratorsPerInstance: 1 }],
    groups: [{ name: "g", model: "m", replicas, minimum: replicas, instancesPerReplica: 4, value: 1 }],
    planning: { reserve: 0, maxWait: 1, flapLosses: 1_000, flapWindow: 1 },
    weightStore: { concurrentLoads: 6 },
    timing: { presenceWindow: 3_000, lease: 0 },
    stagesFirst: true,
  };
}

function plan(instances: readonly InstanceFacts[], replicas = 1, changes = {}) {
  const facts = createFacts({ instances, ...changes });
  return new Planner(new ImmediateRepair(true)).plan(NOW, facts, createConfiguration(replicas));
}

describe("Planner with stagesFirst", () => {
  it("forms a replica from instances that all hold the model", () => {
    const [first, ...rest] = plan([
      ...createInstances(4, LOADED),
      ...createInstances(2, { fabricDomain: "x" }),
    ]);
    expect(first).toMatchObject({ kind: "formReplica" });
    expect(rest.map((action) => action.kind)).not.toContain("formReplica");
  });

  it("forms a replica from instances that all have to load, if none holds the model", () => {
    expect(plan(createInstances(4))[0]).toMatchObject({ kind: "formReplica" });
  });

  it("leaves holders of the model free and loads onto as many spares as are missing for a replica", () => {
    const actions = plan([
      ...createInstances(3, LOADED),
      ...createInstances(2).map((instance, i) => ({ ...instance, id: `c${i}` as InstanceFacts["id"] })),
    ]);
    expect(actions).toEqual([expect.objectContaining({ kind: "warmInstance", model: "m" })]);
  });

  it("starts no further load while the missing instance is loading", () => {
    const loading = createInstances(1, { fabricDomain: "f", isLoading: true, stagingModel: "m" });
    const all = [...createInstances(3, LOADED), ...loading, ...createInstances(2)];
    const instances = all.map((instance, i) => ({ ...instance, id: `i${i}` as InstanceFacts["id"] }));
    expect(plan(instances)).toEqual([]);
  });

  it("retires a replica that lost an instance, even if it cannot be completed", () => {
    const { replica, instances } = createReplica(1, createInstances(4));
    const lost = instances.map((instance, i) =>
      i === 0 ? { ...instance, answeredAt: NOW - 60_000 } : instance,
    );
    expect(plan(lost, 1, { replicas: [replica] })).toEqual([
      expect.objectContaining({ kind: "retireReplica", replica }),
    ]);
  });

  it("lets instances that need no load join while the load limit is used up", () => {
    const { replica } = createReplica(1, createInstances(4), { phase: 1 });
    const members = createInstances(4, LOADED);
    const busy = createInstances(8, { fabricDomain: "x", isLoading: true });
    const actions = plan([...members, ...busy], 1, { replicas: [replica] });
    expect(actions.filter((action) => action.kind === "loadInstance").length).toBe(4);
  });

  it("counts towards the weight store's limit only present instances that are reading weights", () => {
    const gone = createInstances(6, { fabricDomain: "x", isLoading: true, answeredAt: NOW - 60_000 });
    const rejoining = createInstances(6, { fabricDomain: "y", isLoading: true, readsWeights: false });
    const [cold] = createInstances(1, { fabricDomain: "z" });
    const actions = plan(
      [...createInstances(3, { ...LOADED, fabricDomain: "z" }), cold!, ...gone, ...rejoining].map(
        (instance, i) => ({ ...instance, id: `i${i}` as InstanceFacts["id"] }),
      ),
    );
    expect(actions).toEqual([expect.objectContaining({ kind: "warmInstance", model: "m" })]);
    const busy = createInstances(6, { fabricDomain: "x", isLoading: true });
    const none = plan(
      [...createInstances(3, { ...LOADED, fabricDomain: "z" }), cold!, ...busy].map((instance, i) => ({
        ...instance,
        id: `i${i}` as InstanceFacts["id"],
      })),
    );
    expect(none).toEqual([]);
  });
});
