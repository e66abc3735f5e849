/** `propagation`: from accepted to in force everywhere, and the slope in entries. */

import { addDuration, createHistogram } from "../src/burn";
import type { OperatorClient } from "../src/cli/OperatorClient";
import { Cluster } from "../test/support/Cluster";
import { createConfiguration } from "../test/support/configuration";
import type { Bench, Figure } from "./Figure";

/** The bench. */
export const propagationBench: Bench = { name: "propagation", run };

const FEW = 3;
const MANY = 9;
const CHANGES = 40;
const US_PER_MS = 1_000;
/** Timing as both users' examples have it. */
const TIMING = ["lease = 1500", "renew = 150"] as const;
const EXAMPLE_TIMING = ["lease = 3000", "renew = 500"] as const;

async function run(): Promise<Figure[]> {
  const few = await measure(FEW);
  const many = await measure(MANY);
  return [
    { figure: "in_force_p50_9", value: many.p50, unit: "ms" },
    { figure: "in_force_p99_9", value: many.p99, unit: "ms" },
    { figure: "in_force_p50_3", value: few.p50, unit: "ms" },
    { figure: "slope", value: (many.p50 - few.p50) / (MANY - FEW), unit: "ms/entry" },
  ];
}

async function measure(entries: number): Promise<{ p50: number; p99: number }> {
  const cluster = await Cluster.start({ entries, engines: 4, logLevel: "warn" });
  try {
    const text = getText();
    let version = await cluster.apply(text);
    await cluster.waitForRouting(1);
    const operator = await cluster.getOperator();
    const histogram = createHistogram();
    for (let i = 0; i < CHANGES; i++) {
      const change = {
        changeId: `change-${i}`,
        baseVersion: version,
        operator: "bench",
        text: `${text}# ${i}\n`,
      };
      version = (await operator.apply(change)).version;
      const acceptedAt = performance.now();
      await waitInForce(operator, version);
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

function getText(): string {
  return TIMING.reduce((text, line, i) => text.replace(line, EXAMPLE_TIMING[i]!), createConfiguration());
}

async function waitInForce(operator: OperatorClient, version: number): Promise<void> {
  while (!(await operator.getInForce(version)).inForce);
}
