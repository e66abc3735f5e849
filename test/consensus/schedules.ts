/** Generators of failure schedules. */
import fc from "fast-check";
import type { Step } from "./ConsensusModel";

const member = fc.nat({ max: 4 });
const at = fc.nat({ max: 50 });

function step<K extends Step["kind"]>(
  kind: K,
  fields: Record<string, fc.Arbitrary<unknown>>,
): fc.Arbitrary<Step> {
  return fc.record({ kind: fc.constant(kind), ...fields }) as unknown as fc.Arbitrary<Step>;
}

/** Generates one step; steps that let work continue have the highest weights. */
export const anyStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: step("settle", { rounds: fc.integer({ min: 1, max: 20 }) }) },
  { weight: 4, arbitrary: step("advance", { ms: fc.integer({ min: 1, max: 300 }) }) },
  { weight: 8, arbitrary: step("deliver", { at }) },
  { weight: 2, arbitrary: step("drop", { at }) },
  { weight: 2, arbitrary: step("double", { at }) },
  { weight: 6, arbitrary: step("propose", { member, choice: at }) },
  { weight: 2, arbitrary: step("read", { member }) },
  { weight: 1, arbitrary: step("transfer", { member }) },
  { weight: 1, arbitrary: step("snapshot", { member }) },
  { weight: 2, arbitrary: step("crash", { member, isSynced: fc.boolean() }) },
  { weight: 3, arbitrary: step("restart", { member }) },
  { weight: 1, arbitrary: step("wipe", { member }) },
  { weight: 2, arbitrary: step("join", { member }) },
  { weight: 1, arbitrary: step("pause", { member }) },
  { weight: 2, arbitrary: step("resume", { member }) },
  { weight: 2, arbitrary: step("cut", { from: member, to: member }) },
  { weight: 2, arbitrary: step("heal", { from: member, to: member }) },
);

/** Generates a schedule of 60 to 160 steps. */
export const anySchedule = fc.array(anyStep, { minLength: 60, maxLength: 160, size: "max" });
