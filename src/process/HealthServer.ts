/** Liveness and readiness of a process over HTTP: `/livez` and `/readyz`. */
import { createServer, type Server, type ServerResponse } from "node:http";
import { listen } from "../http";

/** Gives `undefined` when ready, else the reason why not. */
export type ReadinessCheck = () => string | undefined;

/** Answers a health path; gives whether the path was one. */
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

/** Starts a server for health alone. */
export async function startHealthServer(address: string, check: ReadinessCheck): Promise<Server> {
  const server = createServer((request, response) => {
    if (!handleHealthRequest(request.url, response, check)) sendJson(response, 404, { error: "not found" });
  });
  await listen(server, address);
  return server;
}

function sendJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
