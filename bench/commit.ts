/** `commit`: changes a second over three processes, against one sync each. */
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

/** The bench. */
export const commitBench: Bench = { name: "commit", run };

const WRITERS = [1, 64] as const;
const RUN_MS = 4_000;
const SYNCS = 200;
const RECORD_BYTES = 150;
const US_PER_MS = 1_000;
const CLUSTER_SECRET = "cluster-secret-of-this-test";

async function run(): Promise<Figure[]> {
  const cluster = await Cluster.start({ entries: 1, engines: 0, logLevel: "warn" });
  try {
    await cluster.apply(createConfiguration());
    const syncRate = measureSyncs(cluster.folder);
    const figures: Figure[] = [{ figure: "sync_rate", value: syncRate, unit: "1/s" }];
    for (const writers of WRITERS) figures.push(...(await measureWriters(cluster, writers, syncRate)));
    return figures;
  } finally {
    await cluster.stop();
  }
}

/** What one file with a sync after each record does: the baseline. */
function measureSyncs(folder: string): number {
  const own = mkdtempSync(join(folder || tmpdir(), "sync-"));
  const file = openSync(join(own, "file"), "a");
  const record = Buffer.alloc(RECORD_BYTES, 1);
  const startedAt = performance.now();
  for (let i = 0; i < SYNCS; i++) {
    writeSync(file, record);
    fdatasyncSync(file);
  }
  const seconds = (performance.now() - startedAt) / 1_000;
  closeSync(file);
  rmSync(own, { recursive: true });
  return SYNCS / seconds;
}

/** Claims stand for all changes: each is one entry of the log. */
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
