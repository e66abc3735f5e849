/**
 * `margin`: the smallest part of a core on which control still acknowledges an order, and lets it be read back, in calm
 * after two losses of power.
 */
import {
  ACKNOWLEDGEMENT_MS,
  CONTACT_MS,
  runPowerLosses,
  type VersionDelays,
} from "../test/platform/runPowerLosses";
import type { Bench, Figure } from "./Figure";

/** The bench. */
export const marginBench: Bench = { name: "margin", run };

/** Parts of a core, from what `test/system/overload` has down to half of it. */
const SHARES = [0.14, 0.12, 0.1, 0.085, 0.07];
const NEVER: VersionDelays = {
  acknowledgedMs: Number.POSITIVE_INFINITY,
  readBackMs: Number.POSITIVE_INFINITY,
};

async function run(): Promise<Figure[]> {
  const figures: Figure[] = [];
  let smallest = Number.POSITIVE_INFINITY;
  for (const share of SHARES) {
    const { after } = await runPowerLosses(share);
    const { acknowledgedMs, readBackMs } = after[0] ?? NEVER;
    figures.push(
      { figure: `acknowledged_${share}`, value: acknowledgedMs, unit: "ms" },
      { figure: `read_back_${share}`, value: readBackMs, unit: "ms" },
    );
    if (Math.max(acknowledgedMs, readBackMs) > CONTACT_MS + ACKNOWLEDGEMENT_MS) break;
    smallest = share;
  }
  return [...figures, { figure: "smallest_share", value: smallest, unit: "cores" }];
}
