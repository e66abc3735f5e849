/** Free ports from the operating system. */

import type { AddressInfo } from "node:net";
import { createServer, type Server } from "node:net";

/** Gets loopback addresses with free ports. */
export async function getFreeAddresses(count: number): Promise<string[]> {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const addresses = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return addresses;
}

function openServer(): Promise<Server> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => resolve(server));
  });
}
