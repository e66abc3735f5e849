/** What callers see of answers in progress when an entry that passes them on is killed. */
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/clock";
import { createConfig } from "../platform/createConfig";
import { getEntryIp, PlatformCluster } from "../platform/PlatformCluster";
import { RawCall, type RawRequest } from "../support/RawCall";
import { waitUntil } from "../support/waitUntil";

const HEAD = "HTTP/1.1 200 OK\r\nx-ploverstage-response-seal: s\r\nconnection: close\r\n\r\n";
const EVENT_COUNT = 10;
/** More than the buffers of a connection hold for a caller that reads nothing. */
const LARGE_BYTES = 16 * 1_024 * 1_024;
const CALLS = 8;
const BETWEEN_SIGNALS_MS = 100;
/** Time in which an entry passes on what it has received. */
const PASS_ON_MS = 200;
/** Shorter than the time for which an unused connection of a caller stays open. */
const MAX_CLOSE_MS = 2_000;

describe("an answer that its worker sends without a length or chunks", () => {
  let cluster: PlatformCluster;
  const calls: RawCall[] = [];
  afterEach(async () => {
    for (const call of calls.splice(0)) call.close();
    await cluster.stop();
  });

  /** Starts entries, each of which is a host with routes for plain answers and for streams. */
  async function start(entries: number): Promise<void> {
    cluster = await PlatformCluster.start(0, { entries, hasWorkerRelays: true });
    await cluster.addWorker("app-1", "app", "");
    const app = createConfig(1).routes.find(({ name }) => name === "r-app")!;
    const streaming = { routeType: "streaming", targetGapMs: 300, resumable: false };
    const routes = Array.from({ length: entries }, (_, i) => [
      { ...app, name: `r-app-${i}`, host: getEntryIp(i) },
      { ...app, ...streaming, name: `r-live-${i}`, host: getEntryIp(i), pathPrefix: "/live/" },
    ]).flat();
    await waitUntil(
      "the configuration is accepted",
      async () => (await cluster.putConfig(0, createConfig(3, { routes }))) === 200,
    );
    for (let entry = 0; entry < entries; entry++) {
      await waitUntil("the entry serves", async () => {
        return (await cluster.call("/app/x", {}, { entry })).status === 200;
      });
    }
  }

  function answerAll(answer: (socket: Socket) => void): void {
    for (const worker of cluster.workers) worker.answerWith = answer;
  }

  /** Sends requests to an entry, each on a connection of its own. */
  function begin(entry: number, request: Omit<RawRequest, "id">, count = CALLS): RawCall[] {
    const begun = Array.from(
      { length: count },
      (_, i) => new RawCall(cluster.getEntryAddress(entry), { ...request, id: `call-${i}` }),
    );
    calls.push(...begun);
    return begun;
  }

  /** Kills an entry while calls are being answered, and checks that each of their answers looks broken. */
  async function expectBrokenAfterKill(entry: number, begun: readonly RawCall[]): Promise<void> {
    await waitUntil("all have begun", () => begun.every(({ hasBegun }) => hasBegun));
    await cluster.entries[entry]!.kill();
    for (const call of begun) call.readOn();
    await Promise.all(begun.map(({ ended }) => ended));
    const seen = begun.map(({ status, isComplete }) => ({ status, isComplete }));
    expect(seen).toEqual(begun.map(() => ({ status: 200, isComplete: false })));
  }

  // Guards against streams that look complete with pieces missing.
  it("looks broken when its entry is killed: streams", async () => {
    await start(1);
    answerAll(sendFirstEvents);
    const begun = begin(0, { path: "/live/x" });
    await expectBrokenAfterKill(0, begun);
  });

  // Guards against parts that look complete after an end of their entry other than a kill.
  it.each([
    ["aborts, as when it is out of memory", ["SIGABRT"]],
    ["is interrupted", ["SIGINT"]],
    ["has used up its time to stop", ["SIGTERM"]],
    ["is told to stop twice", ["SIGTERM", "SIGTERM"]],
    ["is killed while it stops", ["SIGTERM", "SIGKILL"]],
  ] as const)("looks broken when its entry %s: streams, HTTP/1.0 and HTTP/1.1", async (_name, signals) => {
    await start(1);
    answerAll(sendFirstEvents);
    const begun = begin(0, { path: "/live/x" });
    const old = begin(0, { path: "/live/x", version: "1.0" });
    await waitUntil("all have begun", () => begun.every(({ hasBegun }) => hasBegun));
    for (const signal of signals) {
      cluster.entries[0]!.sendSignal(signal);
      await pause(BETWEEN_SIGNALS_MS);
    }
    await cluster.entries[0]!.waitForEnd();
    await Promise.all([...begun, ...old].map(({ ended }) => ended));
    expect(begun.map(({ status, isComplete }) => ({ status, isComplete }))).toEqual(
      begun.map(() => ({ status: 200, isComplete: false })),
    );
    for (const { text } of old) expect(text).not.toMatch(/^HTTP\/1\.1 200 /);
  });

  // Guards against parts of streams that callers without chunks take for whole ones.
  it("is not begun for callers that speak HTTP/1.0 when its entry is killed: streams", async () => {
    await start(1);
    let answered = 0;
    answerAll((socket) => {
      sendFirstEvents(socket);
      answered += 1;
    });
    const begun = begin(0, { path: "/live/x", version: "1.0" });
    await waitUntil("all are being answered", () => answered === CALLS);
    await pause(PASS_ON_MS);
    await cluster.entries[0]!.kill();
    await Promise.all(begun.map(({ ended }) => ended));
    expect(begun.map(({ text }) => text)).toEqual(begun.map(() => ""));
  });

  it("has a length for callers that speak HTTP/1.0 when nothing is killed: streams", async () => {
    await start(1);
    answerAll(sendEvents);
    const [call] = begin(0, { path: "/live/x", version: "1.0" }, 1);
    await call!.ended;
    expect(call!.text.toLowerCase()).toContain(`\r\ncontent-length: ${createEvents(EVENT_COUNT).length}\r\n`);
    expect(call!.isComplete).toBe(true);
  });

  // Guards against large answers that look complete although their callers have not received all of them.
  it.each(["1.0", "1.1"])(
    "looks broken when its entry is killed: plain answers, HTTP/%s",
    async (version) => {
      await start(1);
      answerAll(sendLarge);
      const begun = begin(0, { path: "/app/x", version, readsLate: true }, CALLS / 2);
      await expectBrokenAfterKill(0, begun);
    },
  );

  // Guards against streams that look complete because the next entry takes the end of a killed one for theirs.
  it.each([
    ["the entry that runs it", 1],
    ["the entry that relays it", 0],
  ])("looks broken when %s is killed", async (_name, killed) => {
    await start(2);
    for (const worker of cluster.workers) worker.relay!.block([getEntryIp(0)], "reset");
    await waitUntil("the entry relays", async () => (await cluster.call("/app/x")).status === 200);
    answerAll(sendFirstEvents);
    const begun = begin(0, { path: "/live/x" });
    await expectBrokenAfterKill(killed, begun);
  });

  it("looks complete when nothing is killed", async () => {
    await start(1);
    answerAll(sendEvents);
    const begun = begin(0, { path: "/live/x" });
    await waitUntil("all are complete", () => begun.every(({ isComplete }) => isComplete));
    for (const { text } of begun) expect(text).toContain(createEvent(EVENT_COUNT));
    for (const { text } of begun) expect(text.match(/^id: /gm)).toHaveLength(EVENT_COUNT);
  });

  // Guards against callers that read to the close and wait for it long after the last event.
  it("ends its caller's connection when nothing is killed", async () => {
    await start(1);
    answerAll(sendEvents);
    const begun = begin(0, { path: "/live/x" });
    await Promise.race([Promise.all(begun.map(({ ended }) => ended)), pause(MAX_CLOSE_MS)]);
    expect(begun.map(({ end }) => end)).toEqual(begun.map(() => "in order"));
  });
});

function createEvent(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

function createEvents(count: number): string {
  return Array.from({ length: count }, (_, i) => createEvent(i + 1)).join("");
}

/** Sends the first events of a stream and keeps the connection open. */
function sendFirstEvents(socket: Socket): void {
  socket.write(HEAD + createEvents(EVENT_COUNT / 2));
}

/** Sends all events of a stream, then ends the connection in order. */
function sendEvents(socket: Socket): void {
  socket.end(HEAD + createEvents(EVENT_COUNT));
}

function sendLarge(socket: Socket): void {
  socket.write(HEAD);
  socket.end("b".repeat(LARGE_BYTES));
}
