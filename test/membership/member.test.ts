import { Effect, Fiber } from "effect";
import { describe, expect, it } from "vitest";
import { SystemClock } from "../../src/clock";
import { type ConsensusDriver, createMembership } from "../../src/consensus";
import { ConsensusService } from "../../src/gen/ploverstage/v1/consensus_pb";
import { MemberId } from "../../src/ids";
import { createMember, JoinTimeout, joinMembership } from "../../src/membership/member";
import type { Logger } from "../../src/metrics";
import { RpcServer, TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { waitUntil } from "../support/waitUntil";

describe("VoterPatience", () => {
  it("lets a member that does not vote ask at once, and one that votes after an election's time", () => {
    const patience = new JoinTimeout();
    expect(patience.isExpired(0, false, false)).toBe(true);
    expect(patience.isExpired(0, true, false)).toBe(false);
    expect(patience.isExpired(2_000, true, false)).toBe(false);
    expect(patience.isExpired(2_001, true, false)).toBe(true);
    expect(patience.isExpired(2_100, true, true)).toBe(false);
    expect(patience.isExpired(2_200, true, false)).toBe(false);
  });
});

describe("joinMembership", () => {
  it("asks where others are found now, once those that it was told of at its start are gone", async () => {
    const [gone, listen, own] = await getFreeAddresses(3);
    let asked = 0;
    let failures = 0;
    const server = await RpcServer.start({
      listen: listen!,
      interceptors: [],
      routes: (router) => {
        router.service(ConsensusService, {
          join: () => {
            asked += 1;
            return { voting: true };
          },
        });
      },
    });
    let addresses = [gone!];
    const node = { id: "m.1", membership: createMembership([]), leaderId: "", isElecting: () => false };
    const fiber = Effect.runFork(
      joinMembership({
        driver: { node } as unknown as ConsensusDriver,
        member: createMember("m", MemberId("m.1"), own!, "zone"),
        getAddresses: () => addresses,
        followsHints: true,
        transports: new TransportPool(undefined),
        clock: new SystemClock(),
        logger: { warn: () => (failures += 1) } as unknown as Logger,
      }),
    );
    await waitUntil("nobody answers where it was told to ask", () => failures > 0);
    addresses = [listen!];
    await waitUntil("the member asked", () => asked > 0);
    await Effect.runPromise(Fiber.interrupt(fiber));
    await server.stop();
  });
});
