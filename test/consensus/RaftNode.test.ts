import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { BrokenInvariant } from "../../src/errors";
import { ConsensusModel, type Defect, type Step, Violation } from "./ConsensusModel";
import { anySchedule } from "./schedules";

/**
 * Each run uses the same schedules. Another seed selects others: `CONSENSUS_SEED=7 npx vitest run
 * test/consensus`.
 */
const SEED = Number(process.env.CONSENSUS_SEED ?? 20_261_202);
const RUNS = Number(process.env.CONSENSUS_RUNS ?? 400);

function runSchedule(size: number, steps: readonly Step[], defect: Defect = "none"): ConsensusModel {
  const model = new ConsensusModel(size, defect);
  model.run({ kind: "settle", rounds: 30 });
  for (const step of steps) model.run(step);
  model.finish();
  return model;
}

describe("RaftNode", () => {
  describe("under generated schedules of failures", () => {
    function doTest(size: number) {
      let committed = 0;
      const property = fc.property(anySchedule, (steps) => {
        committed += runSchedule(size, steps).committedCount;
      });
      fc.assert(property, { seed: SEED, numRuns: RUNS, verbose: fc.VerbosityLevel.None });
      // The checks would also pass in a model that commits nothing.
      expect(committed).toBeGreaterThan(RUNS * 8);
    }

    it("preserves all invariants with three members", () => doTest(3));
    it("preserves all invariants with five members", () => doTest(5));
    it("preserves all invariants with one member", () => doTest(1));
  });

  describe("with an injected defect", () => {
    function doTest(defect: Defect) {
      const property = fc.property(anySchedule, (steps) => {
        runSchedule(3, steps, defect);
      });
      const found = fc.check(property, { seed: SEED, numRuns: 4_000, endOnFailure: true });
      expect(found.failed).toBe(true);
      // The failure must come from an invariant check, not from another error.
      const { errorInstance } = found;
      expect(errorInstance instanceof Violation || errorInstance instanceof BrokenInvariant).toBe(true);
    }

    it("violates an invariant if responses are sent before their sync", () => doTest("answersBeforeSync"));
    it("violates an invariant if the quorum is one member too small", () => doTest("smallQuorum"));
    it("violates an invariant if reads are not confirmed by a majority", () =>
      doTest("readsWithoutConfirming"));
  });

  describe("transferLeadership", () => {
    it("makes another member the leader before an election timeout", () => {
      const model = new ConsensusModel(3);
      model.run({ kind: "settle", rounds: 40 });
      const before = model.getLeaderNames();
      for (const member of [0, 1, 2]) model.run({ kind: "transfer", member });
      // Three rounds of 30 ms, less than the shortest election timeout.
      model.run({ kind: "settle", rounds: 3 });
      expect(model.getLeaderNames()).not.toEqual(before);
      model.finish();
    });
  });

  describe("replication to a member that lacks many entries", () => {
    it("sends each entry about once, even if the member rejects many appends", () => {
      const model = new ConsensusModel(3);
      model.run({ kind: "settle", rounds: 40 });
      const leader = ["m0", "m1", "m2"].indexOf(model.getLeaderNames()[0]!);
      const away = (leader + 1) % 3;
      const missed = 60;
      model.run({ kind: "cut", from: leader, to: away });
      for (let i = 0; i < missed; i++) {
        model.run({ kind: "propose", member: 1, choice: 0 });
        model.run({ kind: "settle", rounds: 1 });
      }
      model.run({ kind: "heal", from: leader, to: away });
      const before = model.sentEntries[away]!;
      // Many messages are in flight before the member rejects the first one.
      const more = 20;
      for (let i = 0; i < more; i++) {
        model.run({ kind: "propose", member: 1, choice: 0 });
        model.run({ kind: "advance", ms: 10 });
      }
      model.run({ kind: "settle", rounds: 40 });
      expect(model.sentEntries[away]! - before).toBeLessThan(1.5 * (missed + more));
      model.finish();
    });
  });

  describe("a member after a long partition", () => {
    it("does not start a new term when it reconnects", () => {
      const model = new ConsensusModel(3);
      model.run({ kind: "settle", rounds: 40 });
      const cuts = [0, 1, 2].flatMap((other) => [
        { from: 2, to: other },
        { from: other, to: 2 },
      ]);
      for (const cut of cuts) model.run({ kind: "cut", ...cut });
      model.run({ kind: "settle", rounds: 400 });
      const before = model.getTerms();
      for (const cut of cuts) model.run({ kind: "heal", ...cut });
      model.run({ kind: "settle", rounds: 40 });
      expect(Math.max(...model.getTerms())).toBe(Math.max(...before.slice(0, 2)));
    });
  });
});
