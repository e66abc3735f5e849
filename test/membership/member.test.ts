import { Effect, Fiber } from "effect";
import { describe, expect, it } from "vitest";
import { SystemClock } from "../../src/clock";
import { type ConsensusDriver, createMembership } from "../../src/consensus";
import { ConsensusService, type Member, type Membership } from "../../src/gen/ploverstage/v1/consensus_pb";
import { MemberId } from "../../src/ids";
import { createMember, JoinTimeout, joinMembership } from "../../src/membership/member";
import type { Logger } from "../../src/metrics";
import { RpcServer, TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { waitUntil } from "../support/waitUntil";

/** Longer than a member without a leader waits before it asks to join. */
const OBSERVED_MS = 3_000;

/** Creates the options of a member, which has no leader by default. */
function createOptions(
  member: Member,
  membership: Membership,
  getLeaderContactAt: () => number | undefined = () => undefined,
) {
  const node = { id: member.id, role: "follower", membership, getLeaderContactAt, isElecting: () => false };
  return {
    driver: { node } as unknown as ConsensusDriver,
    member,
    followsHints: true,
    transports: new TransportPool(undefined),
    clock: new SystemClock(),
    logger: { warn: () => {} } as unknown as Logger,
  };
}

describe("JoinTimeout", () => {
  it("expires at once for a process that is no member, and after 2 s without a leader or an election for a member", () => {
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
  async function startServer(listen: string, onJoin: () => void): Promise<RpcServer> {
    return RpcServer.start({
      listen,
      interceptors: [],
      routes: (router) => {
        router.service(ConsensusService, {
          join: () => {
            onJoin();
            return { voting: true };
          },
        });
      },
    });
  }

  it("sends join requests to new addresses when those from the start are unreachable", async () => {
    const [unreachable, listen, own] = await getFreeAddresses(3);
    let joinRequests = 0;
    let failures = 0;
    const server = await startServer(listen!, () => (joinRequests += 1));
    let addresses = [unreachable!];
    const fiber = Effect.runFork(
      joinMembership({
        ...createOptions(createMember("m", MemberId("m.1"), own!, "zone"), createMembership([])),
        getAddresses: () => addresses,
        logger: { warn: () => (failures += 1) } as unknown as Logger,
      }),
    );
    await waitUntil("the join request to the unreachable address fails", () => failures > 0);
    addresses = [listen!];
    await waitUntil("the server receives a join request", () => joinRequests > 0);
    await Effect.runPromise(Fiber.interrupt(fiber));
    await server.stop();
  });

  // Guards against learners that ask to join again and again: the leader answered each of them at any time.
  it("sends no join request for a learner that receives messages of its leader", async () => {
    const [listen, own] = await getFreeAddresses(2);
    let joinRequests = 0;
    const server = await startServer(listen!, () => (joinRequests += 1));
    const learner = { ...createMember("m", MemberId("m.1"), own!, "zone"), learner: true };
    const clock = new SystemClock();
    const run = async (getLeaderContactAt: () => number | undefined) => {
      const options = createOptions(learner, createMembership([learner]), getLeaderContactAt);
      const fiber = Effect.runFork(joinMembership({ ...options, getAddresses: () => [listen!] }));
      await new Promise((resolve) => setTimeout(resolve, OBSERVED_MS));
      await Effect.runPromise(Fiber.interrupt(fiber));
    };
    await run(() => clock.getMonotonicMs());
    expect(joinRequests).toBe(0);
    await run(() => undefined);
    expect(joinRequests).toBeGreaterThan(0);
    await server.stop();
  });
});
