import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createConfig, MODEL, STREAM } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import { waitUntil } from "../support/waitUntil";

/** Peers close a session after two pings without an answer, which takes 1.4 s. The pause is longer. */
const PAUSE_MS = 2_500;
/**
 * Time for which the replicas must be unchanged before a planned stop is tested. Instances that reported to a
 * paused control process switch to another one after 1 s, which is also the longest time without a heartbeat
 * that this test allows them. In one of two runs with logs the new leader abandoned all replicas 1.1 s after
 * it began; in the other it had received from all instances only after 2.6 s.
 */
const STEADY_MS = 3_000;

describe("system on the platform", () => {
  let cluster: PlatformCluster;
  beforeAll(async () => {
    cluster = await PlatformCluster.start(5);
  });
  afterAll(() => cluster.stop());

  async function waitForStream(): Promise<void> {
    await waitUntil("a stream is served", async () => {
      const answer = await cluster.call("/llm/draft", MODEL);
      return answer.status === 200 && answer.body === STREAM;
    });
  }

  function getOpenReplicas(): string {
    const open = cluster.workers.filter((worker) => worker.place?.state === "open");
    return open.map((worker) => worker.place!.name).join();
  }

  /** Waits until the set of open replicas has not changed for a fixed time. */
  async function waitForSteadyReplicas(): Promise<void> {
    let seen = "";
    let since = performance.now();
    await waitUntil("the open replicas don't change", () => {
      const now = performance.now();
      const open = getOpenReplicas();
      if (open !== seen || open === "") since = now;
      seen = open;
      return now - since >= STEADY_MS;
    });
  }

  it("answers 503 without a configuration, accepts the first one and serves both kinds of service", async () => {
    await waitUntil("the entry answers", async () => (await cluster.call("/app/x")).status === 503);
    await waitUntil(
      "the configuration is accepted",
      async () => (await cluster.putConfig(0, createConfig(3))) === 200,
    );
    await waitForStream();
    const plain = await cluster.call("/app/x?y=1");
    expect(plain).toEqual({ status: 200, body: "tenant-a POST /app/x?y=1 hello" });
    expect((await cluster.call("/other/")).status).toBe(404);
    expect((await cluster.call("/app/x", { "api-key": "unknown" })).status).toBe(401);
  });

  it("forms complete replicas only and gives no worker two places", () => {
    const open = cluster.workers.filter((worker) => worker.place?.state === "open");
    expect(open.length).toBeGreaterThan(0);
    for (const head of open) {
      const { name, epoch } = head.place!;
      const members = cluster.workers.filter((worker) => worker.place?.name === name);
      expect(members.map((worker) => worker.place?.epoch)).toEqual([epoch, epoch]);
      expect(members.map((worker) => worker.place?.state).sort()).toEqual(["open", "ready"]);
    }
  });

  it("publishes the entry's address at every control process", async () => {
    for (const index of [0, 1, 2]) {
      await waitUntil("the directory answers", async () => {
        const answer = await fetch(
          `http://${cluster.getDirectory(index)}/-/resolve?name=n&region=r&zone=zone-a`,
        );
        if (!answer.ok) return false;
        const { addresses, ttlS } = (await answer.json()) as { addresses: string[]; ttlS: number };
        return addresses.length === 1 && ttlS > 0;
      });
    }
  });

  it("retains the highest version, acknowledges a resend and rejects an invalid configuration", async () => {
    expect(await cluster.putConfig(1, createConfig(9))).toBe(200);
    expect(await cluster.putConfig(2, createConfig(9))).toBe(200);
    expect(await cluster.putConfig(2, createConfig(5, { tenants: [] }))).toBe(200);
    expect(await cluster.putConfig(0, JSON.stringify(createConfig(20)).slice(0, 200))).toBe(400);
    expect(await cluster.putConfig(0, createConfig(21, { services: [] }))).toBe(400);
    const read = await waitUntil("the configuration is read back", async () => {
      const answer = await cluster.getConfig(1);
      return answer.status === 200 ? answer.body : undefined;
    });
    expect(read).toBe(JSON.stringify(createConfig(9)));
  });

  it("repairs a replica that lost a worker", async () => {
    const head = cluster.workers.find((worker) => worker.place?.state === "open")!;
    const member = cluster.workers.find(
      (worker) => worker !== head && worker.place?.name === head.place?.name,
    )!;
    const { name } = head.place!;
    member.crash();
    await waitUntil("the replica is abandoned", () => head.place?.name !== name);
    await waitForStream();
  });

  it("reports metrics of its requests", async () => {
    const text = await cluster.getMetrics();
    expect(text).toMatch(/ploverstage_gateway_requests_total\{kind="stream",outcome="done"[^}]*\} \d+/);
    expect(text).toMatch(/ploverstage_gateway_first_event_ms_bucket/);
  });

  it("sends no request to a plain worker after its leave is confirmed", async () => {
    const [leaving] = cluster.workers;
    const next = await cluster.addWorker("app-1", "app", "");
    await waitUntil("the next worker serves", async () => {
      await cluster.call("/app/x");
      return next.ran.length > 0;
    });
    expect(await leaving!.drain()).toBe(true);
    const before = await waitUntil("the last request of the leaving worker has ended", async () => {
      const count = leaving!.ran.length;
      await cluster.call("/app/x");
      return leaving!.ran.length === count ? count : undefined;
    });
    for (let i = 0; i < 10; i++) expect((await cluster.call("/app/x")).status).toBe(200);
    expect(leaving!.ran.length).toBe(before);
  });

  it("serves, retains acknowledged changes and accepts new ones when any control process is killed", async () => {
    for (const [index, control] of cluster.controls.entries()) {
      await control.kill();
      const other = (index + 1) % 3;
      const version = 30 + index;
      await waitUntil(
        "a change is accepted",
        async () => (await cluster.putConfig(other, createConfig(version))) === 200,
      );
      expect((await cluster.call("/app/x")).status).toBe(200);
      await waitForStream();
      control.start();
      await waitUntil("the restarted control process returns the change", async () => {
        const answer = await cluster.getConfig(index);
        return answer.status === 200 && answer.body === JSON.stringify(createConfig(version));
      });
    }
  });

  it("keeps each control process working after it was paused until its peers closed their sessions with it", async () => {
    for (const [index, control] of cluster.controls.entries()) {
      control.pause();
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
      control.resume();
      await waitUntil(
        "the resumed control process returns the configuration",
        async () => (await cluster.getConfig(index)).status === 200,
      );
      expect(control.isRunning).toBe(true);
    }
    await waitForStream();
  });

  it("completes every answer in a planned stop", async () => {
    await waitForSteadyReplicas();
    const calls = Array.from({ length: 5 }, () => cluster.call("/llm/draft", MODEL));
    const served = Promise.all(calls);
    await waitUntil("the calls have begun", () =>
      cluster.workers.some((worker) => worker.place?.state === "open"),
    );
    const [code, answers] = await Promise.all([cluster.entry.stop(), served]);
    expect(code).toBe(0);
    // The comparison includes the bodies because the body of a refusal contains its reason.
    const seen = answers.map(({ status, body }) => ({ status, body }));
    expect(seen).toEqual(Array.from({ length: 5 }, () => ({ status: 200, body: STREAM })));
  });
});
