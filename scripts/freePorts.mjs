// Prints the given number of free loopback ports, chosen by the operating system.
import { createServer } from "node:net";

const servers = await Promise.all(
  Array.from(
    { length: Number(process.argv[2]) },
    () =>
      new Promise((resolve) => {
        const server = createServer().listen(0, "127.0.0.1", () => resolve(server));
      }),
  ),
);
for (const server of servers) console.log(server.address().port);
for (const server of servers) server.close();
