import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createConfig, MODEL, STREAM } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import { waitUntil } from "../support/waitUntil";

/** A view is kept at the latest so long after it changed. */
const KEPT_MS = 1_000;
/** An entry gives a silent control process up after a second. */
const UNHEARD_MS = 1_200;

describe("after a loss of every process", () => {
  let cluster: PlatformCluster;
  beforeAll(async () => {
    cluster = await PlatformCluster.start(4);
    await waitUntil(
      "the configuration is taken",
      async () => (await cluster.putConfig(0, createConfig(3))) === 200,
    );
    await waitForStream();
    await new Promise((resolve) => setTimeout(resolve, KEPT_MS));
  });
  afterAll(() => cluster.stop());

  async function waitForStream(): Promise<void> {
    await waitUntil("a stream is served", async () => {
      const answer = await cluster.call("/llm/draft", MODEL);
      return answer.status === 200 && answer.body === STREAM;
    });
  }

  it("one control process without a majority is enough to serve and to be found, but tells nothing as certain", async () => {
    const [first, ...others] = cluster.controls;
    await Promise.all([...cluster.controls, cluster.entry].map((handle) => handle.kill()));
    cluster.entry.start();
    first!.start();
    await waitForStream();
    expect((await cluster.call("/app/x")).status).toBe(200);
    // The newest declaration may know the key: nobody can tell yet.
    const refused = await cluster.call("/app/x", { "api-key": "unknown" });
    expect(refused.status).toBe(503);
    expect(refused.body).toContain("unconfirmed_declaration");
    const directory = await fetch(`http://${cluster.getDirectory(0)}/-/resolve?name=n&region=r&zone=zone-a`);
    expect(((await directory.json()) as { addresses: string[] }).addresses).toHaveLength(1);
    expect((await cluster.getConfig(0)).status).toBe(503);
    for (const control of others) control.start();
    await waitUntil(
      "a majority takes changes",
      async () => (await cluster.putConfig(0, createConfig(4))) === 200,
    );
    await waitForStream();
    await waitUntil("an unknown key is refused for good", async () => {
      const { status } = await cluster.call("/app/x", { "api-key": "unknown" });
      return status === 401;
    });
  });

  it("an entry that no control process speaks to any more serves on, but refuses nothing for good", async () => {
    const callUnknown = () => cluster.call("/app/x", { "api-key": "unknown" });
    await waitUntil("an unknown key is refused for good", async () => (await callUnknown()).status === 401);
    await Promise.all(cluster.controls.map((handle) => handle.kill()));
    await new Promise((resolve) => setTimeout(resolve, UNHEARD_MS));
    const refused = await callUnknown();
    expect(refused.status).toBe(503);
    expect(refused.body).toContain("unconfirmed_declaration");
    expect((await cluster.call("/app/x")).status).toBe(200);
    await waitForStream();
    for (const control of cluster.controls) control.start();
    await waitUntil(
      "an unknown key is refused for good again",
      async () => (await callUnknown()).status === 401,
    );
  });

  it("a control process that hears no leader names no entry that is gone", async () => {
    const [first, ...others] = cluster.controls;
    const resolve = () => fetch(`http://${cluster.getDirectory(0)}/-/resolve?name=n&region=r&zone=zone-a`);
    await waitUntil("the entry is named", async () => (await resolve()).ok);
    await Promise.all([...others, cluster.entry].map((handle) => handle.kill()));
    expect(first!.isRunning).toBe(true);
    await waitUntil("it is named no more", async () => (await resolve()).status === 503);
    await new Promise((done) => setTimeout(done, KEPT_MS));
    expect((await resolve()).status).toBe(503);
    for (const handle of [...others, cluster.entry]) handle.start();
    await waitForStream();
  });
});
