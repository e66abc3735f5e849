/**
 * No entry may refuse for good by a declaration that a newer acknowledged one overrules.
 *
 * What users saw: a change was acknowledged, all processes were killed within a millisecond, and 8.6 s later
 * entries in two failure domains answered 404 to a route that the change had added.
 * What happened: each control process shows entries what it showed before it was killed, until a leader is heard.
 * That is kept on disk within 50 ms of each change, so an acknowledgement right before the kill is in the log of a
 * majority, but in nobody's kept view. An entry that had started went by the older declaration as if it held.
 * Evidence: both refusals of the record name a route of the version acknowledged 1 ms before the kill; here the same in
 * the first round, from the entry's first listening until it heard a leader.
 */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { createConfig } from "../platform/createConfig";
import { PlatformCluster } from "../platform/PlatformCluster";
import { waitUntil } from "../support/waitUntil";

const ROUNDS = 4;
/** Statuses that end a request for good. */
const FINAL: ReadonlySet<number> = new Set([401, 403, 404]);
const POLL_MS = 5;

describe("after all processes were killed at an acknowledgement", () => {
  let cluster: PlatformCluster;
  beforeAll(async () => {
    cluster = await PlatformCluster.start(0);
  });
  afterAll(() => cluster.stop());

  /** Each version adds a route and a key. */
  function createGrown(version: number) {
    const config = createConfig(version);
    const [, plain] = config.routes;
    const added = { ...plain!, name: `r-${version}`, pathPrefix: `/added-${version}/` };
    const tenants = [...config.tenants, { name: "tenant-b", apiKeys: [`key-${version}`], priority: 1 }];
    return { ...config, routes: [...config.routes, added], tenants };
  }

  async function callAdded(version: number): Promise<number | undefined> {
    const call = cluster.call(`/added-${version}/x`, { "api-key": `key-${version}` });
    return (await call.catch(() => undefined))?.status;
  }

  it("nothing that the acknowledged declaration allows is refused for good, from the entry's first answer on", async () => {
    for (let round = 0; round < ROUNDS; round++) {
      const version = 10 + round;
      const processes = [...cluster.controls, cluster.entry];
      await waitUntil(
        "the change is taken",
        async () => (await cluster.putConfig(round % 3, createGrown(version))) === 200,
      );
      await Promise.all(processes.map((handle) => handle.kill()));
      for (const handle of processes) handle.start();
      const statuses: (number | undefined)[] = [];
      await waitUntil("it is served", async () => {
        const status = await callAdded(version);
        statuses.push(status);
        await new Promise((resolve) => setTimeout(resolve, POLL_MS));
        return status === 200;
      });
      expect(statuses.filter((status) => status !== undefined && FINAL.has(status))).toEqual([]);
      await waitUntil("what none allows is refused for good", async () => (await callAdded(1)) === 404);
    }
  });
});
