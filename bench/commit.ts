/**
 * `commit`: rate of committed changes over three control processes, compared with the rate of single disk
 * syncs.
 */
import { closeSync, fdatasyncSync, mkdtempSync, openSync, rmSync, writeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createClient } from "@connectrpc/connect";
import { addDuration, createHistogram } from "../src/burn";
import { EntryService } from "../src/gen/ploverstage/v1/control_pb";
import { createRpcTransport } from "../src/rpc";
import { Cluster } from "../test/support/Cluster";
import { createConfiguration } from "../test/support/configuration";
import type { Bench, Figure } from "./Figure";

export const commitBench: Bench = { name: "commit", run };

const WRITER_COUNTS = [1, 64] as const;
const RUN_MS = 4_000;
const SYNC_COUNT = 200;
const RECORD_BYTES = 150;
const US_PER_MS = 1_000;
const CLUSTER_SECRET = "cluster-secret-of-this-test";

async function run(): Promise<Figure[]> {
  const cluster = await Cluster.start({ entries: 1, engines: 0, logLevel: "warn" });
  try {
    await cluster.apply(createConfiguration());
    const syncRate = measureSyncRate(cluster.folder);
    const figures: Figure[] = [{ figure: "sync_rate", value: syncRate, unit: "1/s" }];
    for (const writers of WRITER_COUNTS) figures.push(...(await measureWriters(cluster, writers, syncRate)));
    return figures;
  } finally {
    await cluster.stop();
  }
}

/**
 * Gets the baseline: the rate of records appended to one file with a disk sync after each record, per second.
 */
function measureSyncRate(folder: string): number {
  const syncFolder = mkdtempSync(join(folder || tmpdir(), "sync-"));
  const file = openSync(join(syncFolder, "file"), "a");
  const record = Buffer.alloc(RECORD_BYTES, 1);
  const startedAt = performance.now();
  for (let i = 0; i < SYNC_COUNT; i++) {
    writeSync(file, record);
    fdatasyncSync(file);
  }
  const seconds = (performance.now() - startedAt) / 1_000;
  closeSync(file);
  rmSync(syncFolder, { recursive: true });
  return SYNC_COUNT / seconds;
}

/**
 * Measures the commit rate with claims. A claim represents any change because each change is one log entry.
 */
async function measureWriters(cluster: Cluster, writers: number, syncRate: number): Promise<Figure[]> {
  const leader = await cluster.getLeader();
  const client = createClient(
    EntryService,
    createRpcTransport(cluster.getControlAddress(leader), CLUSTER_SECRET),
  );
  const histogram = createHistogram();
  const endAt = performance.now() + RUN_MS;
  let committed = 0;
  const loop = async (writer: number) => {
    for (let i = 0; performance.now() < endAt; i++) {
      const startedAt = performance.now();
      const id = `${writers}-${writer}-${i}`;
      await client.claim({ key: `alpha/${id}`, requestId: id, entryId: "bench.1", fingerprint: "" });
      committed += 1;
      addDuration(histogram, (performance.now() - startedAt) * US_PER_MS);
    }
  };
  await Promise.all(Array.from({ length: writers }, (_, writer) => loop(writer)));
  const rate = committed / (RUN_MS / 1_000);
  return [
    { figure: `changes_${writers}`, value: rate, unit: "1/s" },
    { figure: `p50_${writers}`, value: histogram.getValueAtPercentile(50) / US_PER_MS, unit: "ms" },
    { figure: `p99_${writers}`, value: histogram.getValueAtPercentile(99) / US_PER_MS, unit: "ms" },
    { figure: `to_sync_rate_${writers}`, value: rate / syncRate, unit: "ratio" },
  ];
}
