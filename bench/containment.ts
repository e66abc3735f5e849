/**
 * `containment`: cost that crash containment adds to a request, with an empty and with a full crash ledger.
 * Also counts how often a request is wrongly refused that only ran on instances when their rack was lost.
 */
import { create } from "@bufbuild/protobuf";
import { pause } from "../src/clock";
import {
  CrashLedger,
  getPartDigest,
  getRequestDigest,
  MAX_CRASH_RECORDS,
  type RequestContent,
  type Suspect,
} from "../src/containment";
import { CrashMonitor } from "../src/gateway/CrashMonitor";
import { CrashRecordSchema } from "../src/gen/ploverstage/v1/state_pb";
import { NoopMetrics } from "../src/metrics";
import { createConfig } from "../test/platform/createConfig";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import type { Bench, Figure } from "./Figure";
import { measureRequests } from "./gateway";
import { measureCpu } from "./support/processes";

export const containmentBench: Bench = { name: "containment", run };

const SETTLE_MS = 3_000;
const REQUEST_COUNT = 20_000;
/** Ids of the shared parts of a prompt. */
const PARTS = ["5c1e07a2", "91bd3f06"];
const BODY_BYTES = 2_048;
const US_PER_MS = 1_000;
/** Instances per lost rack, and entries that observe the losses. */
const RACK_SIZE = 40;
const ENTRY_COUNT = 9;
const RACK_COUNT = 25;

async function run(): Promise<Figure[]> {
  const cluster = await PlatformCluster.start(0);
  try {
    while ((await cluster.putConfig(0, createConfig(1)).catch(() => 0)) !== 200) await pause(100);
    while ((await cluster.call("/app/x").catch(() => undefined))?.status !== 200) await pause(100);
    await pause(SETTLE_MS);
    const { pid } = cluster.entry;
    const idle = await measureCpu(pid, () => pause(SETTLE_MS));
    const call = await measureRequests(pid, idle.cpuMs / idle.ms, () => cluster.call("/app/x"));
    const emptyLedgerUs = measureContainmentUs(new CrashLedger());
    const fullLedgerUs = measureContainmentUs(createFullLedger());
    return [
      { figure: "call_cpu", value: call.cpuUs, unit: "us" },
      { figure: "calm_check", value: emptyLedgerUs, unit: "us" },
      { figure: "full_check", value: fullLedgerUs, unit: "us" },
      { figure: "calm_ratio", value: 1 + emptyLedgerUs / call.cpuUs, unit: "ratio" },
      { figure: "full_ratio", value: 1 + fullLedgerUs / call.cpuUs, unit: "ratio" },
      { figure: "wrongly_refused", value: countWronglyRefused(), unit: "requests" },
      { figure: "failures", value: call.failures, unit: "requests" },
    ];
  } finally {
    await cluster.stop();
  }
}

/**
 * Gets the cost per request, microseconds: two checks before the request is sent and the record of its
 * success.
 */
function measureContainmentUs(ledger: CrashLedger): number {
  const logger = { info: () => {}, warn: () => {} } as never;
  const monitor = new CrashMonitor({
    ledger,
    logger,
    metrics: new NoopMetrics(),
    probe: async () => "accepted",
    isExplained: () => false,
    onChange: () => {},
  });
  const body = Buffer.alloc(BODY_BYTES, "x");
  const startedAt = performance.now();
  for (let i = 0; i < REQUEST_COUNT; i++) {
    const content: RequestContent = { organisation: "atlas", method: "POST", path: `/work/${i}`, body };
    // A request computes its digests only once.
    let suspects: readonly Suspect[] | undefined;
    const getSuspects = () => {
      suspects ??= [
        { digest: getRequestDigest(content), isPart: false },
        ...PARTS.map((id) => ({ digest: getPartDigest(id), isPart: true })),
      ];
      return suspects;
    };
    monitor.admit(i, getSuspects);
    monitor.isBlocked(i, getSuspects);
    monitor.addSuccess(i, getSuspects);
  }
  return ((performance.now() - startedAt) / REQUEST_COUNT) * US_PER_MS;
}

function createFullLedger(): CrashLedger {
  const ledger = new CrashLedger();
  const records = Array.from({ length: MAX_CRASH_RECORDS }, (_, i) => {
    const digest = getRequestDigest({ organisation: "a", method: "POST", path: `/${i}`, body: Buffer.of() });
    const crashes = [1, 2, 3].map((depth) => ({ life: `life-${i}-${depth}`, depth }));
    return create(CrashRecordSchema, { digest, crashes });
  });
  ledger.addCommitted(0, records);
  return ledger;
}

/**
 * Simulates a popular request that runs on all instances while one rack after another is lost. The request
 * succeeds between two losses, so no entry may block it. Returns the number of blocks.
 */
function countWronglyRefused(): number {
  const digest = getRequestDigest({ organisation: "a", method: "GET", path: "/popular", body: Buffer.of() });
  const ledgers = Array.from({ length: ENTRY_COUNT }, () => new CrashLedger());
  let refused = 0;
  for (let rack = 0; rack < RACK_COUNT; rack++) {
    const startedAt = rack * 100;
    for (let i = 0; i < RACK_SIZE; i++) {
      const crash = { digest, life: `${rack}-${i}`, startedAt, brokeAt: startedAt + 50, wasAnswered: false };
      ledgers[i % ENTRY_COUNT]!.addCrash(crash);
    }
    for (const source of ledgers) {
      const published = source.takePending();
      for (const ledger of ledgers) ledger.addCommitted(startedAt + 60, published);
    }
    refused += ledgers.filter((ledger) => ledger.isBlocked(startedAt + 60, digest)).length;
    // One entry records a success and publishes it to the others.
    const [first] = ledgers;
    first!.addSuccess(startedAt + 70, digest);
    const cleared = first!.takePending();
    for (const ledger of ledgers) ledger.addCommitted(startedAt + 80, cleared);
  }
  return refused;
}
