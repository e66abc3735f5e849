import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { InstanceReportSchema, PlaceState, ReplicaPlaceSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { HeartbeatMonitor } from "../../src/registration/HeartbeatMonitor";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { OrderDispatcher } from "../../src/registration/OrderDispatcher";
import { PlanningFactsSource } from "../../src/registration/PlanningFactsSource";
import { PresenceSuspicions } from "../../src/registration/PresenceSuspicions";
import type { StateMachine } from "../../src/state";
import { createIncarnation } from "../support/createIncarnation";
import { createInstances, createReplica } from "../support/planning";

const NOW = 5_000;
const PRESENCE_MS = 3_000;
const SERVICE = "llm";

describe("PlanningFactsSource", () => {
  let registry: InstanceRegistry;
  let dispatcher: OrderDispatcher;
  let source: PlanningFactsSource;
  const { replica } = createReplica(3, createInstances(2), { phase: ReplicaPhase.FORMING });

  beforeEach(() => {
    registry = new InstanceRegistry();
    dispatcher = new OrderDispatcher({
      term: 1,
      orders: {
        send: () => Promise.resolve("begun"),
        probe: () => Promise.resolve("present"),
        identify: () => Promise.resolve("itself"),
        askStatus: () => Promise.resolve(undefined),
      },
      clock: { getMonotonicMs: () => NOW, getWallMs: () => NOW },
      logger: { info: () => {} } as never,
      metrics: { increment: () => {} } as never,
      onEnd: () => {},
      getLoadLimit: () => undefined,
    });
    source = new PlanningFactsSource({
      machine: () => ({ hasDeparted: () => false }) as unknown as StateMachine,
      registry,
      dispatcher,
      suspicions: new PresenceSuspicions(),
      hearing: new HeartbeatMonitor(0),
    });
  });

  function addReport(instanceId: string, staged: string[], state: PlaceState): void {
    const place = create(ReplicaPlaceSchema, { replicaId: replica.id, epoch: replica.epoch, state });
    const init = { instanceId, service: SERVICE, sequence: 1, address: `${instanceId}:1` };
    registry.addReport(NOW, create(InstanceReportSchema, { ...init, stagedModels: staged, place }));
  }

  function getReadsWeights(now = NOW): Record<string, boolean | undefined> {
    const { instances } = source.createFacts(now, SERVICE, [replica], new Set(), PRESENCE_MS);
    return Object.fromEntries(instances.map((instance) => [instance.id, instance.readsWeights]));
  }

  it("counts a joining member as reading weights only if it has not staged the model", () => {
    addReport("f0", [replica.model], PlaceState.JOINING);
    addReport("f1", [], PlaceState.JOINING);
    expect(getReadsWeights()).toEqual({ f0: false, f1: true });
  });

  it("does not count a member that never reported as reading weights", () => {
    expect(getReadsWeights()).toEqual({ f0: false, f1: false });
  });

  it("counts an instance that was just ordered to load, before it reports the load", async () => {
    addReport("f0", [], PlaceState.UNSPECIFIED);
    addReport("f1", [], PlaceState.UNSPECIFIED);
    await dispatcher.sendLoad(
      { ...createIncarnation("f0"), address: "f0:1" },
      { kind: "join", replicaId: replica.id, epoch: replica.epoch, model: replica.model, members: [] },
    );
    expect(getReadsWeights()).toEqual({ f0: true, f1: false });
    expect(getReadsWeights(NOW + 2_000)).toEqual({ f0: false, f1: false });
  });
});
