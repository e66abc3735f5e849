/** Processes whose log can't be written. */
import { closeSync, openSync } from "node:fs";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createConfig } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import { Cluster } from "../support/Cluster";
import { callEntry } from "../support/callEntry";
import { createConfiguration } from "../support/configuration";
import type { ProcessHandle } from "../support/ProcessHandle";
import { waitUntil } from "../support/waitUntil";

/** A device to which every write fails as on a full disk. */
const FULL_DEVICE = "/dev/full";
const SERVICE_PATH = "/v1/services/guichet/members";
const CALLS = 200;
const GRACE_S = 4;
const MS_PER_S = 1_000;

describe("a process whose log is on a full disk", () => {
  let cluster: PlatformCluster | Cluster;
  let output: number;
  beforeEach(() => {
    output = openSync(FULL_DEVICE, "w");
  });
  afterEach(async () => {
    await cluster.stop();
    closeSync(output);
  });

  /** Checks that processes whose log is on the full disk serve and stop. */
  async function expectService(
    handles: readonly ProcessHandle[],
    call: () => Promise<number>,
  ): Promise<void> {
    for (const handle of handles) {
      await handle.kill();
      handle.start(output);
    }
    await waitUntil("the entry serves", async () => (await call()) === 200);
    for (let i = 0; i < CALLS; i++) expect(await call()).toBe(200);
    const stoppedAt = performance.now();
    const codes = await Promise.all(handles.map((handle) => handle.stop()));
    expect(codes).toEqual(handles.map(() => 0));
    expect(performance.now() - stoppedAt).toBeLessThan(GRACE_S * MS_PER_S);
  }

  // Guards against a process that repeats the failing write for good, and neither answers its callers nor ends.
  it("serves, and stops in time", async () => {
    const platform = await PlatformCluster.start(0, { graceS: GRACE_S });
    cluster = platform;
    await waitUntil("the configuration is accepted", async () => {
      return (await platform.putConfig(0, createConfig(1))) === 200;
    });
    const handles = [platform.entry, platform.controls[0]!];
    await expectService(handles, async () => (await platform.call("/app/x")).status);
  });

  it("serves models and services, and stops in time", async () => {
    const system = await Cluster.start({ engines: 1, services: 1, entries: 1 });
    cluster = system;
    await system.apply(createConfiguration({ replicas: 1, size: 1 }));
    await expectService([system.entries[0]!], async () => {
      return (await callEntry(system.entryAddresses[0]!, { method: "GET", path: SERVICE_PATH })).status;
    });
  });
});
