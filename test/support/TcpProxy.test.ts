import type { AddressInfo } from "node:net";
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { TcpProxy } from "./TcpProxy";
import { waitUntil } from "./waitUntil";

describe("TcpProxy", () => {
  let server: Server;
  let proxy: TcpProxy;
  let client: Socket;
  let receivedByServer: string;
  let receivedByClient: string;
  let accepted: Socket | undefined;
  let isReset: boolean;

  beforeEach(async () => {
    receivedByServer = "";
    receivedByClient = "";
    isReset = false;
    server = createServer((socket) => {
      accepted = socket;
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        receivedByServer += chunk.toString();
      });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    proxy = await TcpProxy.start(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const [host, port] = proxy.address.split(":");
    client = connect(Number(port), host);
    client.on("error", () => {
      isReset = true;
    });
    client.on("data", (chunk) => {
      receivedByClient += chunk.toString();
    });
    await waitUntil("the server has accepted the connection", () => accepted !== undefined);
  });

  afterEach(async () => {
    client.destroy();
    accepted?.destroy();
    accepted = undefined;
    await proxy.stop();
    await new Promise((resolve) => server.close(resolve));
  });

  it("forwards bytes in order when they are delayed", async () => {
    proxy.setDelay(20);
    for (const text of ["a", "b", "c"]) client.write(text);
    await waitUntil("all bytes arrive", () => receivedByServer === "abc");
  });

  it.each(["silent", "reset"] as const)("blocks connections from one address only: %s", async (fault) => {
    proxy.block(["127.0.0.2"], fault);
    client.write("a");
    await waitUntil("the bytes of another address arrive", () => receivedByServer === "a");
    proxy.block(["127.0.0.1"], fault);
    client.write("b");
    accepted!.write("c");
    if (fault === "reset") await waitUntil("the connection is reset", () => isReset);
    else await new Promise((resolve) => setTimeout(resolve, 50));
    expect([receivedByServer, receivedByClient]).toEqual(["a", ""]);
  });

  it("cuts one direction and forwards the other", async () => {
    proxy.cut("toTarget");
    client.write("lost");
    accepted!.write("sent");
    await waitUntil("the answer arrives", () => receivedByClient === "sent");
    expect(receivedByServer).toBe("");
  });

  it("resets open connections", async () => {
    proxy.reset();
    await waitUntil("the client is reset", () => isReset);
  });
});
