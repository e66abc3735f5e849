import type { AddressInfo } from "node:net";
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { TcpProxy } from "./TcpProxy";
import { waitUntil } from "./waitUntil";

describe("Relay", () => {
  let server: Server;
  let relay: TcpProxy;
  let caller: Socket;
  let seenByServer: string;
  let seenByCaller: string;
  let served: Socket | undefined;
  let isReset: boolean;

  beforeEach(async () => {
    seenByServer = "";
    seenByCaller = "";
    isReset = false;
    server = createServer((socket) => {
      served = socket;
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        seenByServer += chunk.toString();
      });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    relay = await TcpProxy.start(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const [host, port] = relay.address.split(":");
    caller = connect(Number(port), host);
    caller.on("error", () => {
      isReset = true;
    });
    caller.on("data", (chunk) => {
      seenByCaller += chunk.toString();
    });
    await waitUntil("it is connected", () => served !== undefined);
  });

  afterEach(async () => {
    caller.destroy();
    served?.destroy();
    served = undefined;
    await relay.stop();
    await new Promise((resolve) => server.close(resolve));
  });

  it("passes bytes in their order, held up or not", async () => {
    relay.setDelay(20);
    for (const text of ["a", "b", "c"]) caller.write(text);
    await waitUntil("they arrive", () => seenByServer === "abc");
  });

  it("cuts one way and leaves the other", async () => {
    relay.cut("toTarget");
    caller.write("lost");
    served!.write("told");
    await waitUntil("the answer arrives", () => seenByCaller === "told");
    expect(seenByServer).toBe("");
  });

  it("resets what is connected", async () => {
    relay.reset();
    await waitUntil("the caller is reset", () => isReset);
  });
});
