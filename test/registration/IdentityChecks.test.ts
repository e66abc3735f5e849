import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it } from "vitest";
import { InstanceReportSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import type { Identity, OrderReceiver } from "../../src/registration";
import { IdentityChecks } from "../../src/registration/IdentityChecks";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { createLife } from "../support/createLife";

const SERVICE = "llm";
const ENGINE_SERVICES = new Set([SERVICE]);
const ADDRESS = "10.0.0.1:80";
/** Longer than any pause between two questions. */
const LATER_MS = 1_000;

describe("IdentityChecks", () => {
  let now: number;
  let asked: OrderReceiver[];
  /** What runs at the address; `undefined` when nobody answers. */
  let running: string | undefined;
  /** Instances that the agreed state gives places. */
  let members: OrderReceiver[];
  let registry: InstanceRegistry;
  let checks: IdentityChecks;
  let answeredBorn: number | undefined;

  beforeEach(() => {
    now = 10_000;
    asked = [];
    running = undefined;
    answeredBorn = undefined;
    members = [];
    registry = new InstanceRegistry();
    checks = new IdentityChecks({
      registry,
      orders: { identify: (receiver) => answer(receiver), askBorn: () => Promise.resolve(answeredBorn) },
      clock: { getMonotonicMs: () => now, getWallMs: () => now },
      logger: { info: () => {} } as never,
    });
    report("first");
    report("second");
  });

  function answer(receiver: OrderReceiver): Promise<Identity> {
    asked.push(receiver);
    if (running === undefined) return Promise.resolve("unknown");
    return Promise.resolve(running === receiver.instanceId ? "itself" : "another");
  }

  function report(instanceId: string, service = SERVICE, address = ADDRESS): void {
    registry.addReport(now, create(InstanceReportSchema, { instanceId, sequence: 1, service, address }));
  }

  async function check(): Promise<void> {
    now += LATER_MS;
    checks.checkConflicts(now, members, ENGINE_SERVICES);
    await new Promise((resolve) => setImmediate(resolve));
  }

  it("holds for ended whoever is not at the address, by one question, whichever runs there", async () => {
    running = "second";
    await check();
    expect(asked).toEqual([{ ...createLife("first"), address: ADDRESS }]);
    expect(registry.hasEnded(createLife("first"))).toBe(true);
    expect(registry.hasEnded(createLife("second"))).toBe(false);
    running = "second";
    report("third");
    await check();
    expect(asked.length).toBe(2);
    expect(registry.hasEnded(createLife("third"))).toBe(true);
    expect(registry.getConflicts()).toEqual([]);
    await check();
    expect(asked.length).toBe(2);
  });

  it("takes no missing answer for proof, and asks the others in turn", async () => {
    await check();
    await check();
    expect(asked.map(({ instanceId }) => instanceId)).toEqual(["first", "second"]);
    expect(registry.hasEnded(createLife("first")) || registry.hasEnded(createLife("second"))).toBe(false);
    running = "first";
    await check();
    expect(registry.hasEnded(createLife("second"))).toBe(true);
  });

  it("asks no more often than a moment ago, and once at a time", async () => {
    await check();
    checks.checkConflicts(now + 10, members, ENGINE_SERVICES);
    await new Promise((resolve) => setImmediate(resolve));
    expect(asked.length).toBe(1);
    checks.checkConflicts(now + LATER_MS, members, ENGINE_SERVICES);
    checks.checkConflicts(now + LATER_MS, members, ENGINE_SERVICES);
    expect(asked.length).toBe(2);
  });

  it("asks nobody where an address is claimed once", async () => {
    registry.markEnded(createLife("first"));
    await check();
    expect(asked).toEqual([]);
  });

  it("asks for a member that was not heard of, once another one is heard of at its address", async () => {
    const address = "10.0.0.2:80";
    members = [{ ...createLife("member"), address }];
    running = "second";
    await check();
    expect(asked.map(({ instanceId }) => instanceId)).toEqual(["first"]);
    report("next", SERVICE, address);
    running = "next";
    await check();
    expect(asked.at(-1)).toEqual({ ...createLife("member"), address });
    expect(registry.hasEnded(createLife("member"))).toBe(true);
    await check();
    expect(asked.length).toBe(2);
  });

  it("asks no instance of a service without engines: it takes no orders", async () => {
    const address = "10.0.0.3:80";
    running = "first";
    report("plain", "board", address);
    report("next", "board", address);
    await check();
    expect(asked.map((receiver) => receiver.address)).toEqual([ADDRESS]);
  });
});
