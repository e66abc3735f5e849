/**
 * `containment`: what it costs a request that others may be kept away from endpoints, with nothing known of any
 * request and with as many as are kept; and whether a request that was only there is ever refused.
 */
import { create } from "@bufbuild/protobuf";
import { CrashLedger, getRequestDigest, MAX_CRASH_RECORDS, type RequestContent } from "../src/containment";
import { CrashMonitor } from "../src/gateway/CrashMonitor";
import { CrashRecordSchema } from "../src/gen/ploverstage/v1/state_pb";
import { NoopMetrics } from "../src/metrics";
import { createConfig } from "../test/platform/createConfig";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import type { Bench, Figure } from "./Figure";
import { measureRequests } from "./gateway";
import { measureCpu, pause } from "./support/processes";

/** The bench. */
export const containmentBench: Bench = { name: "containment", run };

const SETTLE_MS = 3_000;
const ROUNDS = 20_000;
const BODY_BYTES = 2_048;
const US_PER_MS = 1_000;
/** Instances of a rack that is lost, and entries that see it, under a popular request. */
const RACK = 40;
const ENTRIES = 9;
const RACKS = 25;

async function run(): Promise<Figure[]> {
  const cluster = await PlatformCluster.start(0);
  try {
    while ((await cluster.putConfig(0, createConfig(1)).catch(() => 0)) !== 200) await pause(100);
    while ((await cluster.call("/app/x").catch(() => undefined))?.status !== 200) await pause(100);
    await pause(SETTLE_MS);
    const { pid } = cluster.entry;
    const idle = await measureCpu(pid, () => pause(SETTLE_MS));
    const call = await measureRequests(pid, idle.cpuMs / idle.ms, () => cluster.call("/app/x"));
    const calmUs = measureChecks(new CrashLedger());
    const fullUs = measureChecks(createFullLedger());
    return [
      { figure: "call_cpu", value: call.cpuUs, unit: "us" },
      { figure: "calm_check", value: calmUs, unit: "us" },
      { figure: "full_check", value: fullUs, unit: "us" },
      { figure: "calm_ratio", value: 1 + calmUs / call.cpuUs, unit: "ratio" },
      { figure: "full_ratio", value: 1 + fullUs / call.cpuUs, unit: "ratio" },
      { figure: "wrongly_refused", value: countWronglyRefused(), unit: "requests" },
      { figure: "failures", value: call.failures, unit: "requests" },
    ];
  } finally {
    await cluster.stop();
  }
}

/** Gives what one request costs: it is looked for before it is sent, and its good end is noted. */
function measureChecks(ledger: CrashLedger): number {
  const logger = { info: () => {}, warn: () => {} } as never;
  const watch = new CrashMonitor({ ledger, logger, metrics: new NoopMetrics(), onChange: () => {} });
  const body = Buffer.alloc(BODY_BYTES, "x");
  const startedAt = performance.now();
  for (let i = 0; i < ROUNDS; i++) {
    const content: RequestContent = { organisation: "atlas", method: "POST", path: `/work/${i}`, body };
    // A request computes its digest once.
    let digest: ReturnType<typeof getRequestDigest> | undefined;
    const getDigest = () => {
      digest ??= getRequestDigest(content);
      return digest;
    };
    watch.admit(i, getDigest);
    watch.isBlocked(i, getDigest);
    watch.addSuccess(i, getDigest);
  }
  return ((performance.now() - startedAt) / ROUNDS) * US_PER_MS;
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

/** A popular request runs everywhere while rack after rack is lost; it is served between two of them. */
function countWronglyRefused(): number {
  const digest = getRequestDigest({ organisation: "a", method: "GET", path: "/popular", body: Buffer.of() });
  const ledgers = Array.from({ length: ENTRIES }, () => new CrashLedger());
  let refused = 0;
  for (let rack = 0; rack < RACKS; rack++) {
    const startedAt = rack * 100;
    for (let i = 0; i < RACK; i++) {
      const crash = { digest, life: `${rack}-${i}`, startedAt, brokeAt: startedAt + 50, wasAnswered: false };
      ledgers[i % ENTRIES]!.addCrash(crash);
    }
    for (const from of ledgers) {
      const told = from.takePending();
      for (const ledger of ledgers) ledger.addCommitted(startedAt + 60, told);
    }
    refused += ledgers.filter((ledger) => ledger.isBlocked(startedAt + 60, digest)).length;
    // One good end, at one entry, told to the others.
    const [first] = ledgers;
    first!.addSuccess(startedAt + 70, digest);
    const cleared = first!.takePending();
    for (const ledger of ledgers) ledger.addCommitted(startedAt + 80, cleared);
  }
  return refused;
}
