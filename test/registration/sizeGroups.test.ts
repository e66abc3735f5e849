import { describe, expect, it } from "vitest";
import type { DeclaredModel } from "../../src/declaration";
import { sizeGroups } from "../../src/registration/sizeGroups";

function createModel(name: string, instancesPerReplica: number, share: number): DeclaredModel {
  return { name, instancesPerReplica, share, pace: 1, loadMs: 16_000, warmMs: 1_600 };
}

function size(
  models: readonly DeclaredModel[],
  domains: readonly number[],
  reserve = 0,
  presentModels: ReadonlyMap<string, string> = new Map(),
) {
  const sizing = sizeGroups({
    engine: { slots: 18, models, loadsPerSecond: 4, concurrentLoads: 6 },
    instancesByDomain: new Map(domains.map((count, i) => [`d${i}`, count])),
    reserve,
    presentModels,
    servingByModel: new Map(),
    warmModels: new Set(),
  });
  const counts = Object.fromEntries(sizing.groups.map((group) => [group.model, group.replicas]));
  return { counts, modelByDomain: sizing.modelByDomain };
}

describe("sizeGroups", () => {
  it("assigns one model to each fabric domain, in proportion to the work", () => {
    const { counts, modelByDomain } = size(
      [createModel("a", 4, 0.57), createModel("b", 3, 0.43)],
      [9, 9, 9, 9, 9, 9],
    );
    expect(counts).toEqual({ a: 6, b: 9 });
    expect([...modelByDomain.values()].sort()).toEqual(["a", "a", "a", "b", "b", "b"]);
  });

  it("keeps the model of a domain that has one, and distributes the other domains", () => {
    const models = [createModel("a", 4, 0.57), createModel("b", 3, 0.43)];
    const present = new Map([
      ["d0", "b"],
      ["d1", "b"],
    ]);
    const { modelByDomain } = size(models, [9, 9, 9, 9], 0, present);
    expect(Object.fromEntries(modelByDomain)).toEqual({ d0: "b", d1: "b", d2: "a", d3: "a" });
  });

  it("mixes models if there are too few domains, and gives each model a replica", () => {
    expect(size([createModel("a", 4, 0.57), createModel("b", 3, 0.43)], [9]).counts).toEqual({ a: 1, b: 1 });
    const skewed = size([createModel("a", 2, 0.95), createModel("b", 2, 0.05)], [8, 8]);
    expect(skewed.modelByDomain.size).toBe(0);
    expect(skewed.counts.a).toBeGreaterThan(skewed.counts.b!);
  });

  it("keeps a reserve in every domain, and forms no replica if there are too few instances", () => {
    expect(size([createModel("a", 4, 1)], [9, 9], 2).counts).toEqual({ a: 2 });
    expect(size([createModel("a", 16, 1)], [9, 9]).counts).toEqual({ a: 0 });
    expect(size([createModel("a", 4, 1)], []).counts).toEqual({ a: 0 });
  });
});
