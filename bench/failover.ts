/** `failover`: the leader is killed; how long nothing is accepted, and requests go on. */

import { DEFAULT_TIMING } from "../src/consensus";
import { Cluster } from "../test/support/Cluster";
import { callEntry, createChat } from "../test/support/callEntry";
import { createConfiguration } from "../test/support/configuration";
import type { Bench, Figure } from "./Figure";

/** The bench. */
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
    const gaps: number[] = [];
    let refused = 0;
    for (let round = 0; round < ROUNDS; round++) {
      const leader = await cluster.getLeader();
      const callers = callUntil(cluster, () => gaps.length > round);
      gaps.push(await measureGap(cluster, leader, `${text}# ${round}\n`, round));
      refused += await callers;
      cluster.controls[leader]!.start();
      await cluster.waitForStatus("all members answer", (status) =>
        status.members.every(
          (member) => member.leader || (member.answeredMsAgo >= 0 && member.answeredMsAgo < 500),
        ),
      );
    }
    gaps.sort((a, b) => a - b);
    return [
      { figure: "gap_p50", value: gaps[Math.floor(ROUNDS / 2)]!, unit: "ms" },
      { figure: "gap_max", value: gaps.at(-1)!, unit: "ms" },
      { figure: "gap_to_election", value: gaps.at(-1)! / DEFAULT_TIMING.electionMaxMs, unit: "ratio" },
      { figure: "requests_refused", value: refused, unit: "requests" },
    ];
  } finally {
    await cluster.stop();
  }
}

/** From the kill to the first change that is accepted. */
async function measureGap(cluster: Cluster, leader: number, text: string, round: number): Promise<number> {
  const operator = await cluster.getOperator();
  const newest = await operator.getConfiguration();
  await cluster.controls[leader]!.kill();
  const startedAt = performance.now();
  const change = { changeId: `failover-${round}`, baseVersion: newest!.version, operator: "bench", text };
  await operator.apply(change);
  return performance.now() - startedAt;
}

/** Sends requests one after another; gives how many were refused meanwhile. */
async function callUntil(cluster: Cluster, isOver: () => boolean): Promise<number> {
  let refused = 0;
  while (!isOver()) {
    const answer = await callEntry(cluster.entryAddresses[0]!, { body: createChat("going on") });
    if (answer.status !== 200) refused += 1;
  }
  return refused;
}
