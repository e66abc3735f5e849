/**
 * `fleet`: processor time and memory that registered instances and watching entries cost the leader and the
 * other control processes, and the cost of each further instance and entry.
 */
import { createClient } from "@connectrpc/connect";
import { pause } from "../src/clock";
import { FleetService } from "../src/gen/ploverstage/v1/fleet_pb";
import { createRpcTransport } from "../src/rpc";
import { createConfig } from "../test/platform/createConfig";
import { type ClusterOptions, PlatformCluster } from "../test/platform/PlatformCluster";
import type { Bench, Figure } from "./Figure";
import { createWatcher } from "./support/createWatcher";
import { getCpuMs, getResidentMb } from "./support/processes";

export const fleetBench: Bench = { name: "fleet", run };

const FEW_INSTANCES = 54;
const MANY_INSTANCES = 222;
const FEW_ENTRIES = 4;
const MANY_ENTRIES = 56;
const DOMAIN_SIZE = 37;
const REPORT_INTERVAL_MS = 1_200;
const SETTLE_MS = 12_000;
const MEASURE_MS = 10_000;

/** Cost of the control processes at one fleet size. */
interface Cost {
  /** Cores. */
  readonly leaderCores: number;
  /** Cores, the mean of all control processes except the leader. */
  readonly followerCores: number;
  /** Megabytes. */
  readonly leaderResidentMb: number;
}

async function run(): Promise<Figure[]> {
  const base = await measure(FEW_INSTANCES, FEW_ENTRIES);
  const moreInstances = await measure(MANY_INSTANCES, FEW_ENTRIES);
  const moreEntries = await measure(MANY_INSTANCES, MANY_ENTRIES);
  const getPerInstance = (get: (cost: Cost) => number) =>
    (get(moreInstances) - get(base)) / (MANY_INSTANCES - FEW_INSTANCES);
  const getPerEntry = (get: (cost: Cost) => number) =>
    (get(moreEntries) - get(moreInstances)) / (MANY_ENTRIES - FEW_ENTRIES);
  return [
    { figure: "leader_cpu_54_4", value: base.leaderCores, unit: "cores" },
    { figure: "leader_cpu_222_4", value: moreInstances.leaderCores, unit: "cores" },
    { figure: "leader_cpu_222_56", value: moreEntries.leaderCores, unit: "cores" },
    { figure: "follower_cpu_222_56", value: moreEntries.followerCores, unit: "cores" },
    { figure: "leader_cpu_instance", value: getPerInstance((cost) => cost.leaderCores), unit: "cores" },
    { figure: "follower_cpu_instance", value: getPerInstance((cost) => cost.followerCores), unit: "cores" },
    { figure: "leader_cpu_entry", value: getPerEntry((cost) => cost.leaderCores), unit: "cores" },
    { figure: "leader_resident_222_56", value: moreEntries.leaderResidentMb, unit: "MB" },
  ];
}

async function measure(engines: number, entries: number): Promise<Cost> {
  const options: ClusterOptions = { reportMs: REPORT_INTERVAL_MS, domainSize: DOMAIN_SIZE };
  const cluster = await PlatformCluster.start(engines, options);
  const watchers = Array.from({ length: entries }, (_, i) => createWatcher(i, cluster.rpcAddresses));
  try {
    while ((await cluster.putConfig(0, createConfig(1)).catch(() => 0)) !== 200) await pause(100);
    for (const watcher of watchers) void watcher.run();
    await pause(SETTLE_MS);
    const pids = cluster.controls.map((control) => control.pid);
    const before = pids.map(getCpuMs);
    const startedAt = performance.now();
    await pause(MEASURE_MS);
    const ms = performance.now() - startedAt;
    const leader = await findLeader(cluster);
    const cores = pids.map((pid, i) => (getCpuMs(pid) - before[i]!) / ms);
    const others = cores.filter((_, i) => i !== leader);
    return {
      leaderCores: cores[leader]!,
      followerCores: others.reduce((sum, value) => sum + value, 0) / others.length,
      leaderResidentMb: getResidentMb(pids[leader]!),
    };
  } finally {
    for (const watcher of watchers) watcher.stop();
    await cluster.stop();
  }
}

/** Finds the leader. Only the leader publishes its view to a watcher that is not an entry. */
async function findLeader(cluster: PlatformCluster): Promise<number> {
  for (;;) {
    for (const [index, address] of cluster.rpcAddresses.entries()) {
      const client = createClient(FleetService, createRpcTransport(address, undefined));
      const call = client.watch({ watcherId: "bench" }, { timeoutMs: 500 });
      const isLeader = await call[Symbol.asyncIterator]()
        .next()
        .then(
          () => true,
          () => false,
        );
      if (isLeader) return index;
    }
  }
}
