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

/** Duration of the fake's probes. Neither instance reports during a probe. */
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
        askStatus: () => Promise.resolve(undefined),
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

  it("repeats the probe of an unresponsive member without delay until its last report is old enough to suspect it", async () => {
    outcomes = ["silent", "silent", "silent"];
    controller.checkReplica(replica.id);
    await waitUntil("the member is suspected", () => events.includes("instance_doubted f1"));
    expect(events).toEqual(["instance_doubted f1"]);
    expect(outcomes.length).toBe(0);
  });

  it("does not suspect a member that answers the second probe", async () => {
    outcomes = ["silent", "present", "silent"];
    controller.checkReplica(replica.id);
    await waitUntil("both probes have ended", () => outcomes.length === 1);
    expect(events).toEqual([]);
  });

  it("does not suspect a member without a report in this term after one unanswered probe", async () => {
    registry = new InstanceRegistry();
    controller = createController();
    outcomes = ["silent", "present", "silent"];
    controller.checkReplica(replica.id);
    await waitUntil("both probes have ended", () => outcomes.length === 1);
    expect(events).toEqual([]);
  });
});
