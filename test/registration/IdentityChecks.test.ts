import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { InstanceReportSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import type { Identity, OrderReceiver } from "../../src/registration";
import { IdentityChecks } from "../../src/registration/IdentityChecks";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { createIncarnation } from "../support/createIncarnation";

const SERVICE = "llm";
const ENGINE_SERVICES = new Set([SERVICE]);
const ADDRESS = "10.0.0.1:80";
/** Longer than the interval between two queries. */
const STEP_MS = 1_000;

describe("IdentityChecks", () => {
  let now: number;
  let queried: OrderReceiver[];
  /** Id of the instance that runs at the address; `undefined` when nothing answers there. */
  let running: string | undefined;
  /** Members of replicas in the committed state. */
  let members: OrderReceiver[];
  let registry: InstanceRegistry;
  let checks: IdentityChecks;
  let answeredStartTime: number | undefined;

  beforeEach(() => {
    now = 10_000;
    queried = [];
    running = undefined;
    answeredStartTime = undefined;
    members = [];
    registry = new InstanceRegistry();
    checks = new IdentityChecks({
      registry,
      orders: {
        identify: (receiver) => answer(receiver),
        askStatus: async () =>
          answeredStartTime === undefined
            ? undefined
            : { born: answeredStartTime, place: undefined, orderCount: undefined },
      },
      clock: { getMonotonicMs: () => now, getWallMs: () => now },
      logger: { info: () => {} } as never,
    });
    report("first");
    report("second");
  });

  function answer(receiver: OrderReceiver): Promise<Identity> {
    queried.push(receiver);
    if (running === undefined) return Promise.resolve("unknown");
    return Promise.resolve(running === receiver.instanceId ? "itself" : "another");
  }

  function report(instanceId: string, service = SERVICE, address = ADDRESS): void {
    registry.addReport(now, create(InstanceReportSchema, { instanceId, sequence: 1, service, address }));
  }

  async function check(): Promise<void> {
    now += STEP_MS;
    checks.checkConflicts(now, members, ENGINE_SERVICES);
    await new Promise((resolve) => setImmediate(resolve));
  }

  it("marks the claimant that does not run at the address as ended after one query, whichever claimant is queried", async () => {
    running = "second";
    await check();
    expect(queried).toEqual([{ ...createIncarnation("first"), address: ADDRESS }]);
    expect(registry.hasEnded(createIncarnation("first"))).toBe(true);
    expect(registry.hasEnded(createIncarnation("second"))).toBe(false);
    running = "second";
    report("third");
    await check();
    expect(queried.length).toBe(2);
    expect(registry.hasEnded(createIncarnation("third"))).toBe(true);
    expect(registry.getConflicts()).toEqual([]);
    await check();
    expect(queried.length).toBe(2);
  });

  it("treats a missing answer as no proof, and queries the claimants in turn", async () => {
    await check();
    await check();
    expect(queried.map(({ instanceId }) => instanceId)).toEqual(["first", "second"]);
    expect(
      registry.hasEnded(createIncarnation("first")) || registry.hasEnded(createIncarnation("second")),
    ).toBe(false);
    running = "first";
    await check();
    expect(registry.hasEnded(createIncarnation("second"))).toBe(true);
  });

  it("waits between two queries of an address, and sends one at a time", async () => {
    await check();
    checks.checkConflicts(now + 10, members, ENGINE_SERVICES);
    await new Promise((resolve) => setImmediate(resolve));
    expect(queried.length).toBe(1);
    checks.checkConflicts(now + STEP_MS, members, ENGINE_SERVICES);
    checks.checkConflicts(now + STEP_MS, members, ENGINE_SERVICES);
    expect(queried.length).toBe(2);
  });

  it("sends no query when only one instance claims an address", async () => {
    registry.markEnded(createIncarnation("first"));
    await check();
    expect(queried).toEqual([]);
  });

  it("queries a member that has not reported once another instance reports its address", async () => {
    const address = "10.0.0.2:80";
    members = [{ ...createIncarnation("member"), address }];
    running = "second";
    await check();
    expect(queried.map(({ instanceId }) => instanceId)).toEqual(["first"]);
    report("next", SERVICE, address);
    running = "next";
    await check();
    expect(queried.at(-1)).toEqual({ ...createIncarnation("member"), address });
    expect(registry.hasEnded(createIncarnation("member"))).toBe(true);
    await check();
    expect(queried.length).toBe(2);
  });

  it("queries no instance of a service without engines, since such an instance accepts no orders", async () => {
    const address = "10.0.0.3:80";
    running = "first";
    report("plain", "board", address);
    report("next", "board", address);
    await check();
    expect(queried.map((receiver) => receiver.address)).toEqual([ADDRESS]);
  });
});
