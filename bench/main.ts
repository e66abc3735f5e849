/**
 * Runs the named benches, or all benches if no name is given. Prints one JSON line per figure. Exits with 1
 * if a bound is not met and with 2 if a name is unknown.
 */
import { answersBench } from "./answers";
import { capacityBench } from "./capacity";
import { commitBench } from "./commit";
import { containmentBench } from "./containment";
import type { Bench } from "./Figure";
import { printFigures } from "./Figure";
import { failoverBench } from "./failover";
import { firstStartBench } from "./firstStart";
import { fleetBench } from "./fleet";
import { gatewayBench } from "./gateway";
import { livesBench } from "./lives";
import { marginBench } from "./margin";
import { overloadBench } from "./overload";
import { pathBench } from "./path";
import { plannerBench } from "./planner";
import { powerLossBench } from "./powerLoss";
import { propagationBench } from "./propagation";
import { restartBench } from "./restart";
import { faultsBench, retryBench, surgeBench } from "./surge";

const BENCHES: readonly Bench[] = [
  pathBench,
  commitBench,
  propagationBench,
  failoverBench,
  restartBench,
  plannerBench,
  surgeBench,
  faultsBench,
  retryBench,
  capacityBench,
  fleetBench,
  powerLossBench,
  firstStartBench,
  overloadBench,
  marginBench,
  livesBench,
  gatewayBench,
  containmentBench,
  answersBench,
];

async function main(names: readonly string[]): Promise<void> {
  const unknown = names.find((name) => !BENCHES.some((bench) => bench.name === name));
  if (unknown !== undefined) {
    console.error(
      `unknown bench "${unknown}"; available benches: ${BENCHES.map((bench) => bench.name).join(", ")}`,
    );
    process.exit(2);
  }
  const selected = names.length === 0 ? BENCHES : BENCHES.filter((bench) => names.includes(bench.name));
  let ok = true;
  for (const bench of selected) ok = printFigures(bench.name, await bench.run()) && ok;
  process.exit(ok ? 0 : 1);
}

await main(process.argv.slice(2));
