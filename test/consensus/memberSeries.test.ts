/**
 * Series of troubles that overlap, then calm. `SERIES_SEED=7 SERIES_RUNS=2000 npx vitest run test/consensus/memberSeries.test.ts`
 * plays others.
 */
import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/consensus";
import { type Load, MemberSeries, TROUBLES } from "./FailureSeries";

const FIRST_SEED = Number(process.env.SERIES_SEED ?? 10_000);
const RUNS = Number(process.env.SERIES_RUNS ?? 300);
/** Six machines, of which five vote and two may be lost at once. */
const MACHINES = 6;
const START_MS = 6_000;
const MIN_TROUBLES = 3;
const MORE_TROUBLES = 8;
const SHORTEST_MS = 300;
const LONGEST_MS = 6_000;
const LONGEST_GAP_MS = 4_000;
/** It counts as calm once nothing has happened for so long, and an order is to be agreed on within two seconds then. */
const CALM_MS = 4_000;
const AGREED_MS = 2_000;
/** By then every voter that is gone has given its place to a machine that runs. */
const SETTLED_MS = 15_000;
const LOADS: readonly Load[] = [
  { waits: [1, 5], firstWork: 0 },
  { waits: [10, 80], firstWork: 200 },
  { waits: [50, 300], firstWork: 600 },
];

/** What is left of one series. */
interface Outcome {
  readonly seed: number;
  /** Until an order was agreed on, from the last trouble on, milliseconds. */
  readonly agreedMs: number | undefined;
  /** Voters that no machine runs. */
  readonly goneVoters: readonly string[];
  readonly troubles: readonly string[];
  readonly violations: readonly string[];
}

function play(seed: number, load = LOADS[seed % LOADS.length]!): Outcome {
  const random = new SeededRandom(seed);
  const series = new MemberSeries(MACHINES, seed, load);
  series.run(START_MS);
  const count = MIN_TROUBLES + Math.floor(random.next() * MORE_TROUBLES);
  for (let i = 0; i < count; i++) {
    const trouble = TROUBLES[Math.floor(random.next() * TROUBLES.length)]!;
    series.begin(trouble, SHORTEST_MS + random.next() * (LONGEST_MS - SHORTEST_MS));
    series.run(random.next() * LONGEST_GAP_MS);
  }
  series.calm();
  const agreedMs = series.findAgreement(CALM_MS + AGREED_MS);
  series.run(SETTLED_MS);
  series.checkLogs();
  const { history: troubles, violations } = series;
  return { seed, agreedMs, goneVoters: series.getGoneVoters(), troubles, violations };
}

describe("members after a series of troubles", () => {
  const outcomes = Array.from({ length: RUNS }, (_, i) => play(FIRST_SEED + i));
  const getLate = (played: readonly Outcome[]) => played.filter(({ agreedMs }) => agreedMs === undefined);

  it("agree on an order in calm", () => {
    expect(getLate(outcomes)).toEqual([]);
  });

  it("have one leader a term and one entry an index", () => {
    expect(outcomes.filter(({ violations }) => violations.length > 0)).toEqual([]);
  });

  it("leave no vote with a machine that is gone", () => {
    expect(outcomes.filter(({ goneVoters }) => goneVoters.length > 0)).toEqual([]);
  });

  it("agree on an order in calm, where gone voters kept their votes for five seconds", () => {
    const seeds = [
      40_011, 40_311, 40_377, 40_513, 40_522, 40_600, 40_613, 40_649, 40_669, 40_687, 40_699, 40_775, 40_878,
      40_914, 40_945, 41_038, 41_050, 41_206, 41_566, 42_149,
    ];
    expect(getLate(seeds.map((seed) => play(seed, LOADS[2])))).toEqual([]);
  });

  it("agree on an order in calm after losses that overlap with a split on slow machines", () => {
    expect(getLate([40_371, 40_457, 41_216, 61_301].map((seed) => play(seed, LOADS[2])))).toEqual([]);
  });
});
