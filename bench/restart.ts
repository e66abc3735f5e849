/** `restart`: all control processes restart after 500 changes. */
import { Cluster } from "../test/support/Cluster";
import { createConfiguration } from "../test/support/configuration";
import type { Bench, Figure } from "./Figure";

export const restartBench: Bench = { name: "restart", run };

const CHANGE_COUNT = 500;

async function run(): Promise<Figure[]> {
  const cluster = await Cluster.start({ entries: 1, engines: 0, logLevel: "warn" });
  try {
    const text = createConfiguration();
    let version = await cluster.apply(text);
    const operator = await cluster.getOperator();
    const afterFirstMs = await restartControls(cluster, version);
    for (let i = 0; i < CHANGE_COUNT; i++) {
      const change = {
        changeId: `restart-${i}`,
        baseVersion: version,
        operator: "bench",
        text: `${text}# ${i}\n`,
      };
      version = (await operator.apply(change)).version;
    }
    const afterAllMs = await restartControls(cluster, version);
    return [
      { figure: "restart_after_1", value: afterFirstMs, unit: "ms" },
      { figure: `restart_after_${CHANGE_COUNT}`, value: afterAllMs, unit: "ms" },
      { figure: "restart_ratio", value: afterAllMs / afterFirstMs, unit: "ratio" },
    ];
  } finally {
    await cluster.stop();
  }
}

/**
 * Kills and starts all control processes at once. Returns the time from their start until the newest version
 * can be read, milliseconds.
 */
async function restartControls(cluster: Cluster, version: number): Promise<number> {
  await Promise.all(cluster.controls.map((control) => control.kill()));
  for (const control of cluster.controls) control.start();
  const startedAt = performance.now();
  const current = await (await cluster.getOperator()).getConfiguration();
  if (current?.version !== version)
    throw new Error(`configuration version is ${current?.version} after the restart, expected ${version}`);
  return performance.now() - startedAt;
}
