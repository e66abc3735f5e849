import { describe, expect, it } from "vitest";
import { ALL_FAULTS, FIRST_FAULTS, LIFE_FAULTS, Soak } from "./Soak";

/** Seeds that failed once, each with a line on its cause; rerun with every change. */
const REGRESSION_SEEDS: readonly number[] = [
  // A control process that woke from a freeze ended: its peers had closed its sessions, and
  // their errors came when no call listened any more (GuardedSessionManager).
  101, 102,
  // An instance took a place while its own head was open: the time after which the head must have broken
  // was taken for proof against its own report (GivenUpPlaces).
  41000,
];
/** Seeds that failed with all faults, one in some runs, each with a line on its cause. */
const ALL_FAULTS_SEEDS: readonly number[] = [
  // An ordinary request was refused for good: two runs that broke off at one instance counted as two crashes in a row, and
  // a request that was kept away had no run left that could have cleared it (CrashLedger).
  71010,
];
const ALL_FAULTS_MS = 12_000;
const CI_SEED = 20_261_202;
const CI_DURATION_MS = 10_000;

describe("the soak", () => {
  it.each([CI_SEED, ...REGRESSION_SEEDS])("breaks no promise with seed %i", async (seed) => {
    const result = await new Soak(seed, { faults: FIRST_FAULTS }).run(CI_DURATION_MS);
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });

  it("breaks no promise with workers that start again under their ids, and odd reports", async () => {
    const result = await new Soak(CI_SEED, { faults: LIFE_FAULTS }).run(CI_DURATION_MS);
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });

  it("breaks no promise with a request that crashes the workers that run it", async () => {
    const faults = ["sendCrashingRequest", "crashWorker", "killEntry", "killControl"] as const;
    const result = await new Soak(CI_SEED, { faults }).run(CI_DURATION_MS);
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });

  it.each(ALL_FAULTS_SEEDS)("breaks no promise with all faults and seed %i", async (seed) => {
    const result = await new Soak(seed, { faults: ALL_FAULTS }).run(ALL_FAULTS_MS);
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });

  it("sees that workers are missed where their starts are not told (a defect on purpose)", async () => {
    const soak = new Soak(CI_SEED, { faults: ["restartWorker"], hidesStarts: true });
    const result = await soak.run(CI_DURATION_MS / 2);
    expect(result.violations.join()).toContain("workers serve");
  });
});
