import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { createMembership } from "../../src/consensus";
import { MemoryLog } from "../../src/consensus/MemoryLog";
import { Progress } from "../../src/consensus/Progress";
import { LogEntrySchema } from "../../src/gen/ploverstage/v1/consensus_pb";

const HEARTBEAT_MS = 100;

function createLog(entries: number, bytes = 10): MemoryLog {
  const log = new MemoryLog(createMembership([]));
  for (let index = 1; index <= entries; index++) {
    log.addEntry(
      create(LogEntrySchema, { index, term: 1, body: { case: "command", value: new Uint8Array(bytes) } }),
    );
  }
  return log;
}

function planAppend(progress: Progress, now: number, log: MemoryLog) {
  const { previousIndex, entries } = progress.planAppend(now, log, HEARTBEAT_MS);
  return [previousIndex, entries.length];
}

describe("Progress", () => {
  it("sends each entry once while the member accepts appends", () => {
    const log = createLog(10);
    const progress = new Progress(7);
    expect(planAppend(progress, 0, log)).toEqual([7, 3]);
    expect(planAppend(progress, 0, log)).toEqual([10, 0]);
    progress.addMatch(10);
    expect(planAppend(progress, 0, log)).toEqual([10, 0]);
  });

  it("probes once after many rejections at the same index, then resumes", () => {
    const log = createLog(10);
    const progress = new Progress(10);
    expect(progress.addRejection(4)).toBe(true);
    expect(planAppend(progress, 0, log)).toEqual([4, 6]);
    for (let refusal = 0; refusal < 50; refusal++) expect(progress.addRejection(4)).toBe(false);
    expect(planAppend(progress, 100, log)).toEqual([0, 0]);
    progress.addMatch(0);
    expect(planAppend(progress, 200, log)).toEqual([0, 0]);
    progress.addMatch(10);
    expect(progress.nextIndex).toBe(11);
    expect(planAppend(progress, 300, log)).toEqual([10, 0]);
  });

  it("moves further back after a rejected probe, and repeats a probe without a response", () => {
    const log = createLog(10);
    const progress = new Progress(10);
    progress.addRejection(8);
    expect(planAppend(progress, 0, log)).toEqual([8, 2]);
    expect(progress.addRejection(3)).toBe(true);
    expect(planAppend(progress, 10, log)).toEqual([3, 7]);
    expect(planAppend(progress, 500, log)).toEqual([0, 0]);
    expect(planAppend(progress, 510, log)).toEqual([3, 7]);
  });

  it("limits the size of an append, but sends a large entry whole", () => {
    expect(planAppend(new Progress(0), 0, createLog(10, 100_000))).toEqual([0, 2]);
    expect(planAppend(new Progress(0), 0, createLog(3, 1_000_000))).toEqual([0, 1]);
    expect(planAppend(new Progress(0), 0, createLog(2_000))).toEqual([0, 512]);
  });
});
