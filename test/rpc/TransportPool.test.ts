import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ConsensusMessageSchema, ConsensusService } from "../../src/gen/ploverstage/v1/consensus_pb";
import { FleetService } from "../../src/gen/ploverstage/v1/fleet_pb";
import { PeerTransport } from "../../src/membership/PeerTransport";
import { RpcServer, TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { TcpProxy } from "../support/TcpProxy";
import { waitUntil } from "../support/waitUntil";

/** Between late processes an answer takes so long, both ways together. */
const ONE_WAY_MS = 600;
const LATE_FOR_MS = 4_000;
/** A peer that says nothing is missed within this time. */
const SILENT_MS = 2_300;

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
    members = new PeerTransport(transports);
  });

  afterEach(async () => {
    members.close();
    await relay.stop();
    await server.stop();
  });

  function deliver(): void {
    members.send(create(ConsensusMessageSchema, { to: "m" }), relay.address);
  }

  it("has all that a process asks of a peer share one session", async () => {
    deliver();
    await waitUntil("it is delivered", () => delivered === 1);
    for (const pooled of [transports, transports]) {
      const client = createClient(FleetService, pooled.getTransport(relay.address));
      await Promise.all([client.getDeclaration({}), client.getDeclaration({})]);
    }
    expect(sessions).toBe(1);
  });

  it("ends all calls of a session that says nothing any more, and opens another one", async () => {
    const client = createClient(FleetService, transports.getTransport(relay.address));
    const watching = client.watch({ watcherId: "w" })[Symbol.asyncIterator]();
    await watching.next();
    deliver();
    await waitUntil("it is delivered", () => delivered === 1);
    relay.cut();
    const startedAt = performance.now();
    await expect(watching.next()).rejects.toThrow("a ping was not answered");
    expect(performance.now() - startedAt).toBeLessThan(SILENT_MS);
    relay.heal();
    await waitUntil("what comes later is delivered", () => {
      deliver();
      return delivered > 1;
    });
  });

  it("keeps the session of a member that is only late", async () => {
    deliver();
    await waitUntil("it is delivered", () => delivered === 1);
    relay.setDelay(ONE_WAY_MS);
    await new Promise((resolve) => setTimeout(resolve, LATE_FOR_MS));
    deliver();
    await waitUntil("it is delivered", () => delivered === 2);
    expect(sessions).toBe(1);
  });
});
