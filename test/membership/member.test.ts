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

describe("JoinTimeout", () => {
  it("expires at once for a non-voter, and after 2 s without a leader or an election for a voter", () => {
    const timeout = new JoinTimeout();
    expect(timeout.isExpired(0, false, false)).toBe(true);
    expect(timeout.isExpired(0, true, false)).toBe(false);
    expect(timeout.isExpired(2_000, true, false)).toBe(false);
    expect(timeout.isExpired(2_001, true, false)).toBe(true);
    expect(timeout.isExpired(2_100, true, true)).toBe(false);
    expect(timeout.isExpired(2_200, true, false)).toBe(false);
  });
});

describe("joinMembership", () => {
  it("sends join requests to new addresses when those from the start are unreachable", async () => {
    const [unreachable, listen, own] = await getFreeAddresses(3);
    let joinRequests = 0;
    let failures = 0;
    const server = await RpcServer.start({
      listen: listen!,
      interceptors: [],
      routes: (router) => {
        router.service(ConsensusService, {
          join: () => {
            joinRequests += 1;
            return { voting: true };
          },
        });
      },
    });
    let addresses = [unreachable!];
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
    await waitUntil("the join request to the unreachable address fails", () => failures > 0);
    addresses = [listen!];
    await waitUntil("the server receives a join request", () => joinRequests > 0);
    await Effect.runPromise(Fiber.interrupt(fiber));
    await server.stop();
  });
});
