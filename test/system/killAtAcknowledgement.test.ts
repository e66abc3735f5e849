/**
 * No entry may permanently refuse a request because of a declaration that a newer acknowledged one replaces.
 *
 * Failure: a change was acknowledged, all processes were killed within a millisecond, and 8.6 s later entries
 * in two failure domains answered 404 to a route that the change had added.
 * Cause: until a control process receives from a leader, it publishes the view that it persisted before it
 * was killed. The view is persisted within 50 ms of each change. A change that was acknowledged right before
 * the kill is in the log of a majority but in no persisted view, and an entry that had restarted applied the
 * older declaration as if it were current.
 * Evidence: both refusals in the record are of a route of the version that was acknowledged 1 ms before the
 * kill. This test reproduces them in its first round, from the time the entry listens until it receives from
 * a leader.
 */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createConfig } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import { waitUntil } from "../support/waitUntil";

const ROUNDS = 4;
/** Statuses that refuse a request permanently. */
const PERMANENT_STATUSES: ReadonlySet<number> = new Set([401, 403, 404]);
const POLL_MS = 5;

describe("after all processes are killed at an acknowledgement", () => {
  let cluster: PlatformCluster;
  beforeAll(async () => {
    cluster = await PlatformCluster.start(0);
  });
  afterAll(() => cluster.stop());

  /** Creates a configuration in which each version adds a route and a key. */
  function createExtendedConfig(version: number) {
    const config = createConfig(version);
    const [, plain] = config.routes;
    const added = { ...plain!, name: `r-${version}`, pathPrefix: `/added-${version}/` };
    const tenants = [...config.tenants, { name: "tenant-b", apiKeys: [`key-${version}`], priority: 1 }];
    return { ...config, routes: [...config.routes, added], tenants };
  }

  async function callAddedRoute(version: number): Promise<number | undefined> {
    const call = cluster.call(`/added-${version}/x`, { "api-key": `key-${version}` });
    return (await call.catch(() => undefined))?.status;
  }

  it("no request that the acknowledged declaration allows is refused permanently, from the entry's first answer on", async () => {
    for (let round = 0; round < ROUNDS; round++) {
      const version = 10 + round;
      const processes = [...cluster.controls, cluster.entry];
      await waitUntil(
        "the change is accepted",
        async () => (await cluster.putConfig(round % 3, createExtendedConfig(version))) === 200,
      );
      await Promise.all(processes.map((handle) => handle.kill()));
      for (const handle of processes) handle.start();
      const statuses: (number | undefined)[] = [];
      await waitUntil("the added route is served", async () => {
        const status = await callAddedRoute(version);
        statuses.push(status);
        await new Promise((resolve) => setTimeout(resolve, POLL_MS));
        return status === 200;
      });
      expect(statuses.filter((status) => status !== undefined && PERMANENT_STATUSES.has(status))).toEqual([]);
      await waitUntil(
        "a route that no declaration contains is refused permanently",
        async () => (await callAddedRoute(1)) === 404,
      );
    }
  });
});
