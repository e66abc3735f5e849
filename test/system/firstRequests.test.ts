/** First requests at entries that have started together with the system, or again while it runs. */
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/clock";
import { createConfig } from "../platform/createConfig";
import { getEntryIp, type PlatformAnswer, PlatformCluster } from "../platform/PlatformCluster";
import { waitUntil } from "../support/waitUntil";

const ENTRIES = 3;
const RESTARTS = 6;
const CONNECT_INTERVAL_MS = 10;
const REPORT_POLL_MS = 1;

describe("the first request of a caller", () => {
  let cluster: PlatformCluster;
  afterEach(() => cluster.stop());

  /** Declares a service, with a route at each entry. */
  async function declare(service: string): Promise<void> {
    const app = createConfig(1).routes.find(({ name }) => name === "r-app")!;
    const routes = Array.from({ length: ENTRIES }, (_, i) => {
      return { ...app, name: `r-${i}`, host: getEntryIp(i), service };
    });
    const services = [{ name: service, maxConnections: 100 }];
    await waitUntil("the configuration is accepted", async () => {
      return (await cluster.putConfig(0, createConfig(1, { routes, services }))) === 200;
    });
  }

  /** Connects every few milliseconds, and gets the first answer. */
  async function callFirst(entry: number): Promise<PlatformAnswer> {
    for (;;) {
      try {
        return await cluster.call("/app/x", {}, { entry });
      } catch {
        await pause(CONNECT_INTERVAL_MS);
      }
    }
  }

  // Guards against refusals by an entry that lacks what control already publishes.
  it("is served when its entry was killed and starts again", async () => {
    cluster = await PlatformCluster.start(0, { entries: ENTRIES });
    await declare("app");
    for (let entry = 0; entry < ENTRIES; entry++)
      await waitUntil("it serves", async () => (await cluster.call("/app/x", {}, { entry })).status === 200);
    const statuses: number[] = [];
    for (let round = 0; round < RESTARTS; round++) {
      const entry = round % ENTRIES;
      await cluster.entries[entry]!.kill();
      cluster.entries[entry]!.start();
      statuses.push((await callFirst(entry)).status);
    }
    expect(statuses).toEqual(Array(RESTARTS).fill(200));
  });

  // Guards against refusals by entries that receive a first report some milliseconds after control has accepted it.
  it("is served when the first endpoint of a new service has just reported", async () => {
    cluster = await PlatformCluster.start(0, { entries: ENTRIES });
    await declare("board");
    const worker = await cluster.addWorker("board-0", "board", "");
    while (!worker.hasReported) await pause(REPORT_POLL_MS);
    const calls = Array.from({ length: ENTRIES }, (_, entry) => cluster.call("/app/x", {}, { entry }));
    const answers = await Promise.all(calls);
    expect(answers.map(({ status }) => status)).toEqual(Array(ENTRIES).fill(200));
  });
});
