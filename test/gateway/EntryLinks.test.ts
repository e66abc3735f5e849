import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/consensus";
import { EntryLinks, type EntryLinksOptions } from "../../src/gateway/EntryLinks";
import { TargetPool } from "../../src/gateway/TargetPool";
import { type Target, TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";

function createTarget(index: number, service: string): Target {
  return create(TargetSchema, {
    id: `${service}-${index}`,
    service,
    address: `127.0.0.1:${index + 1}`,
    failureDomain: `zone-${index}`,
  });
}

function setUp(): { links: EntryLinks; pool: TargetPool; reports: string[] } {
  const random = new SeededRandom(1);
  const pool = new TargetPool(random);
  const reports: string[] = [];
  const links: EntryLinks = new EntryLinks({
    random,
    pool,
    clock: { getMonotonicMs: () => 0, getWallMs: () => 0 },
    client: { probe: async () => "refused", hasIdleConnection: () => false },
    logger: { info: () => {}, warn: () => {} },
    metrics: { gauge: () => {} },
    getLagMs: () => 0,
    reportLoss: async () => void reports.push(links.lostServices.join()),
  } as unknown as EntryLinksOptions);
  return { links, pool, reports };
}

/** Lets connections to all endpoints of a service fail. */
function lose(links: EntryLinks, targets: readonly Target[]): void {
  for (const target of targets) {
    links.destinations.addFailure(1_000, {
      target,
      since: 900,
      sentRequestId: undefined,
      isNewConnection: true,
    });
  }
}

describe("EntryLinks", () => {
  it("reports which services it does not reach, and that it reaches them again", () => {
    const { links, pool, reports } = setUp();
    const targets = [0, 1, 2].map((i) => createTarget(i, "app"));
    pool.setTargets(targets);
    lose(links, targets);
    links.destinations.addAnswer(1_100, targets[0]!, true);
    expect(reports).toEqual(["app", ""]);
    links.stop();
  });

  it("no longer reports a service whose endpoints were all removed, so that callers are sent to it again", () => {
    const { links, pool, reports } = setUp();
    const targets = [0, 1, 2].map((i) => createTarget(i, "app"));
    pool.setTargets(targets);
    lose(links, targets);
    pool.setTargets([createTarget(5, "llm")]);
    links.updateTargets();
    expect(reports).toEqual(["app", ""]);
    links.stop();
  });
});
