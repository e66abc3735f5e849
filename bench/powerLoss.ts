/**
 * `powerLoss`: every control process loses power at once and starts again on a small core, with
 * a fleet of instances that goes on reporting and entries that go on watching.
 */
import { createConfig } from "../test/platform/createConfig";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import { Throttle } from "../test/support/Throttle";
import type { Bench, Figure } from "./Figure";
import { getLeadershipStarts, getWorstStallMs, type LogLine, readControlLogs } from "./support/controlLog";
import { createWatcher } from "./support/createWatcher";
import { pause } from "./support/processes";

/** The bench. */
export const powerLossBench: Bench = { name: "powerLoss", run };

const CONTROLS = 5;
const INSTANCES = 222;
const DOMAIN_SIZE = 37;
const ENTRIES = 56;
const REPLICA_SIZE = 4;
const REPORT_MS = 1_200;
/** Of a core, as the smallest machines for control have. */
const SHARE = 0.2;
const SETTLE_MS = 20_000;
const OFF_MS = 1_000;
const MEASURE_MS = 16_000;
const POLL_MS = 100;

/** What happened after the power came back, milliseconds from then on. */
interface Recovery {
  readonly firstLeaderMs: number;
  readonly readMs: number;
  readonly leaders: number;
  readonly retired: number;
  readonly worstStallMs: number;
}

async function run(): Promise<Figure[]> {
  const recovery = await measure();
  return [
    { figure: "first_leader", value: recovery.firstLeaderMs, unit: "ms" },
    { figure: "configuration_read", value: recovery.readMs, unit: "ms" },
    { figure: "leaders", value: recovery.leaders, unit: "terms" },
    { figure: "replicas_retired", value: recovery.retired, unit: "replicas" },
    { figure: "worst_stall", value: recovery.worstStallMs, unit: "ms" },
  ];
}

async function measure(): Promise<Recovery> {
  const cluster = await PlatformCluster.start(INSTANCES, {
    controls: CONTROLS,
    reportMs: REPORT_MS,
    domainSize: DOMAIN_SIZE,
  });
  const watchers = Array.from({ length: ENTRIES }, (_, i) => createWatcher(i, cluster.rpcAddresses));
  const throttle = new Throttle(cluster.controls, SHARE);
  try {
    const config = createConfig(1);
    const [llm, app] = config.services;
    const models = [{ ...llm!.engine!.models[0]!, size: REPLICA_SIZE }];
    const services = [{ ...llm!, engine: { ...llm!.engine!, models } }, app];
    while ((await cluster.putConfig(0, { ...config, services }).catch(() => 0)) !== 200) await pause(POLL_MS);
    for (const watcher of watchers) void watcher.run();
    await pause(SETTLE_MS);
    await Promise.all(cluster.controls.map((control) => control.kill()));
    await pause(OFF_MS);
    const startedAt = Date.now();
    for (const control of cluster.controls) control.start();
    throttle.start();
    const readMs = await waitForRead(cluster, startedAt);
    await pause(Math.max(0, startedAt + MEASURE_MS - Date.now()));
    return summarize(readControlLogs(cluster.controls, startedAt), startedAt, readMs);
  } finally {
    throttle.stop();
    for (const watcher of watchers) watcher.stop();
    await cluster.stop();
  }
}

async function waitForRead(cluster: PlatformCluster, startedAt: number): Promise<number> {
  for (let i = 0; Date.now() - startedAt < MEASURE_MS; i++) {
    const { status } = await cluster.getConfig(i % cluster.controls.length).catch(() => ({ status: 0 }));
    if (status === 200) return Date.now() - startedAt;
    await pause(POLL_MS);
  }
  return Number.POSITIVE_INFINITY;
}

function summarize(lines: readonly LogLine[], startedAt: number, readMs: number): Recovery {
  const began = getLeadershipStarts(lines);
  return {
    firstLeaderMs: Math.min(...began) - startedAt,
    readMs,
    leaders: began.length,
    retired: lines.filter((line) => line.event === "replica_moved" && line.phase === "RETIRING").length,
    worstStallMs: getWorstStallMs(lines),
  };
}
