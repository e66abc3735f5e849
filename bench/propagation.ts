/**
 * `propagation`: time from the acceptance of a change until it is in force at all entries, and its slope per
 * entry.
 */

import { addDuration, createHistogram } from "../src/burn";
import type { OperatorClient } from "../src/cli/OperatorClient";
import { Cluster } from "../test/support/Cluster";
import { createConfiguration } from "../test/support/configuration";
import type { Bench, Figure } from "./Figure";

export const propagationBench: Bench = { name: "propagation", run };

const FEW_ENTRIES = 3;
const MANY_ENTRIES = 9;
const CHANGE_COUNT = 40;
const US_PER_MS = 1_000;
/** Timing lines of the test configuration. The lines of both example configurations replace them. */
const DEFAULT_TIMING = ["lease = 1500", "renew = 150"] as const;
const EXAMPLE_TIMING = ["lease = 3000", "renew = 500"] as const;

async function run(): Promise<Figure[]> {
  const few = await measure(FEW_ENTRIES);
  const many = await measure(MANY_ENTRIES);
  return [
    { figure: "in_force_p50_9", value: many.p50, unit: "ms" },
    { figure: "in_force_p99_9", value: many.p99, unit: "ms" },
    { figure: "in_force_p50_3", value: few.p50, unit: "ms" },
    { figure: "slope", value: (many.p50 - few.p50) / (MANY_ENTRIES - FEW_ENTRIES), unit: "ms/entry" },
  ];
}

async function measure(entries: number): Promise<{ p50: number; p99: number }> {
  const cluster = await Cluster.start({ entries, engines: 4, logLevel: "warn" });
  try {
    const text = createExampleText();
    let version = await cluster.apply(text);
    await cluster.waitForRouting(1);
    const operator = await cluster.getOperator();
    const histogram = createHistogram();
    for (let i = 0; i < CHANGE_COUNT; i++) {
      const change = {
        changeId: `change-${i}`,
        baseVersion: version,
        operator: "bench",
        text: `${text}# ${i}\n`,
      };
      version = (await operator.apply(change)).version;
      const acceptedAt = performance.now();
      await waitUntilInForce(operator, version);
      addDuration(histogram, (performance.now() - acceptedAt) * US_PER_MS);
    }
    return {
      p50: histogram.getValueAtPercentile(50) / US_PER_MS,
      p99: histogram.getValueAtPercentile(99) / US_PER_MS,
    };
  } finally {
    await cluster.stop();
  }
}

function createExampleText(): string {
  return DEFAULT_TIMING.reduce(
    (text, line, i) => text.replace(line, EXAMPLE_TIMING[i]!),
    createConfiguration(),
  );
}

async function waitUntilInForce(operator: OperatorClient, version: number): Promise<void> {
  while (!(await operator.getInForce(version)).inForce);
}
