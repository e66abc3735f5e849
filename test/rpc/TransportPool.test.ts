import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { pino } from "pino";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConsensusMessageSchema, ConsensusService } from "../../src/gen/ploverstage/v1/consensus_pb";
import { FleetService } from "../../src/gen/ploverstage/v1/fleet_pb";
import { PeerTransport } from "../../src/membership/PeerTransport";
import { RpcServer, TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { TcpProxy } from "../support/TcpProxy";
import { waitUntil } from "../support/waitUntil";

/** Delay in each direction, as between delayed processes; an answer takes twice as long. */
const ONE_WAY_DELAY_MS = 600;
const SLOW_FOR_MS = 4_000;
/** Longest time until a peer without answers is detected. */
const MAX_DETECTION_MS = 2_300;

describe("TransportPool", () => {
  let server: RpcServer;
  let relay: TcpProxy;
  let sessions: number;
  let delivered: number;
  let members: PeerTransport;
  let transports: TransportPool;

  beforeEach(async () => {
    const [listen] = (await getFreeAddresses(1)) as [string];
    sessions = 0;
    delivered = 0;
    server = await RpcServer.start({
      listen,
      interceptors: [],
      onSession: () => {
        sessions += 1;
      },
      routes: (router) => {
        router.service(FleetService, {
          getDeclaration: () => ({}),
          async *watch(_request, context) {
            yield {};
            await new Promise((resolve) => context.signal.addEventListener("abort", resolve));
          },
        });
        router.service(ConsensusService, {
          async deliver(requests) {
            for await (const { messages } of requests) delivered += messages.length;
            return {};
          },
        });
      },
    });
    relay = await TcpProxy.start(listen);
    transports = new TransportPool(undefined);
    members = new PeerTransport(transports, pino({ level: "silent" }));
  });

  afterEach(async () => {
    members.close();
    await relay.stop();
    await server.stop();
  });

  function deliver(): void {
    members.send(create(ConsensusMessageSchema, { to: "m" }), relay.address);
  }

  it("shares one session between all calls to a peer", async () => {
    deliver();
    await waitUntil("the message is delivered", () => delivered === 1);
    for (const pool of [transports, transports]) {
      const client = createClient(FleetService, pool.getTransport(relay.address));
      await Promise.all([client.getDeclaration({}), client.getDeclaration({})]);
    }
    expect(sessions).toBe(1);
  });

  it("fails all calls of a session whose peer stops answering, and opens another session", async () => {
    const client = createClient(FleetService, transports.getTransport(relay.address));
    const watching = client.watch({ watcherId: "w" })[Symbol.asyncIterator]();
    await watching.next();
    deliver();
    await waitUntil("the message is delivered", () => delivered === 1);
    relay.cut();
    const startedAt = performance.now();
    await expect(watching.next()).rejects.toThrow("the peer did not answer a ping in time");
    expect(performance.now() - startedAt).toBeLessThan(MAX_DETECTION_MS);
    relay.heal();
    await waitUntil("a later message is delivered", () => {
      deliver();
      return delivered > 1;
    });
  });

  it("keeps the session of a member that is only slow", async () => {
    deliver();
    await waitUntil("the message is delivered", () => delivered === 1);
    relay.setDelay(ONE_WAY_DELAY_MS);
    await new Promise((resolve) => setTimeout(resolve, SLOW_FOR_MS));
    deliver();
    await waitUntil("the second message is delivered", () => delivered === 2);
    expect(sessions).toBe(1);
  });
});
