import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import type { ConsensusDriver } from "../../src/consensus";
import { InstanceReportSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import type { ProbeOutcome } from "../../src/registration";
import { HeartbeatMonitor } from "../../src/registration/HeartbeatMonitor";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { ReplicaController } from "../../src/registration/ReplicaController";
import { createInstances, createReplica } from "../support/planning";
import { waitUntil } from "../support/waitUntil";

/** How long the stand-in's probes take; both are silent for that long. */
const PROBE_MS = 250;

describe("ReplicaController", () => {
  const { replica } = createReplica(1, createInstances(2));
  let now: number;
  let events: string[];
  let outcomes: ProbeOutcome[];
  let registry: InstanceRegistry;
  let controller: ReplicaController;

  beforeEach(() => {
    now = 10_000;
    events = [];
    registry = new InstanceRegistry();
    controller = createController();
    for (const instanceId of ["f0", "f1"]) {
      registry.addReport(
        now,
        create(InstanceReportSchema, { instanceId, sequence: 1, address: `${instanceId}:1` }),
      );
    }
  });

  function createController(): ReplicaController {
    return new ReplicaController({
      driver: { node: { term: 1 }, machine: { getReplica: () => replica } } as unknown as ConsensusDriver,
      registry,
      hearing: new HeartbeatMonitor(now),
      orders: {
        send: () => Promise.resolve("done"),
        identify: () => Promise.resolve("itself"),
        askBorn: () => Promise.resolve(undefined),
        probe: (receiver) => {
          if (receiver.instanceId !== "f1") return Promise.resolve("present");
          now += PROBE_MS;
          return Promise.resolve(outcomes.shift() ?? "present");
        },
      },
      clock: { getMonotonicMs: () => now, getWallMs: () => now },
      logger: {
        info: ({ event, instance }: { event: string; instance: string }) =>
          events.push(`${event} ${instance}`),
      } as never,
      metrics: {} as never,
      lag: { getWorstMs: () => 0 } as never,
      isFirstStart: false,
      getTimes: () => ({}) as never,
      getRoutes: () => undefined,
    });
  }

  it("asks a silent member again at once, until it has been silent for long enough", async () => {
    outcomes = ["silent", "silent", "silent"];
    controller.checkReplica(replica.id);
    await waitUntil("it is doubted", () => events.includes("instance_doubted f1"));
    expect(events).toEqual(["instance_doubted f1"]);
    expect(outcomes.length).toBe(0);
  });

  it("doubts nobody that answers the second time", async () => {
    outcomes = ["silent", "present", "silent"];
    controller.checkReplica(replica.id);
    await waitUntil("both probes are over", () => outcomes.length === 1);
    expect(events).toEqual([]);
  });

  it("doubts nobody that it has not heard in its term after one question without an answer", async () => {
    registry = new InstanceRegistry();
    controller = createController();
    outcomes = ["silent", "present", "silent"];
    controller.checkReplica(replica.id);
    await waitUntil("both probes are over", () => outcomes.length === 1);
    expect(events).toEqual([]);
  });
});
