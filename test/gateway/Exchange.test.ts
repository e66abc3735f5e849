import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/consensus";
import { Exchange, type ExchangeRequest, type ExchangeTools } from "../../src/gateway/Exchange";
import { TargetPool } from "../../src/gateway/TargetPool";
import { type Target, TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";

const TIMEOUT_MS = 1_000;

/** Creates an exchange over two targets, with an unlimited retry budget. */
function createExchange(kind: "repeatable" | "notRepeatable"): { exchange: Exchange; silent: Target } {
  const targets = ["t0", "t1"].map((id) => create(TargetSchema, { id, service: "service", slots: 1 }));
  const pool = new TargetPool(new SeededRandom(1));
  pool.setTargets(targets);
  const request = {
    call: { requestId: "r", model: "" },
    route: { kind, maxAttempts: 2 },
    service: "service",
    deadlineAt: TIMEOUT_MS,
  } as ExchangeRequest;
  const tools = {
    clock: { getMonotonicMs: () => 0, getWallMs: () => 0 },
    pool,
    crashes: { isKeptAway: () => false, addWithdrawal: async () => {} },
    takeRetry: () => true,
    onSuspicion: () => {},
  } as unknown as ExchangeTools;
  return { exchange: new Exchange(request, tools), silent: targets[0]! };
}

describe("Exchange", () => {
  it("hedges only a repeatable request", () => {
    const { exchange, silent } = createExchange("repeatable");
    expect(exchange.takeTargetBeside(silent)).toBeDefined();
    const once = createExchange("notRepeatable");
    expect(once.exchange.takeTargetBeside(once.silent)).toBeUndefined();
  });

  it("does not hedge a request that was cancelled or withdrawn", () => {
    const left = createExchange("repeatable");
    left.exchange.cancel();
    expect(left.exchange.takeTargetBeside(left.silent)).toBeUndefined();
    const withdrawn = createExchange("repeatable");
    withdrawn.exchange.withdraw();
    expect(withdrawn.exchange.takeTargetBeside(withdrawn.silent)).toBeUndefined();
  });
});
