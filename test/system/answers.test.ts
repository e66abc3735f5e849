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
/** Repeats of one entry of eight where the bound is 134 in a window. */
const ONE_OF_EIGHT = 17;
const STILL_MS = 900;
const LATE_MS = 1_500;
const SHORT_GRACE_S = 4;
const MS_PER_S = 1_000;
/** Memory of the smallest machine that an entry runs on. */
const MACHINE_MB = 350;
/** As deployments have it: streams of seconds end within it. */
const GRACE_S = 8;

describe("an answer that has begun comes to its end", () => {
  let cluster: PlatformCluster;
  afterEach(() => cluster.stop());

  async function start(options: ClusterOptions = {}): Promise<void> {
    cluster = await PlatformCluster.start(ENGINES, { stream: STREAM, ...options });
    await waitUntil(
      "the configuration is taken",
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
    ["after 20 ms, with a reload between", ["SIGTERM", "SIGHUP", "SIGINT"], 20],
    ["each 200 ms, three times", ["SIGTERM", "SIGTERM", "SIGTERM", "SIGHUP"], 200],
  ] as const)("though a stop signal comes again, %s", async (_name, signals, gapMs) => {
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
    // A signal that still waits when it comes again is one for the process.
    if (gapMs > 0) expect(log).toContain("stop_signal_repeated");
  });

  it.each(["entry", "control"] as const)(
    "and signals that come while a process of %s starts end it in order",
    async (role) => {
      await start();
      const handle = role === "entry" ? cluster.entry : cluster.controls[0]!;
      await handle.kill();
      handle.start();
      // Node handles stop signals by itself before the program does, and reloads never.
      await waitUntil("it handles signals", () => handle.handles("SIGHUP"));
      for (const signal of ["SIGHUP", "SIGTERM", "SIGHUP", "SIGTERM"] as const) handle.sendSignal(signal);
      const code = await handle.waitForEnd();
      expect(code, handle.lastOutput).toBe(0);
    },
  );

  it("or is cut by its entry, within the time to stop, though the signal is handled late", async () => {
    await start();
    const callers = await startCallers(CALLERS);
    cluster.entry.freeze();
    cluster.entry.sendSignal("SIGTERM");
    const sentAt = performance.now();
    await new Promise((resolve) => setTimeout(resolve, LATE_MS));
    cluster.entry.thaw();
    expect(await cluster.entry.waitForEnd()).toBe(0);
    expect(performance.now() - sentAt).toBeLessThan(SHORT_GRACE_S * MS_PER_S);
    await callers.waitUntilDisconnected();
  });

  it("though its endpoint stands still for a while and no repeat is left", async () => {
    await start({ budgetExtra: ONE_OF_EIGHT });
    const callers = await startCallers(CALLERS);
    for (const head of [...getHeads(), ...getHeads()]) {
      head.pauseStreams(STILL_MS);
      await new Promise((resolve) => setTimeout(resolve, STILL_MS + STILL_MS / 2));
    }
    await callers.stop();
    expect(callers.countByOutcome("cut")).toEqual({});
    expect(callers.getByOutcome("whole").length).toBeGreaterThanOrEqual(CALLERS);
  });

  it.each(["event", "body", "head", "informational"] as const)(
    "and endpoints that send without end (%s) take neither others' answers nor the entry's memory",
    async (endless) => {
      await start();
      const callers = await startCallers(2 * CALLERS);
      const [first, ...others] = getHeads();
      first!.endless = endless;
      await waitUntil("it has sent to some", () => first!.endlessCount >= CALLERS / 2);
      for (const head of others) head.endless = endless;
      await waitUntil("all have sent to some", () => others.every((head) => head.endlessCount >= CALLERS));
      for (const head of getHeads()) head.endless = undefined;
      const before = callers.getByOutcome("whole").length;
      await waitUntil(
        "streams are whole again",
        () => callers.getByOutcome("whole").length > before + CALLERS,
      );
      await callers.stop();
      expect(callers.countByOutcome("cut", "unanswered")).toEqual({});
      expect(cluster.entry.isRunning).toBe(true);
      expect(cluster.entry.peakMemoryMb).toBeLessThan(MACHINE_MB);
    },
  );

  it.each([60, 150])(
    "and %i callers on kept connections get an answer to all that they send until the process is gone",
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
