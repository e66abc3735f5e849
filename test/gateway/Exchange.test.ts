import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/consensus";
import type { CrashMonitor } from "../../src/gateway/CrashMonitor";
import { EntryLinks, type EntryLinksOptions } from "../../src/gateway/EntryLinks";
import { Exchange, type ExchangeDependencies } from "../../src/gateway/Exchange";
import type { ExchangeRequest } from "../../src/gateway/ExchangeRequest";
import { TargetPool } from "../../src/gateway/TargetPool";
import { type Target, TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { createBody } from "./createBody";

const TIMEOUT_MS = 1_000;
const IDLE_MS = 300;

/** Creates an exchange over two targets, with an unlimited retry budget. */
function createExchange(kind: "repeatable" | "notRepeatable"): { exchange: Exchange; idle: Target } {
  const targets = ["t0", "t1"].map((id) => create(TargetSchema, { id, service: "service", slots: 1 }));
  const pool = new TargetPool(new SeededRandom(1));
  pool.setTargets(targets);
  const request = {
    call: { requestId: "r", model: "" },
    route: { kind, maxAttempts: 2 },
    service: "service",
    deadlineAt: TIMEOUT_MS,
    body: createBody(),
  } as ExchangeRequest;
  const crashMonitor: Partial<CrashMonitor> = { isBlocked: () => false, addWithdrawal: async () => {} };
  const dependencies = {
    clock: { getMonotonicMs: () => 0, getWallMs: () => 0 },
    pool,
    destinations: new EntryLinks({ pool, random: new SeededRandom(1) } as unknown as EntryLinksOptions)
      .destinations,
    crashMonitor,
    takeRetry: () => true,
    onSuspicion: () => {},
  } as unknown as ExchangeDependencies;
  return { exchange: new Exchange(request, dependencies), idle: targets[0]! };
}

describe("Exchange", () => {
  it("hedges only a repeatable request", () => {
    const { exchange, idle } = createExchange("repeatable");
    expect(exchange.takeHedgeTarget(idle, IDLE_MS)).toBeDefined();
    const once = createExchange("notRepeatable");
    expect(once.exchange.takeHedgeTarget(once.idle, IDLE_MS)).toBeUndefined();
  });

  it("does not hedge a request that was cancelled or withdrawn", () => {
    const cancelled = createExchange("repeatable");
    cancelled.exchange.cancel();
    expect(cancelled.exchange.takeHedgeTarget(cancelled.idle, IDLE_MS)).toBeUndefined();
    const withdrawn = createExchange("repeatable");
    withdrawn.exchange.withdraw();
    expect(withdrawn.exchange.takeHedgeTarget(withdrawn.idle, IDLE_MS)).toBeUndefined();
  });
});
