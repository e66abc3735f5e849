import type { Server } from "node:net";
import { splitAddress } from "./HttpClient";

/** Starts a server at an address of the form host:port. Resolves once it listens. */
export async function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
