/** Processes whose log can't be written. */
import { closeSync, openSync } from "node:fs";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createConfig } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import { waitUntil } from "../support/waitUntil";

/** A device to which every write fails as on a full disk. */
const FULL_DEVICE = "/dev/full";
const CALLS = 200;
const GRACE_S = 4;
const MS_PER_S = 1_000;

describe("a process whose log is on a full disk", () => {
  let cluster: PlatformCluster;
  let output: number;
  beforeEach(() => {
    output = openSync(FULL_DEVICE, "w");
  });
  afterEach(async () => {
    await cluster.stop();
    closeSync(output);
  });

  async function call(): Promise<number> {
    return (await cluster.call("/app/x")).status;
  }

  // Guards against a process that repeats the failing write for good, and neither answers its callers nor ends.
  it("serves, and stops in time", async () => {
    cluster = await PlatformCluster.start(0, { graceS: GRACE_S });
    await waitUntil("the configuration is accepted", async () => {
      return (await cluster.putConfig(0, createConfig(1))) === 200;
    });
    const handles = [cluster.entry, cluster.controls[0]!];
    for (const handle of handles) {
      await handle.kill();
      handle.start(output);
    }
    await waitUntil("the entry serves", async () => (await call()) === 200);
    for (let i = 0; i < CALLS; i++) expect(await call()).toBe(200);
    const stoppedAt = performance.now();
    const codes = await Promise.all(handles.map((handle) => handle.stop()));
    expect(codes).toEqual([0, 0]);
    expect(performance.now() - stoppedAt).toBeLessThan(GRACE_S * MS_PER_S);
  });
});
