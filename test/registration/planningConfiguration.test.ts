import { describe, expect, it } from "vitest";
import type { DeclaredModel, EngineProfile } from "../../src/declaration";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import type { InstanceFacts } from "../../src/planner";
import { createPlanningConfiguration } from "../../src/registration/planningConfiguration";
import { createFacts, createInstances, createReplica, NOW } from "../support/planning";

const PRESENCE_MS = 3_000;

function createModel(name: string, instancesPerReplica: number): DeclaredModel {
  return { name, instancesPerReplica, share: 0.5, pace: 1, loadMs: 16_000, warmMs: 1_600 };
}

const ENGINE: EngineProfile = {
  slots: 18,
  models: [createModel("m", 4), createModel("n", 3)],
  loadsPerSecond: 4,
  concurrentLoads: 6,
};

const LOAD_LIMIT = { loads: 22, windowMs: 5_000 };

function getModels(instances: readonly InstanceFacts[], isFirstFormation = false, replicas = {}) {
  const facts = createFacts({ instances, ...replicas });
  const bounds = { presenceMs: PRESENCE_MS, reserve: 0, isFirstFormation, loadLimit: LOAD_LIMIT };
  const { configuration } = createPlanningConfiguration(NOW, ENGINE, facts, bounds);
  return {
    models: Object.fromEntries(configuration.modelByDomain ?? []),
    concurrentLoads: configuration.weightStore.concurrentLoads,
  };
}

describe("createPlanningConfiguration", () => {
  it("keeps the model staged by its instances for a domain that lost all replicas", () => {
    const remaining = createInstances(3, { fabricDomain: "a", model: "m", modelVersion: "1" });
    const unstaged = createInstances(5, { fabricDomain: "a" }).map((instance, i) => ({
      ...instance,
      id: `cold${i}` as InstanceFacts["id"],
    }));
    const other = createInstances(8, { fabricDomain: "b", model: "n", modelVersion: "1" });
    expect(getModels([...remaining, ...unstaged, ...other]).models).toEqual({ a: "m", b: "n" });
    const swapped = [...remaining, ...unstaged].map((instance) =>
      instance.model === "m" ? { ...instance, model: "n" } : instance,
    );
    const reversed = other.map((instance) => ({ ...instance, model: "m" }));
    expect(getModels([...swapped, ...reversed]).models).toEqual({ a: "n", b: "m" });
  });

  it("counts instances that load in advance, but not absent ones or those of retiring replicas", () => {
    const absent = createInstances(5, { fabricDomain: "a", model: "n", answeredAt: NOW - 60_000 });
    const staging = createInstances(1, { fabricDomain: "a", stagingModel: "m", isLoading: true });
    const other = createInstances(3, { fabricDomain: "b", model: "n", modelVersion: "1" });
    const { replica } = createReplica(1, absent, { phase: ReplicaPhase.RETIRING });
    const instances = [...absent, { ...staging[0]!, id: "s" as InstanceFacts["id"] }, ...other];
    expect(getModels(instances, false, { replicas: [replica] }).models).toEqual({ a: "m", b: "n" });
  });

  it("limits loads to those that run at full speed, except in the first formation", () => {
    expect(getModels(createInstances(4)).concurrentLoads).toBe(6);
    expect(getModels(createInstances(4), true).concurrentLoads).toBe(12);
  });
});
