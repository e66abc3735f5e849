import { constants, createServer, type ServerHttp2Session, type ServerHttp2Stream } from "node:http2";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { describe, expect, it } from "vitest";
import { pause } from "../../src/clock";
import { FleetService } from "../../src/gen/ploverstage/v1/fleet_pb";
import { listen } from "../../src/http";
import { createRpcTransport, RpcServer } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { TcpProxy } from "../support/TcpProxy";
import { waitUntil } from "../support/waitUntil";

/** Longer than a session may be idle before it is pinged. */
const IDLE_MS = 1_200;
const CALL_TIMEOUT_MS = 700;
const ONE_WAY_DELAY_MS = 100;
const LARGE_BYTES = 360_000;

describe("createRpcTransport", () => {
  it("survives a peer that closes its sessions after the last call, and calls it again", async () => {
    const [address] = (await getFreeAddresses(1)) as [string];
    const errors: unknown[] = [];
    const onError = (error: unknown) => errors.push(error);
    process.on("uncaughtException", onError);
    let watching = 0;
    const start = () =>
      RpcServer.start({
        listen: address,
        interceptors: [],
        routes: (router) => {
          router.service(FleetService, {
            async *watch(_request, context) {
              watching += 1;
              yield {};
              await new Promise((resolve) => context.signal.addEventListener("abort", resolve));
            },
          });
        },
      });
    const client = createClient(FleetService, createRpcTransport(address, undefined));
    for (const round of [1, 2]) {
      const server = await start();
      const call = new AbortController();
      await waitUntil("a call is answered", async () => {
        for await (const _ of client.watch({ watcherId: "w" }, { signal: call.signal })) return true;
        return false;
      });
      call.abort();
      await server.stop();
      expect(watching).toBeGreaterThanOrEqual(round);
    }
    // The end of the last session has been processed once another call is refused.
    await expect(client.suspect({ suspicions: [{ targetId: "t" }] }, { timeoutMs: 1_000 })).rejects.toThrow();
    process.off("uncaughtException", onError);
    expect(errors).toEqual([]);
  });

  // Guards against calls that wait for their whole timeout, or for good, for a peer that has ended.
  it("fails a call at once whose peer closes the stream without an answer and without an error", async () => {
    const [address] = (await getFreeAddresses(1)) as [string];
    const server = createServer();
    const sessions: ServerHttp2Session[] = [];
    server.on("session", (session) => sessions.push(session));
    server.on("stream", (stream: ServerHttp2Stream) => {
      stream.resume();
      stream.on("end", () => stream.close(constants.NGHTTP2_NO_ERROR));
    });
    await listen(server, address);
    const client = createClient(FleetService, createRpcTransport(address, undefined));
    const call = client.getDeclaration({}).catch((cause: unknown) => ConnectError.from(cause).code);
    const outcome = await Promise.race([call, pause(CALL_TIMEOUT_MS).then(() => "unanswered")]);
    for (const session of sessions) session.destroy();
    server.close();
    expect(outcome).toBe(Code.Unavailable);
  });

  it("sends a large declaration within two round trips", async () => {
    const [listen] = (await getFreeAddresses(1)) as [string];
    const server = await RpcServer.start({
      listen,
      interceptors: [],
      routes: (router) => {
        router.service(FleetService, { putDeclaration: () => ({}), getDeclaration: () => ({}) });
      },
    });
    const relay = await TcpProxy.start(listen);
    const client = createClient(FleetService, createRpcTransport(relay.address, undefined));
    await client.getDeclaration({});
    relay.setDelay(ONE_WAY_DELAY_MS);
    const startedAt = performance.now();
    await client.putDeclaration({ version: 1, document: new Uint8Array(LARGE_BYTES) });
    const tookMs = performance.now() - startedAt;
    await relay.stop();
    await server.stop();
    expect(tookMs).toBeLessThan(2 * 2 * ONE_WAY_DELAY_MS);
  });

  it("calls a peer again after its session ended without an error during a ping", async () => {
    const [listen] = (await getFreeAddresses(1)) as [string];
    const server = await RpcServer.start({
      listen,
      interceptors: [],
      routes: (router) => {
        router.service(FleetService, { getDeclaration: () => ({}) });
      },
    });
    const relay = await TcpProxy.start(listen);
    const client = createClient(FleetService, createRpcTransport(relay.address, undefined));
    const call = () =>
      client.getDeclaration({}, { timeoutMs: CALL_TIMEOUT_MS }).then(
        () => "answered",
        (cause: unknown) => String(cause),
      );
    const outcomes = [await call()];
    await pause(IDLE_MS);
    relay.cut("fromTarget");
    const lostCall = call();
    await pause(CALL_TIMEOUT_MS / 7);
    relay.heal();
    await lostCall;
    for (let i = 0; i < 3; i++) {
      outcomes.push(await call());
      await pause(IDLE_MS);
    }
    await relay.stop();
    await server.stop();
    expect(outcomes).toEqual(["answered", "answered", "answered", "answered"]);
  });
});
