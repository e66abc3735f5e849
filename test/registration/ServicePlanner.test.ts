import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import type { ConsensusDriver } from "../../src/consensus";
import type { DeclaredService } from "../../src/declaration";
import { InstanceReportSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { HeartbeatMonitor } from "../../src/registration/HeartbeatMonitor";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { ReplicaController } from "../../src/registration/ReplicaController";
import { divideReplicas, getEngineServices } from "../../src/registration/ServicePlanner";
import { createInstances, createReplica } from "../support/planning";

function createService(name: string, model: string): DeclaredService {
  const models = [{ name: model, instancesPerReplica: 2, share: 1, pace: 1, loadMs: 16_000, warmMs: 1_000 }];
  return { name, engine: { slots: 4, models, loadsPerSecond: 4, concurrentLoads: 6 } } as never;
}

const SERVICES = [createService("s", "M"), { name: "plain" } as never, createService("t", "N")];

describe("divideReplicas", () => {
  it("assigns replicas to services by model, and those of undeclared models to the first service", () => {
    const engines = getEngineServices(SERVICES);
    const [m, n, old] = ["M", "N", "gone"].map((model, i) => ({
      ...createReplica(i + 1, createInstances(2)).replica,
      model,
    }));
    const divided = divideReplicas(engines, [m!, n!, old!]);
    expect(divided.get("s")).toEqual([m, old]);
    expect(divided.get("t")).toEqual([n]);
    expect(divideReplicas([], [m!]).size).toBe(0);
  });
});

describe("ReplicaController", () => {
  it("forms replicas for every service that has engines", async () => {
    const registry = new InstanceRegistry();
    const formed: string[] = [];
    const driver = {
      node: { term: 1 },
      machine: { getReplicas: () => [], hasDeparted: () => false },
      propose: (body: { value: { model: string } }) => {
        formed.push(body.value.model);
        return Promise.resolve(undefined);
      },
    };
    for (const service of ["s", "t"]) {
      for (const i of [0, 1, 2]) {
        const instanceId = `${service}${i}`;
        const address = `${instanceId}:1`;
        const report = { instanceId, sequence: 1, service, address, fabricDomain: "d" };
        registry.addReport(0, create(InstanceReportSchema, report));
      }
    }
    const controller = new ReplicaController({
      driver: driver as unknown as ConsensusDriver,
      registry,
      hearing: new HeartbeatMonitor(0),
      orders: {
        send: () => Promise.resolve("done"),
        probe: () => Promise.resolve("present"),
        identify: () => Promise.resolve("itself"),
        askStatus: () => Promise.resolve(undefined),
      },
      clock: { getMonotonicMs: () => 100, getWallMs: () => 100 },
      logger: { info: () => {} } as never,
      metrics: { increment: () => {} } as never,
      lag: { getWorstMs: () => 0 } as never,
      isFirstStart: true,
      getTimes: () => ({
        presenceMs: 3_000,
        reserve: 0,
        loadWindowMs: 5_000,
        loadOverrun: 1,
        drainMs: 0,
        stallMs: 0,
      }),
      getRoutes: () => ({ declaration: { services: SERVICES } }) as never,
    });
    await controller.step();
    expect(formed).toEqual(["M", "N"]);
  });
});
