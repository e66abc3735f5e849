import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createConfig, MODEL, STREAM } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import { waitUntil } from "../support/waitUntil";

/** Maximum time until a changed view is persisted, milliseconds. */
const PERSIST_MS = 1_000;
/** More than the 1 s without a message after which an entry regards its control process as lost. */
const CONTROL_LOSS_MS = 1_200;

describe("after the loss of all processes", () => {
  let cluster: PlatformCluster;
  beforeAll(async () => {
    cluster = await PlatformCluster.start(4);
    await waitUntil(
      "the configuration is accepted",
      async () => (await cluster.putConfig(0, createConfig(3))) === 200,
    );
    await waitForStream();
    await new Promise((resolve) => setTimeout(resolve, PERSIST_MS));
  });
  afterAll(() => cluster.stop());

  async function waitForStream(): Promise<void> {
    await waitUntil("a stream is served", async () => {
      const answer = await cluster.call("/llm/draft", MODEL);
      return answer.status === 200 && answer.body === STREAM;
    });
  }

  it("one control process without a majority suffices to serve and to resolve entries, but confirms nothing", async () => {
    const [first, ...others] = cluster.controls;
    await Promise.all([...cluster.controls, cluster.entry].map((handle) => handle.kill()));
    cluster.entry.start();
    first!.start();
    await waitForStream();
    expect((await cluster.call("/app/x")).status).toBe(200);
    // The newest declaration may contain the key, which no process can confirm yet.
    const refused = await cluster.call("/app/x", { "api-key": "unknown" });
    expect(refused.status).toBe(503);
    expect(refused.body).toContain("unconfirmed_declaration");
    const directory = await fetch(`http://${cluster.getDirectory(0)}/-/resolve?name=n&region=r&zone=zone-a`);
    expect(((await directory.json()) as { addresses: string[] }).addresses).toHaveLength(1);
    expect((await cluster.getConfig(0)).status).toBe(503);
    for (const control of others) control.start();
    await waitUntil(
      "a majority accepts changes",
      async () => (await cluster.putConfig(0, createConfig(4))) === 200,
    );
    await waitForStream();
    await waitUntil("an unknown key is refused permanently", async () => {
      const { status } = await cluster.call("/app/x", { "api-key": "unknown" });
      return status === 401;
    });
  });

  it("an entry without a connection to control continues to serve but refuses nothing permanently", async () => {
    const callUnknown = () => cluster.call("/app/x", { "api-key": "unknown" });
    await waitUntil(
      "an unknown key is refused permanently",
      async () => (await callUnknown()).status === 401,
    );
    await Promise.all(cluster.controls.map((handle) => handle.kill()));
    await new Promise((resolve) => setTimeout(resolve, CONTROL_LOSS_MS));
    const refused = await callUnknown();
    expect(refused.status).toBe(503);
    expect(refused.body).toContain("unconfirmed_declaration");
    expect((await cluster.call("/app/x")).status).toBe(200);
    await waitForStream();
    for (const control of cluster.controls) control.start();
    await waitUntil(
      "an unknown key is refused permanently again",
      async () => (await callUnknown()).status === 401,
    );
  });

  it("a control process without a leader does not publish an entry that has ended", async () => {
    const [first, ...others] = cluster.controls;
    const resolve = () => fetch(`http://${cluster.getDirectory(0)}/-/resolve?name=n&region=r&zone=zone-a`);
    await waitUntil("the entry is published", async () => (await resolve()).ok);
    await Promise.all([...others, cluster.entry].map((handle) => handle.kill()));
    expect(first!.isRunning).toBe(true);
    await waitUntil("the entry is no longer published", async () => (await resolve()).status === 503);
    await new Promise((done) => setTimeout(done, PERSIST_MS));
    expect((await resolve()).status).toBe(503);
    for (const handle of [...others, cluster.entry]) handle.start();
    await waitForStream();
  });
});
