/**
 * `margin`: finds the smallest share of a core on which control, after two power losses, acknowledges a
 * configuration version and lets it be read back in time.
 */
import {
  ACKNOWLEDGEMENT_MS,
  CONTACT_MS,
  runPowerLosses,
  type VersionDelays,
} from "../test/platform/runPowerLosses";
import type { Bench, Figure } from "./Figure";

export const marginBench: Bench = { name: "margin", run };

/** Shares of a core, from the share in `test/system/overload.test.ts` down to half of it. */
const CPU_SHARES = [0.14, 0.12, 0.1, 0.085, 0.07];
const UNANSWERED: VersionDelays = {
  acknowledgedMs: Number.POSITIVE_INFINITY,
  readBackMs: Number.POSITIVE_INFINITY,
};

async function run(): Promise<Figure[]> {
  const figures: Figure[] = [];
  let smallestShare = Number.POSITIVE_INFINITY;
  for (const share of CPU_SHARES) {
    const { after } = await runPowerLosses(share);
    const { acknowledgedMs, readBackMs } = after[0] ?? UNANSWERED;
    figures.push(
      { figure: `acknowledged_${share}`, value: acknowledgedMs, unit: "ms" },
      { figure: `read_back_${share}`, value: readBackMs, unit: "ms" },
    );
    if (Math.max(acknowledgedMs, readBackMs) > CONTACT_MS + ACKNOWLEDGEMENT_MS) break;
    smallestShare = share;
  }
  return [...figures, { figure: "smallest_share", value: smallestShare, unit: "cores" }];
}
