/**
 * Guards against connections that are still being established after a partition. The operating system repeats
 * the first packet of a connection after 1, 3, 7 and 15 s. In a partition of ten seconds the first three
 * repetitions are lost. Without a timeout every attempt of an entry waits for the same connection until the
 * fourth one, and entries use an outdated declaration for 6.8 s after the partition, although control
 * processes are available.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { createClient } from "@connectrpc/connect";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { FleetService } from "../../src/gen/ploverstage/v1/fleet_pb";
import { createRpcTransport } from "../../src/rpc";
import { CONNECT_TIMEOUT_MS as DEFAULT_TIMEOUT_MS, openSocket } from "../../src/rpc/openSocket";
import { waitUntil } from "../support/waitUntil";

const TIMEOUT_MS = 200;
/**
 * Number of connections that fill the backlog of a listener that accepts none; the next connection is not
 * established.
 */
const BACKLOG_CONNECTIONS = 8;
const LISTENER = `
  const server = require("node:net").createServer(() => {});
  server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => console.log(server.address().port));
`;

describe("openSocket", () => {
  let listener: ChildProcess;
  let address: string;
  const openSockets: Socket[] = [];

  beforeEach(async () => {
    listener = spawn(process.execPath, ["-e", LISTENER], { stdio: ["ignore", "pipe", "inherit"] });
    const [chunk] = (await once(listener.stdout!, "data")) as [Buffer];
    address = `127.0.0.1:${chunk.toString().trim()}`;
  });

  afterEach(() => {
    for (const socket of openSockets.splice(0)) socket.destroy();
    listener.kill("SIGKILL");
  });

  async function fillBacklog(): Promise<void> {
    const port = Number(address.split(":")[1]);
    listener.kill("SIGSTOP");
    for (let i = 0; i < BACKLOG_CONNECTIONS; i++)
      openSockets.push(connect({ host: "127.0.0.1", port }).on("error", () => {}));
    await waitUntil("the backlog is full", () => openSockets.some((socket) => socket.connecting));
  }

  it("destroys a socket that does not connect in time, so that the next attempt opens a new connection", async () => {
    await fillBacklog();
    const unconnected = openSocket(address, TIMEOUT_MS);
    const [cause] = (await once(unconnected, "error")) as [Error];
    expect(cause.message).toContain("no connection");
    expect(unconnected.destroyed).toBe(true);
    for (const socket of openSockets.splice(0)) socket.destroy();
    listener.kill("SIGCONT");
    await waitUntil("a new connection is established", async () => {
      const next = openSocket(address, TIMEOUT_MS);
      openSockets.push(next);
      return once(next, "connect").then(
        () => true,
        () => false,
      );
    });
  });

  it("causes no unhandled error when the waiting call was abandoned before the timeout", async () => {
    const unhandled: unknown[] = [];
    const record = (cause: unknown) => unhandled.push(cause);
    process.on("unhandledRejection", record);
    process.on("uncaughtException", record);
    await fillBacklog();
    const client = createClient(FleetService, createRpcTransport(address, undefined));
    const call = client.getDeclaration({}, { timeoutMs: TIMEOUT_MS });
    await expect(call).rejects.toThrow();
    await new Promise((resolve) => setTimeout(resolve, DEFAULT_TIMEOUT_MS + TIMEOUT_MS));
    process.off("unhandledRejection", record);
    process.off("uncaughtException", record);
    expect(unhandled).toEqual([]);
  });

  it("does not destroy a connected socket", async () => {
    const socket = openSocket(address, TIMEOUT_MS);
    openSockets.push(socket);
    await once(socket, "connect");
    await new Promise((resolve) => setTimeout(resolve, TIMEOUT_MS * 2));
    expect(socket.destroyed).toBe(false);
  });
});
