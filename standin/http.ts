/** A JSON server on the loopback interface, shared by the stand-ins. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Answers a request. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void | Promise<void>;

/** Starts a server on a port; port 0 selects a free one. */
export async function startServer(handler: Handler, port = 0): Promise<{ server: Server; address: string }> {
  const server = createServer({ keepAliveTimeout: 60_000 }, async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    await handler(request, response, Buffer.concat(chunks).toString("utf8"));
  });
  await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Closes a server and all its connections. */
export async function stopServer(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}
