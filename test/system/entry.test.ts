import { afterEach, describe, expect, it } from "vitest";
import { EngineStandin } from "../../standin/EngineStandin";
import { Cluster } from "../support/Cluster";
import { callEntry, createChat, parseStream } from "../support/callEntry";
import { createConfiguration } from "../support/configuration";
import { waitUntil } from "../support/waitUntil";

describe("entries under failure", () => {
  let cluster: Cluster;

  afterEach(() => cluster.stop());

  async function start(options: Parameters<typeof Cluster.start>[0] = {}) {
    cluster = await Cluster.start({ engines: 2, ...options });
    await cluster.apply(createConfiguration({ replicas: 2, size: 1 }));
    await cluster.waitForRouting(2);
  }

  async function getAddresses(entry: number): Promise<string[]> {
    const answer = await callEntry(cluster.entryAddresses[entry]!, { method: "GET", path: "/v1/addresses" });
    return JSON.parse(answer.text).addresses.map((item: { address: string }) => item.address);
  }

  function countRuns() {
    return cluster.engines.reduce((sum, engine) => sum + engine.ran.length, 0);
  }

  it("run nothing under a lease that expired while they were paused", async () => {
    await start();
    const [paused, other] = cluster.entryAddresses as [string, string];
    cluster.entries[0]!.pause();
    // The version is in force although the paused entry has not received it, because the lease of that entry
    // has expired.
    const version = await cluster.apply(createConfiguration({ replicas: 2, size: 1, extra: "# newer" }));
    expect(version).toBe(2);
    const before = countRuns();
    const pending = Array.from({ length: 5 }, () => callEntry(paused, { body: createChat("frozen") }));
    await callEntry(other, { body: createChat("other") });
    expect(countRuns()).toBe(before + 1);
    cluster.entries[0]!.resume();
    for (const answer of await Promise.all(pending)) {
      // The entry either renewed its lease first and received the newer version, or it refused.
      if (answer.status === 200) continue;
      expect(answer.headers["ploverstage-outcome"]).toBe("not-run");
    }
    const served = (await Promise.all(pending)).filter((answer) => answer.status === 200).length;
    expect(countRuns()).toBe(before + 1 + served);
  });

  it("refuse with other addresses while no control process is reachable, and serve again afterwards", async () => {
    await start();
    for (const control of cluster.controls) control.pause();
    const refused = await waitUntil("the lease expires", async () => {
      const answer = await callEntry(cluster.entryAddresses[0]!, { body: createChat("lapsed") });
      return answer.status === 503 && answer;
    });
    expect(JSON.parse(refused.text).error).toMatchObject({ code: "lease_lapsed", outcome: "not-run" });
    expect(JSON.parse(refused.text).error.addresses).toEqual([cluster.entryAddresses[1]]);
    expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
    for (const control of cluster.controls) control.resume();
    await cluster.waitForRouting(2);
  });

  it("are removed from the published addresses within seconds of a crash, and another entry serves", async () => {
    await start();
    await cluster.entries[0]!.kill();
    await waitUntil("the address of the killed entry is no longer published", async () => {
      const addresses = await getAddresses(1);
      return addresses.length === 1 && addresses[0] === cluster.entryAddresses[1];
    });
    const answer = await callEntry(cluster.entryAddresses[1]!, { body: createChat("elsewhere") });
    expect(parseStream(answer.text).hasEndMarker).toBe(true);
  });

  it("cut nothing in a planned stop, and serve until the TTL of published addresses has expired", async () => {
    await start({ engine: { tokenMs: 40 } });
    const [stopping, other] = cluster.entryAddresses as [string, string];
    let hasBegun = false;
    const long = callEntry(stopping, {
      body: createChat("long", { maxTokens: 100 }),
      onChunk: () => {
        hasBegun = true;
      },
    });
    await waitUntil("the stream has begun", () => hasBegun);
    const stopped = cluster.entries[0]!.stop();
    await waitUntil("the address of the stopping entry is no longer published", async () => {
      return !(await getAddresses(1)).includes(stopping);
    });
    const lateAnswer = await callEntry(stopping, { body: createChat("late") });
    expect(parseStream(lateAnswer.text).hasEndMarker).toBe(true);
    const answer = parseStream((await long).text);
    expect(answer).toEqual({
      content: EngineStandin.getAnswer("user: long", 100),
      hasEndMarker: true,
      error: undefined,
    });
    expect(await stopped).toBe(0);
    // The entry returned its lease, so no process waits for the lease to expire.
    const status = await (await cluster.getOperator()).getStatus();
    expect(status.entries.map((entry) => entry.address)).toEqual([other]);
    const elsewhere = await callEntry(other, { body: createChat("other") });
    expect(elsewhere.status).toBe(200);
  });

  it("leave a claim when they are killed during a run, so that a resend never runs", async () => {
    await start({ engine: { tokenMs: 50 } });
    const headers = { "ploverstage-repeatable": "no", "idempotency-key": "statement-7" };
    const request = { body: createChat("issue", { maxTokens: 200 }), headers };
    let hasBegun = false;
    const first = callEntry(cluster.entryAddresses[0]!, {
      ...request,
      onChunk: () => {
        hasBegun = true;
      },
    }).catch(() => undefined);
    await waitUntil("the run has begun", () => hasBegun);
    await cluster.entries[0]!.kill();
    await first;
    const runs = countRuns();
    const resend = await waitUntil("the first outcome is recorded as unknown", async () => {
      const answer = await callEntry(cluster.entryAddresses[1]!, request);
      return JSON.parse(answer.text).error?.code === "claim_unknown" && answer;
    });
    expect(resend.status).toBe(409);
    expect(resend.headers["ploverstage-outcome"]).toBe("unknown");
    expect(countRuns()).toBe(runs);
  });
});
