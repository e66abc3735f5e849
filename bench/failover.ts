/**
 * `failover`: kills the leader and measures how long no change is accepted, and how many requests are refused
 * meanwhile.
 */

import { DEFAULT_TIMING } from "../src/consensus";
import { Cluster } from "../test/support/Cluster";
import { callEntry, createChat } from "../test/support/callEntry";
import { createConfiguration } from "../test/support/configuration";
import type { Bench, Figure } from "./Figure";

export const failoverBench: Bench = { name: "failover", run };

const ROUNDS = 5;

async function run(): Promise<Figure[]> {
  const cluster = await Cluster.start({ entries: 1, logLevel: "warn" });
  try {
    const text = createConfiguration()
      .replace("lease = 1500", "lease = 3000")
      .replace("renew = 150", "renew = 500");
    await cluster.apply(text);
    await cluster.waitForRouting(1);
    const gapsMs: number[] = [];
    let refused = 0;
    for (let round = 0; round < ROUNDS; round++) {
      const leader = await cluster.getLeader();
      const refusals = countRefusedUntil(cluster, () => gapsMs.length > round);
      gapsMs.push(await measureGapMs(cluster, leader, `${text}# ${round}\n`, round));
      refused += await refusals;
      cluster.controls[leader]!.start();
      await cluster.waitForStatus("all members answer", (status) =>
        status.members.every(
          (member) => member.leader || (member.answeredMsAgo >= 0 && member.answeredMsAgo < 500),
        ),
      );
    }
    gapsMs.sort((a, b) => a - b);
    return [
      { figure: "gap_p50", value: gapsMs[Math.floor(ROUNDS / 2)]!, unit: "ms" },
      { figure: "gap_max", value: gapsMs.at(-1)!, unit: "ms" },
      { figure: "gap_to_election", value: gapsMs.at(-1)! / DEFAULT_TIMING.electionMaxMs, unit: "ratio" },
      { figure: "requests_refused", value: refused, unit: "requests" },
    ];
  } finally {
    await cluster.stop();
  }
}

/** Gets the time from the kill of the leader to the first accepted change, milliseconds. */
async function measureGapMs(cluster: Cluster, leader: number, text: string, round: number): Promise<number> {
  const operator = await cluster.getOperator();
  const current = await operator.getConfiguration();
  await cluster.controls[leader]!.kill();
  const startedAt = performance.now();
  const change = { changeId: `failover-${round}`, baseVersion: current!.version, operator: "bench", text };
  await operator.apply(change);
  return performance.now() - startedAt;
}

/** Sends requests one after another until `isOver` returns true. Returns the number of refused requests. */
async function countRefusedUntil(cluster: Cluster, isDone: () => boolean): Promise<number> {
  let refused = 0;
  while (!isDone()) {
    const answer = await callEntry(cluster.entryAddresses[0]!, { body: createChat("going on") });
    if (answer.status !== 200) refused += 1;
  }
  return refused;
}
