/** `restart`: all control processes restart after hundreds of changes. */
import { Cluster } from "../test/support/Cluster";
import { createConfiguration } from "../test/support/configuration";
import type { Bench, Figure } from "./Figure";

/** The bench. */
export const restartBench: Bench = { name: "restart", run };

const CHANGES = 500;

async function run(): Promise<Figure[]> {
  const cluster = await Cluster.start({ entries: 1, engines: 0, logLevel: "warn" });
  try {
    const text = createConfiguration();
    let version = await cluster.apply(text);
    const operator = await cluster.getOperator();
    const fresh = await restart(cluster, version);
    for (let i = 0; i < CHANGES; i++) {
      const change = {
        changeId: `restart-${i}`,
        baseVersion: version,
        operator: "bench",
        text: `${text}# ${i}\n`,
      };
      version = (await operator.apply(change)).version;
    }
    const full = await restart(cluster, version);
    return [
      { figure: "restart_after_1", value: fresh, unit: "ms" },
      { figure: `restart_after_${CHANGES}`, value: full, unit: "ms" },
      { figure: "restart_ratio", value: full / fresh, unit: "ratio" },
    ];
  } finally {
    await cluster.stop();
  }
}

/** Kills all control processes at once; from their start to the newest version read. */
async function restart(cluster: Cluster, version: number): Promise<number> {
  await Promise.all(cluster.controls.map((control) => control.kill()));
  for (const control of cluster.controls) control.start();
  const startedAt = performance.now();
  const newest = await (await cluster.getOperator()).getConfiguration();
  if (newest?.version !== version)
    throw new Error(`version ${newest?.version} after the restart, not ${version}`);
  return performance.now() - startedAt;
}
