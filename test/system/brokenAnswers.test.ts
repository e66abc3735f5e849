/** What callers of a deployment get when a worker's answer is broken. */
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { sendRawAnswer } from "../../standin/rawAnswer";
import { createConfig } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import { resetUnread } from "../support/resetUnread";
import { waitUntil } from "../support/waitUntil";

const ENGINES = 2;
const SEAL = "x-ploverstage-response-seal: s\r\n";
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

  /** Checks that a request that must run once fails, and that another worker answers a repeatable one. */
  async function expectNoAnswer(answerBroken: (socket: Socket) => void, body: string): Promise<void> {
    answerNext(answerBroken);
    expect((await cluster.call("/app/x", {}, { body })).status).toBe(502);
    answerNext(answerBroken);
    const replaced = await cluster.call("/again/x", {}, { body });
    expect(replaced).toMatchObject({ status: 200, body: `tenant-a POST /again/x ${body}` });
  }

  /** Sends a part of an answer and resets the connection while the entry is suspended. */
  function resetPart(socket: Socket): void {
    void resetUnread(cluster.entry, socket, `HTTP/1.1 200 OK\r\n${SEAL}\r\npart`);
  }

  // Guards against a part of a body that callers get as a complete answer.
  it.each([5, 200_000, 4_000_000])(
    "without a length that is reset while the entry is suspended reaches no caller: upload of %i bytes",
    async (bytes) => {
      await start();
      for (let i = 0; i < REPETITIONS; i++) await expectNoAnswer(resetPart, "b".repeat(bytes));
    },
  );

  it.each(["000", "099", "101", "600"])("with the status %s reaches no caller", async (status) => {
    await start();
    const text = `HTTP/1.1 ${status} OK\r\n${SEAL}content-length: 2\r\n\r\nok`;
    await expectNoAnswer((socket) => sendRawAnswer(socket, { text, end: "inOrder" }), "hello");
  });

  it.each(["xchunked", "gzip"])("with the transfer coding %s reaches no caller", async (coding) => {
    await start();
    const text = `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: ${coding}\r\n\r\n5\r\nhello\r\n0\r\n\r\n`;
    await expectNoAnswer((socket) => sendRawAnswer(socket, { text, end: "inOrder" }), "hello");
  });

  it.each([
    ["a blank", "x-bro ken: 1"],
    ["a control byte", "x-bro\u0001ken: 1"],
    ["a blank before its colon", "x-broken : 1"],
  ])("with %s in the name of a field reaches no caller", async (_name, line) => {
    await start();
    const text = `HTTP/1.1 200 OK\r\n${line}\r\n${SEAL}content-length: 2\r\n\r\nok`;
    await expectNoAnswer((socket) => sendRawAnswer(socket, { text, end: "inOrder" }), "hello");
  });
});
