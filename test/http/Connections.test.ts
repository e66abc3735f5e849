import { Agent, createServer, type RequestListener, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/clock";
import { Connections, listen } from "../../src/http";
import { waitUntil } from "../support/waitUntil";

const CALLERS = 40;
/** Some answers of each caller. */
const MIN_ANSWERS = 5;
const MAX_ACCEPT_MS = 500;
const PAUSE_MS = 20;
const SLOW_MS = 300;
/** A connection rests after half a second; this leaves room for a slow machine. */
const MAX_REST_MS = 3_000;

/** What a caller saw of a call. */
type Seen = "answered" | "unanswered" | "not connected";

describe("Connections", () => {
  let server: Server;
  let connections: Connections;
  let port: number;
  const agents: Agent[] = [];
  afterEach(() => {
    for (const agent of agents.splice(0)) agent.destroy();
    server.close();
    server.closeAllConnections();
  });

  async function start(handle: RequestListener): Promise<void> {
    server = createServer();
    connections = new Connections(server, () => performance.now());
    server.on("request", handle);
    await listen(server, "127.0.0.1:0");
    port = (server.address() as AddressInfo).port;
  }

  function createAgent(): Agent {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    agents.push(agent);
    return agent;
  }

  function call(agent: Agent): Promise<Seen> {
    return new Promise((resolve) => {
      const outgoing = request({ host: "127.0.0.1", port, agent }, (answer) => {
        answer.resume();
        answer.once("close", () => resolve(answer.complete ? "answered" : "unanswered"));
      });
      outgoing.on("error", ({ syscall }: NodeJS.ErrnoException) =>
        resolve(syscall === "connect" ? "not connected" : "unanswered"),
      );
      outgoing.end();
    });
  }

  it("resets no request of callers that use their connections until they are gone", async () => {
    await start((_request, response) => response.end("ok"));
    const seen: Seen[] = [];
    const callUntilGone = async (agent: Agent) => {
      for (;;) {
        const what = await call(agent);
        seen.push(what);
        if (what === "not connected") return;
        await pause(PAUSE_MS);
      }
    };
    const callers = Array.from({ length: CALLERS }, () => callUntilGone(createAgent()));
    await waitUntil("all have called", () => seen.length >= CALLERS * MIN_ANSWERS);
    await connections.drain(MAX_ACCEPT_MS);
    await Promise.all(callers);
    expect(seen.filter((what) => what === "unanswered")).toEqual([]);
    expect(connections.count).toBe(0);
  });

  it("waits for an answer that is on its way, and tells its caller that the connection ends", async () => {
    await start((_request, response) => setTimeout(() => response.end("ok"), SLOW_MS));
    const answered = call(createAgent());
    await waitUntil("it is connected", () => connections.count === 1);
    await connections.drain(MAX_ACCEPT_MS);
    expect(await answered).toBe("answered");
  });

  it("ends connections that rest", async () => {
    await start((_request, response) => response.end("ok"));
    expect(await call(createAgent())).toBe("answered");
    expect(connections.count).toBe(1);
    const startedAt = performance.now();
    await connections.drain(MAX_ACCEPT_MS);
    expect(connections.count).toBe(0);
    expect(performance.now() - startedAt).toBeLessThan(MAX_REST_MS);
  });
});
