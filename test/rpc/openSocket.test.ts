/**
 * Entries that had been cut off from control for ten seconds went by an outdated declaration for 6.8 s after
 * the cut was over (a day with a cut, two plays of two; control had been at work all the time). Their
 * connections were still coming up: the system had sent the first packet again after 1, 3 and 7 s, each time
 * into the cut, and would have next after 15 s; each try of ours waited for the same connection.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { createClient } from "@connectrpc/connect";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { FleetService } from "../../src/gen/ploverstage/v1/fleet_pb";
import { createRpcTransport } from "../../src/rpc";
import { CONNECT_TIMEOUT_MS as LONGEST_CONNECT_MS, openSocket } from "../../src/rpc/openSocket";
import { waitUntil } from "../support/waitUntil";

const CONNECT_MS = 200;
/** A listener that accepts nothing holds a few connections; the next one does not come up. */
const FILLING = 8;
const LISTENER = `
  const server = require("node:net").createServer(() => {});
  server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => console.log(server.address().port));
`;

describe("openSocket", () => {
  let listener: ChildProcess;
  let address: string;
  const open: Socket[] = [];

  beforeEach(async () => {
    listener = spawn(process.execPath, ["-e", LISTENER], { stdio: ["ignore", "pipe", "inherit"] });
    const [chunk] = (await once(listener.stdout!, "data")) as [Buffer];
    address = `127.0.0.1:${chunk.toString().trim()}`;
  });

  afterEach(() => {
    for (const socket of open.splice(0)) socket.destroy();
    listener.kill("SIGKILL");
  });

  async function fill(): Promise<void> {
    const port = Number(address.split(":")[1]);
    listener.kill("SIGSTOP");
    for (let i = 0; i < FILLING; i++) open.push(connect({ host: "127.0.0.1", port }).on("error", () => {}));
    await waitUntil("some connections do not come up", () => open.some((socket) => socket.connecting));
  }

  it("gives a connection up that does not come up, so that the next try makes a new one", async () => {
    await fill();
    const stuck = openSocket(address, CONNECT_MS);
    const [cause] = (await once(stuck, "error")) as [Error];
    expect(cause.message).toContain("no connection");
    expect(stuck.destroyed).toBe(true);
    for (const socket of open.splice(0)) socket.destroy();
    listener.kill("SIGCONT");
    await waitUntil("a new one comes up", async () => {
      const next = openSocket(address, CONNECT_MS);
      open.push(next);
      return once(next, "connect").then(
        () => true,
        () => false,
      );
    });
  });

  it("ends nobody when the call that waited for it was given up before", async () => {
    const unhandled: unknown[] = [];
    const note = (cause: unknown) => unhandled.push(cause);
    process.on("unhandledRejection", note);
    process.on("uncaughtException", note);
    await fill();
    const client = createClient(FleetService, createRpcTransport(address, undefined));
    const call = client.getDeclaration({}, { timeoutMs: CONNECT_MS });
    await expect(call).rejects.toThrow();
    await new Promise((resolve) => setTimeout(resolve, LONGEST_CONNECT_MS + CONNECT_MS));
    process.off("unhandledRejection", note);
    process.off("uncaughtException", note);
    expect(unhandled).toEqual([]);
  });

  it("leaves one alone that came up", async () => {
    const socket = openSocket(address, CONNECT_MS);
    open.push(socket);
    await once(socket, "connect");
    await new Promise((resolve) => setTimeout(resolve, CONNECT_MS * 2));
    expect(socket.destroyed).toBe(false);
  });
});
