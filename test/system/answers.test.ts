import { readFileSync } from "node:fs";
import { afterEach, describe, expect, it } from "vitest";
import { createConfig, MODEL } from "../platform/createConfig";
import { KeepAliveCallers } from "../platform/KeepAliveCallers";
import { type ClusterOptions, PlatformCluster } from "../platform/PlatformCluster";
import { waitUntil } from "../support/waitUntil";

const STREAM = { events: 40, eventMs: 50 };
const ENGINES = 6;
const REPLICA_SIZE = 2;
const CALLERS = 12;
/** The share of one entry if eight entries have a common bound of 134 retries per window. */
const RETRY_BUDGET = 17;
const STALL_MS = 900;
const SIGNAL_DELAY_MS = 1_500;
const STOP_TIMEOUT_S = 4;
const MS_PER_S = 1_000;
/** Memory of the smallest machine that an entry runs on, megabytes. */
const MAX_MEMORY_MB = 350;
/** The stop time of deployments, seconds. Streams of several seconds end within it. */
const GRACE_S = 8;

describe("answers in progress", () => {
  let cluster: PlatformCluster;
  afterEach(() => cluster.stop());

  async function start(options: ClusterOptions = {}): Promise<void> {
    cluster = await PlatformCluster.start(ENGINES, { stream: STREAM, ...options });
    await waitUntil(
      "the configuration is accepted",
      async () => (await cluster.putConfig(0, createConfig(3))) === 200,
    );
    await waitForService();
  }

  async function waitForService(): Promise<void> {
    await waitUntil("all replicas serve", () => getHeads().length === ENGINES / REPLICA_SIZE);
    await waitUntil("the entry serves", async () => (await cluster.call("/app/x")).status === 200);
    await waitUntil("a stream is served", async () => (await cluster.call("/llm/x", MODEL)).status === 200);
  }

  function getHeads() {
    return cluster.workers.filter(({ place }) => place?.state === "open" && place.rank === 0);
  }

  async function startCallers(count: number, pauseMs = 0): Promise<KeepAliveCallers> {
    const { events } = STREAM;
    const callers = new KeepAliveCallers({ address: cluster.getEntryAddress(0), events, pauseMs });
    callers.start(count);
    await waitUntil("all replicas stream", () => getHeads().every((head) => head.streamCount >= 2));
    return callers;
  }

  it.each([
    ["at once", ["SIGTERM", "SIGTERM"], 0],
    ["after 20 ms, with a reload in between", ["SIGTERM", "SIGHUP", "SIGINT"], 20],
    ["three times at intervals of 200 ms", ["SIGTERM", "SIGTERM", "SIGTERM", "SIGHUP"], 200],
  ] as const)("are completed although the stop signal is repeated %s", async (_name, signals, gapMs) => {
    await start();
    const callers = await startCallers(CALLERS);
    for (const signal of signals) {
      cluster.entry.sendSignal(signal);
      await new Promise((resolve) => setTimeout(resolve, gapMs));
    }
    expect(await cluster.entry.waitForEnd()).toBe(0);
    await callers.waitUntilDisconnected();
    expect(callers.countByOutcome("cut")).toEqual({});
    expect(callers.getByOutcome("whole").length).toBeGreaterThanOrEqual(CALLERS);
    const log = readFileSync(cluster.entry.logFile, "utf8");
    expect(log).toContain("gateway_stopped");
    // Signals of the same kind may be merged while one is pending, so a repetition without delay may not be
    // logged.
    if (gapMs > 0) expect(log).toContain("stop_signal_repeated");
  });

  it.each(["entry", "control"] as const)(
    "a process of %s that receives signals during its start exits with code 0",
    async (role) => {
      await start();
      const handle = role === "entry" ? cluster.entry : cluster.controls[0]!;
      await handle.kill();
      handle.start();
      // Node.js itself catches SIGINT and SIGTERM before the program does, but never SIGHUP. A caught SIGHUP
      // shows that the program has installed its handlers.
      await waitUntil("the process handles signals", () => handle.handlesSignal("SIGHUP"));
      for (const signal of ["SIGHUP", "SIGTERM", "SIGHUP", "SIGTERM"] as const) handle.sendSignal(signal);
      const code = await handle.waitForEnd();
      expect(code, handle.lastOutput).toBe(0);
    },
  );

  it("end within the stop time although the entry handles the stop signal late", async () => {
    await start();
    const callers = await startCallers(CALLERS);
    cluster.entry.pause();
    cluster.entry.sendSignal("SIGTERM");
    const sentAt = performance.now();
    await new Promise((resolve) => setTimeout(resolve, SIGNAL_DELAY_MS));
    cluster.entry.resume();
    expect(await cluster.entry.waitForEnd()).toBe(0);
    expect(performance.now() - sentAt).toBeLessThan(STOP_TIMEOUT_S * MS_PER_S);
    await callers.waitUntilDisconnected();
  });

  it("are completed although their endpoint stalls and the retry budget is used up", async () => {
    await start({ budgetExtra: RETRY_BUDGET });
    const callers = await startCallers(CALLERS);
    for (const head of [...getHeads(), ...getHeads()]) {
      head.pauseStreams(STALL_MS);
      await new Promise((resolve) => setTimeout(resolve, STALL_MS + STALL_MS / 2));
    }
    await callers.stop();
    expect(callers.countByOutcome("cut")).toEqual({});
    expect(callers.getByOutcome("whole").length).toBeGreaterThanOrEqual(CALLERS);
  });

  it.each(["event", "body", "head", "informational"] as const)(
    "are not affected by endpoints that send without end (%s), and the entry's memory stays bounded",
    async (endless) => {
      await start();
      const callers = await startCallers(2 * CALLERS);
      const [first, ...others] = getHeads();
      first!.endless = endless;
      await waitUntil(
        "the first endpoint has sent without end to some callers",
        () => first!.endlessCount >= CALLERS / 2,
      );
      for (const head of others) head.endless = endless;
      await waitUntil("all endpoints have sent without end to some callers", () =>
        others.every((head) => head.endlessCount >= CALLERS),
      );
      for (const head of getHeads()) head.endless = undefined;
      const completeBefore = callers.getByOutcome("whole").length;
      await waitUntil(
        "streams are complete again",
        () => callers.getByOutcome("whole").length > completeBefore + CALLERS,
      );
      await callers.stop();
      expect(callers.countByOutcome("cut", "unanswered")).toEqual({});
      expect(cluster.entry.isRunning).toBe(true);
      expect(cluster.entry.peakMemoryMb).toBeLessThan(MAX_MEMORY_MB);
    },
  );

  it.each([60, 150])(
    "are completed for %i callers on persistent connections, and every request is answered until the process ends",
    async (count) => {
      await start({ graceS: GRACE_S });
      const callers = await startCallers(count);
      const ended = cluster.entry.stop();
      expect(await ended).toBe(0);
      await callers.waitUntilDisconnected();
      expect(callers.countByOutcome("cut", "unanswered")).toEqual({});
    },
  );
});
