/** What callers of a deployment get when a worker's answer is broken. */
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createConfig } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import { sendUnread } from "../support/sendUnread";
import { waitUntil } from "../support/waitUntil";

const ENGINES = 2;
const PART = "part";
const HEAD = "HTTP/1.1 200 OK\r\nx-ploverstage-response-seal: s\r\n\r\n";
const REPETITIONS = 5;

describe("a broken answer of a worker", () => {
  let cluster: PlatformCluster;
  afterEach(() => cluster.stop());

  /** Starts two workers of a plain service, with a route whose requests run once and a repeatable one. */
  async function start(): Promise<void> {
    cluster = await PlatformCluster.start(ENGINES);
    await cluster.addWorker("app-1", "app", "");
    const { routes } = createConfig(1);
    const app = routes.find(({ name }) => name === "r-app")!;
    const again = { ...app, name: "r-again", pathPrefix: "/again/", routeType: "idempotent", maxAttempts: 2 };
    const config = createConfig(3, { routes: [...routes, again] });
    await waitUntil(
      "the configuration is accepted",
      async () => (await cluster.putConfig(0, config)) === 200,
    );
    await waitUntil("both workers serve", async () => {
      await cluster.call("/app/x");
      return getWorkers().every(({ ran }) => ran.length > 0);
    });
  }

  function getWorkers() {
    return cluster.workers.filter(({ service }) => service === "app");
  }

  /** Lets the next request that any worker gets be answered by a function, and the others as usual. */
  function answerNext(answer: (socket: Socket) => void): void {
    for (const worker of getWorkers()) {
      worker.answerWith = (socket) => {
        for (const other of getWorkers()) other.answerWith = undefined;
        answer(socket);
      };
    }
  }

  function resetUnread(socket: Socket): void {
    void sendUnread(cluster.entry, socket, { text: `${HEAD}${PART}`, end: "reset" });
  }

  // Guards against a part of a body that callers get as a complete answer.
  it.each([5, 200_000, 4_000_000])(
    "without a length that is reset while the entry stands still is no answer: upload %i",
    async (bytes) => {
      await start();
      const body = "b".repeat(bytes);
      for (let i = 0; i < REPETITIONS; i++) {
        answerNext(resetUnread);
        expect((await cluster.call("/app/x", {}, { body })).status).toBe(502);
        answerNext(resetUnread);
        const replaced = await cluster.call("/again/x", {}, { body });
        expect(replaced).toMatchObject({ status: 200, body: `tenant-a POST /again/x ${body}` });
      }
    },
  );
});
