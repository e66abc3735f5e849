import { Agent, request } from "node:http";
import { afterEach, describe, expect, it } from "vitest";
import type { CallScheduler } from "../../src/admission";
import { pause } from "../../src/clock";
import { createJson, JsonServer } from "../../src/http";
import { getFreeAddresses } from "../support/ports";
import { waitUntil } from "../support/waitUntil";

const CALLERS = 20;
const MIN_CALLS = 100;
const ANSWER_MS = 30;
const PAUSE_MS = 20;

/** Begins each call at once. */
const calls = { add: ({ begin }: { begin: () => void }) => begin() } as unknown as CallScheduler;

describe("JsonServer", () => {
  const agents: Agent[] = [];
  afterEach(() => {
    for (const agent of agents.splice(0)) agent.destroy();
  });

  /** Calls; resolves with the status, 0 where no connection came up, -1 where one ended without an answer. */
  function call(address: string, agent: Agent): Promise<number> {
    return new Promise((resolve) => {
      const outgoing = request(`http://${address}/`, { agent }, (answer) => {
        answer.resume();
        answer.once("close", () => resolve(answer.complete ? answer.statusCode! : -1));
      });
      outgoing.on("error", ({ syscall }: NodeJS.ErrnoException) => resolve(syscall === "connect" ? 0 : -1));
      outgoing.end();
    });
  }

  it("answers all that its callers have sent on connections that they keep, when it is stopped", async () => {
    const [listen] = await getFreeAddresses(1);
    const handle = async () => {
      await pause(ANSWER_MS);
      return createJson(200, {});
    };
    const server = new JsonServer({
      listen: listen!,
      handle,
      createFailure: () => createJson(503, {}),
      calls,
      getCallClass: () => "order",
    });
    await server.start();
    const seen: number[] = [];
    const callUntilGone = async (agent: Agent) => {
      agents.push(agent);
      for (let status = 200; status === 200; await pause(PAUSE_MS)) {
        status = await call(listen!, agent);
        seen.push(status);
      }
    };
    const callers = Array.from({ length: CALLERS }, () =>
      callUntilGone(new Agent({ keepAlive: true, maxSockets: 1 })),
    );
    await waitUntil("all have called", () => seen.length >= MIN_CALLS);
    await server.stop();
    await Promise.all(callers);
    expect(seen.filter((status) => status === -1)).toEqual([]);
  });
});
