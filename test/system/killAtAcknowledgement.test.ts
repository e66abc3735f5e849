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
const FIRST_VERSION = 10;
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

  /** Gets the status of a request that only a version allows. */
  async function callAddedRoute(version: number): Promise<number | undefined> {
    const call = cluster.call(`/added-${version}/x`, { "api-key": `key-${version}` });
    return (await call.catch(() => undefined))?.status;
  }

  /** Requests of one round, from the entry's first answer until the added route is served. */
  interface Round {
    readonly version: number;
    /** Statuses of requests for the route that the version adds. */
    readonly added: readonly (number | undefined)[];
    /** Statuses of requests for the route that it drops. */
    readonly dropped: readonly (number | undefined)[];
  }

  /** Kills and restarts all processes right after a version is acknowledged. */
  async function runRound(version: number): Promise<Round> {
    const processes = [...cluster.controls, cluster.entry];
    await waitUntil(
      "the change is accepted",
      async () => (await cluster.putConfig(version % 3, createExtendedConfig(version))) === 200,
    );
    await Promise.all(processes.map((handle) => handle.kill()));
    for (const handle of processes) handle.start();
    const round: Round & { added: (number | undefined)[]; dropped: (number | undefined)[] } = {
      version,
      added: [],
      dropped: [],
    };
    await waitUntil("the added route is served", async () => {
      round.dropped.push(await callAddedRoute(version - 1));
      const status = await callAddedRoute(version);
      round.added.push(status);
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      return status === 200;
    });
    return round;
  }

  it("no request that the acknowledged declaration allows is refused permanently, from the entry's first answer on", async () => {
    for (let i = 0; i < ROUNDS; i++) {
      const { added } = await runRound(FIRST_VERSION + i);
      expect(added.filter((status) => status !== undefined && PERMANENT_STATUSES.has(status))).toEqual([]);
      await waitUntil(
        "a route that no declaration contains is refused permanently",
        async () => (await callAddedRoute(1)) === 404,
      );
    }
  });

  // Guards against entries that go by the declaration before the acknowledged one until there is a leader.
  it("no request is served that only the replaced declaration allows, from the entry's first answer on", async () => {
    for (let i = 0; i < ROUNDS; i++) {
      const { dropped } = await runRound(FIRST_VERSION + ROUNDS + i);
      expect(dropped).not.toContain(200);
    }
  });
});
