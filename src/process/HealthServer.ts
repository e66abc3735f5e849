/** Liveness and readiness of a process over HTTP: `/livez` and `/readyz`. */
import type { Server, ServerResponse } from "node:http";
import { listen } from "../http";
import { createHttpServer } from "../server";

/** Connections for health checks. */
const MAX_CONNECTIONS = 64;

/** Returns `undefined` when the process is ready, otherwise the reason why it is not. */
export type ReadinessCheck = () => string | undefined;

/**
 * Answers a request for a health path.
 * @returns Whether the path was a health path.
 */
export function handleHealthRequest(
  path: string | undefined,
  response: ServerResponse,
  check: ReadinessCheck,
): boolean {
  if (path === "/livez") {
    sendJson(response, 200, { live: true });
    return true;
  }
  if (path !== "/readyz") return false;
  const reason = check();
  sendJson(response, reason === undefined ? 200 : 503, { ready: reason === undefined, reason });
  return true;
}

/** Starts a server that serves only the health paths. */
export async function startHealthServer(address: string, check: ReadinessCheck): Promise<Server> {
  const server = createHttpServer();
  server.maxConnections = MAX_CONNECTIONS;
  server.on("request", (request, response) => {
    if (!handleHealthRequest(request.url, response, check)) sendJson(response, 404, { error: "not found" });
  });
  await listen(server, address);
  return server;
}

function sendJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
