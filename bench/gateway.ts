/** `gateway`: processor time of an entry that routes by declarations, when idle, per stream and per call. */
import { pause } from "../src/clock";
import { createConfig, MODEL } from "../test/platform/createConfig";
import { PlatformCluster } from "../test/platform/PlatformCluster";
import type { Bench, Figure } from "./Figure";
import { measureCpu } from "./support/processes";

export const gatewayBench: Bench = { name: "gateway", run };

const ENGINES = 4;
const SETTLE_MS = 3_000;
const MEASURE_MS = 8_000;
const REQUESTS_PER_S = 40;
const US_PER_MS = 1_000;

async function run(): Promise<Figure[]> {
  const cluster = await PlatformCluster.start(ENGINES);
  try {
    while ((await cluster.putConfig(0, createConfig(1)).catch(() => 0)) !== 200) await pause(100);
    while ((await cluster.call("/llm/x", MODEL).catch(() => undefined))?.status !== 200) await pause(100);
    await pause(SETTLE_MS);
    const { pid } = cluster.entry;
    const idle = await measureCpu(pid, () => pause(MEASURE_MS));
    const idleCores = idle.cpuMs / idle.ms;
    const stream = await measureRequests(pid, idleCores, () => cluster.call("/llm/x", MODEL));
    const call = await measureRequests(pid, idleCores, () => cluster.call("/app/x"));
    return [
      { figure: "idle_cpu", value: idleCores, unit: "cores" },
      { figure: "stream_cpu", value: stream.cpuUs, unit: "us" },
      { figure: "call_cpu", value: call.cpuUs, unit: "us" },
      { figure: "failures", value: stream.failures + call.failures, unit: "requests" },
    ];
  } finally {
    await cluster.stop();
  }
}

/**
 * Sends requests at a steady rate. Returns the processor time per request beyond that of the idle entry,
 * microseconds, and the number of failures.
 */
export async function measureRequests(
  pid: number,
  idleCores: number,
  send: () => Promise<{ status: number }>,
) {
  const sent: Promise<{ status: number }>[] = [];
  const { cpuMs, ms } = await measureCpu(pid, async () => {
    const count = (MEASURE_MS / 1_000) * REQUESTS_PER_S;
    for (let i = 0; i < count; i++) {
      sent.push(send());
      await pause(1_000 / REQUESTS_PER_S);
    }
    await Promise.allSettled(sent);
  });
  const answers = await Promise.allSettled(sent);
  const failures = answers.filter((answer) => answer.status !== "fulfilled" || answer.value.status !== 200);
  return { cpuUs: ((cpuMs - idleCores * ms) * US_PER_MS) / sent.length, failures: failures.length };
}
