/**
 * Users' instances start again under the ids that they had. Over real processes no request reached one in
 * 20 s, as its reports counted from 1 again; under a new id it took 0.27 s. Odd reports of another writer
 * delayed the first request from 0.5 to 10 and 12 s: they could not be told to the leader, nor anything
 * else that had reported to the same process.
 */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createConfig, MODEL, STREAM } from "../platform/createConfig";
import { sendInvalidReports } from "../platform/invalidReports";
import { PlatformCluster } from "../platform/PlatformCluster";
import type { WorkerStandin } from "../platform/WorkerStandin";
import { waitUntil } from "../support/waitUntil";

const ENGINES = 5;
/** An instance that has reported for long: its next life's count is far behind. */
const REPORT_COUNT = 500;
const CLOCK_STEP_MS = 3_600_000;
/** An instance reports every 0.4 s, and its answer is asked for as often. */
const SOON_MS = 3_000;
const ODD_REPORT_PAUSE_MS = 200;

describe("instances that start again under their ids", () => {
  let cluster: PlatformCluster;
  let plain: WorkerStandin;

  beforeAll(async () => {
    cluster = await PlatformCluster.start(ENGINES);
    await waitUntil(
      "the configuration is taken",
      async () => (await cluster.putConfig(0, createConfig(3))) === 200,
    );
    cluster.workers.find(({ id }) => id === "app-0")!.crash();
    plain = await cluster.addWorker("app-1", "app", "", { reportCount: REPORT_COUNT });
    await waitUntil("a plain call is served", () => isServed("/app/x", {}));
    await waitUntil("a stream is served", () => isServed("/llm/draft", MODEL));
  });
  afterAll(() => cluster.stop());

  async function isServed(path: string, headers: Record<string, string>): Promise<boolean> {
    const answer = await cluster.call(path, headers).catch(() => undefined);
    return answer?.status === 200;
  }

  /** Gets how long it takes until a worker runs a request, milliseconds. */
  async function measureUntilRun(worker: WorkerStandin): Promise<number> {
    const startedAt = performance.now();
    await waitUntil("it runs a request", async () => {
      await isServed("/app/x", {});
      return worker.ran.length > 0;
    });
    return performance.now() - startedAt;
  }

  it("serve again at once, at another port", async () => {
    plain = await cluster.restartWorker(plain, { reportCount: 0 });
    expect(await measureUntilRun(plain)).toBeLessThan(SOON_MS);
  });

  it("serve again soon though their clocks were set back between two starts", async () => {
    plain = await cluster.restartWorker(plain, { born: Date.now() - CLOCK_STEP_MS });
    expect(await measureUntilRun(plain)).toBeLessThan(SOON_MS);
  });

  it("serve again after one that said that it leaves", async () => {
    await waitUntil("its leave is agreed", () => plain.drain());
    plain = await cluster.restartWorker(plain, {});
    expect(await measureUntilRun(plain)).toBeLessThan(SOON_MS);
  });

  it("take places again, after their replica was given up", async () => {
    const head = cluster.workers.find((worker) => worker.isRunning && worker.place?.state === "open")!;
    const next = await cluster.restartWorker(head);
    await waitUntil("a stream is served", async () => {
      const answer = await cluster.call("/llm/draft", MODEL).catch(() => undefined);
      return answer?.status === 200 && answer.body === STREAM;
    });
    await waitUntil("every worker but a spare has a place", () => {
      const engines = cluster.workers.filter((worker) => worker.isRunning && worker.id.startsWith("llm-"));
      return engines.filter((worker) => worker.place !== undefined).length >= ENGINES - 1;
    });
    const wrong = cluster.workers.flatMap((worker) => [...worker.wrongJoins, ...worker.partialRuns]);
    expect(wrong).toEqual([]);
    expect(next.isRunning).toBe(true);
  });

  it("are heard while another writer sends odd reports to every control process, in their names too", async () => {
    let isOver = false;
    const statuses: number[] = [];
    const writer = (async () => {
      while (!isOver) {
        for (const control of cluster.controlAddresses) {
          statuses.push(
            ...(await sendInvalidReports(control, "app-1")),
            ...(await sendInvalidReports(control, "odd")),
          );
        }
        await new Promise((resolve) => setTimeout(resolve, ODD_REPORT_PAUSE_MS));
      }
    })();
    plain.crash();
    const fresh = await cluster.addWorker("app-2", "app", "");
    expect(await measureUntilRun(fresh)).toBeLessThan(SOON_MS);
    plain = await cluster.restartWorker(plain);
    fresh.crash();
    expect(await measureUntilRun(plain)).toBeLessThan(SOON_MS);
    isOver = true;
    await writer;
    expect(new Set(statuses)).toEqual(new Set([400]));
  });
});
