/**
 * `lives`: an instance ends and starts again, under its own id and under another id, in a small and in a
 * large fleet. Measures the time until it runs a request, and the cost of checking reports.
 */

import { readHeartbeat } from "../platform/PlatformReports";
import { pause } from "../src/clock";
import { checkReport } from "../src/registration/checkReport";
import { createConfig } from "../test/platform/createConfig";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import type { WorkerStandin } from "../test/platform/WorkerStandin";
import type { Bench, Figure } from "./Figure";

export const livesBench: Bench = { name: "lives", run };

const FEW_INSTANCES = 3;
const MANY_INSTANCES = 222;
const DOMAIN_SIZE = 37;
const REPORT_INTERVAL_MS = 1_200;
const REPORT_COUNT = 500;
const ROUNDS = 5;
const POLL_INTERVAL_MS = 20;
const TIMEOUT_MS = 20_000;
/** Heartbeats that the largest fleet sends within one report interval. */
const HEARTBEAT_COUNT = 12_000;
const HEARTBEAT = JSON.stringify({
  service: "huvo11a",
  address: "10.128.0.9:8080",
  zone: "zone-a",
  version: "v1",
  slots: 18,
  state: "ready",
  coldRemainingMs: 0,
  stage: "both",
  models: [{ name: "daka510000", version: 1, adapters: [] }],
  staged: ["daka510000"],
  group: { name: "g-7", epoch: 12, rank: 3, state: "ready" },
  seqNo: 4,
  born: 1_786_000_000_123,
});

async function run(): Promise<Figure[]> {
  const few = await measure(FEW_INSTANCES);
  const many = await measure(MANY_INSTANCES);
  return [
    { figure: `same_id_${FEW_INSTANCES}`, value: few.sameIdMs, unit: "ms" },
    { figure: `other_id_${FEW_INSTANCES}`, value: few.otherIdMs, unit: "ms" },
    { figure: `same_id_${MANY_INSTANCES}`, value: many.sameIdMs, unit: "ms" },
    { figure: `other_id_${MANY_INSTANCES}`, value: many.otherIdMs, unit: "ms" },
    { figure: "check_ratio", value: measureCheckRatio(), unit: "ratio" },
  ];
}

/** The longest time over all rounds, milliseconds. */
interface RestartTimes {
  readonly sameIdMs: number;
  readonly otherIdMs: number;
}

async function measure(engines: number): Promise<RestartTimes> {
  const cluster = await PlatformCluster.start(engines, {
    reportMs: REPORT_INTERVAL_MS,
    domainSize: DOMAIN_SIZE,
    firstReportCount: REPORT_COUNT,
  });
  try {
    while ((await cluster.putConfig(0, createConfig(1)).catch(() => 0)) !== 200)
      await pause(POLL_INTERVAL_MS);
    let worker = cluster.workers.find(({ id }) => id === "app-0")!;
    await waitForRequest(cluster, worker);
    const sameIdTimesMs: number[] = [];
    const otherIdTimesMs: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      worker = await cluster.restartWorker(worker, { reportCount: 0 });
      sameIdTimesMs.push(await waitForRequest(cluster, worker));
      worker.crash();
      worker = await cluster.addWorker(`app-${round + 1}`, "app", "", { reportCount: REPORT_COUNT });
      otherIdTimesMs.push(await waitForRequest(cluster, worker));
    }
    return { sameIdMs: Math.max(...sameIdTimesMs), otherIdMs: Math.max(...otherIdTimesMs) };
  } finally {
    await cluster.stop();
  }
}

async function waitForRequest(cluster: PlatformCluster, worker: WorkerStandin): Promise<number> {
  const startedAt = performance.now();
  while (worker.ran.length === 0 && performance.now() - startedAt < TIMEOUT_MS) {
    await cluster.call("/app/x").catch(() => undefined);
    await pause(POLL_INTERVAL_MS);
  }
  return worker.ran.length > 0 ? performance.now() - startedAt : Number.POSITIVE_INFINITY;
}

/** Gets the ratio of the processor time of parsing and checking heartbeats to that of parsing alone. */
function measureCheckRatio(): number {
  const measureCpu = (action: () => void) => {
    const before = process.cpuUsage();
    for (let i = 0; i < HEARTBEAT_COUNT; i++) action();
    const { user, system } = process.cpuUsage(before);
    return user + system;
  };
  const parse = () => void readHeartbeat("i-7f3a91c2", HEARTBEAT);
  const parseAndCheck = () => checkReport(readHeartbeat("i-7f3a91c2", HEARTBEAT));
  measureCpu(parseAndCheck);
  const [parseTime, checkedTime] = [measureCpu(parse), measureCpu(parseAndCheck)];
  return checkedTime / parseTime;
}
