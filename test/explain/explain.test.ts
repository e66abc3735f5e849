import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, expect, it } from "vitest";
import { createExplanation, readDecisionLog } from "../../src/explain";
import { answer, GatewayHarness, type Script, streamEvents } from "../gateway/GatewayHarness";
import { waitUntil } from "../support/waitUntil";

const START_MS = Date.parse("2030-01-01T00:00:00.000Z");

function createLogLine(atMs: number, fields: object): string {
  const time = new Date(START_MS + atMs).toISOString();
  return `  12.3 some-process ${JSON.stringify({ time, name: "p", ...fields })}`;
}

function createRequestLine(atMs: number, fields: object = {}): string {
  return createLogLine(atMs + 10, {
    event: "request_ended",
    model: "m",
    outcome: "done",
    code: "",
    took_ms: 10,
    objective_ms: 300,
    gap_objective_ms: 200,
    firstEventMs: 100,
    longestGapMs: 50,
    ...fields,
  });
}

describe("createExplanation", () => {
  it("counts requests by outcome and by the second of their arrival", () => {
    const { seconds } = createExplanation(
      readDecisionLog([
        createRequestLine(1_000),
        createRequestLine(1_100, { firstEventMs: 400 }),
        createRequestLine(1_200, { longestGapMs: 900 }),
        createRequestLine(1_300, { outcome: "cut" }),
        createRequestLine(1_400, { outcome: "refused", code: "overloaded", firstEventMs: undefined }),
        createRequestLine(1_500, { outcome: "refused", code: "unknown_key", firstEventMs: undefined }),
        createRequestLine(2_000),
      ]),
    );
    expect(seconds).toHaveLength(2);
    expect(seconds[0]).toMatchObject({
      at: "2030-01-01T00:00:01.000Z",
      arrived: 5,
      fates: { inTime: 1, lateStart: 1, lateGap: 1, cut: 1, refused: 1 },
    });
    expect(seconds[1]!.fates.inTime).toBe(1);
  });

  it("lists ended instance incarnations with their cause", () => {
    const life = { event: "life_ended", instance: "i-1", born: START_MS, ground: "newerLife" };
    const { endedLives } = createExplanation(
      readDecisionLog([createLogLine(2_000, life), createRequestLine(1_000)]),
    );
    expect(endedLives).toMatchObject([{ instance: "i-1", born: START_MS, ground: "newerLife" }]);
  });

  it("merges consecutive seconds without service into one blackout with its cause", () => {
    const refused = { outcome: "refused", code: "no_declaration", firstEventMs: undefined };
    const lines = [0, 1, 2, 5].flatMap((second) => [
      createRequestLine(second * 1_000, refused),
      createRequestLine(second * 1_000 + 500, refused),
      createRequestLine(second * 1_000 + 700),
    ]);
    const { blackouts } = createExplanation(
      readDecisionLog([...lines, createRequestLine(3_000), createRequestLine(4_000)]),
    );
    expect(blackouts).toEqual([
      { from: "2030-01-01T00:00:00.000Z", seconds: 3, lost: 6, mainCause: "no_declaration" },
      { from: "2030-01-01T00:00:05.000Z", seconds: 1, lost: 2, mainCause: "no_declaration" },
    ]);
  });

  it("measures first events by model, and counts failed attempts by reason without numbers", () => {
    const failures = [{ reason: "no data for 512 ms", tookMs: 600 }];
    const { models, attempts } = createExplanation(
      readDecisionLog([
        ...[100, 200, 900].map((firstEventMs, i) => createRequestLine(i, { firstEventMs })),
        createRequestLine(5, { model: "", firstEventMs: undefined, failures }),
        createRequestLine(6, { failures: [{ reason: "no data for 733 ms", tookMs: 800 }] }),
      ]),
    );
    expect(models.map((row) => row.model)).toEqual(["", "m"]);
    expect(models[1]).toMatchObject({ answered: 4, lateShare: 0.25, p50Ms: 200, p99Ms: 900 });
    expect(attempts).toEqual([{ reason: "no data for N ms", count: 2, meanMs: 700 }]);
  });

  it("counts instances that are present but in no serving replica", () => {
    const { idle } = createExplanation(
      readDecisionLog([
        createLogLine(0, { event: "groups_sized", service: "s", instances: { d0: 4, d1: 3 } }),
        createLogLine(1_000, { event: "replica_formed", replica: "m-1", model: "m", instances: ["a", "b"] }),
        createLogLine(2_000, { event: "replica_moved", replica: "m-1", phase: "SERVING", reason: "whole" }),
        createLogLine(5_000, { event: "replica_moved", replica: "m-1", phase: "RETIRING", reason: "lost" }),
        createLogLine(6_000, { event: "replica_moved", replica: "m-1", phase: "RELEASED", reason: "free" }),
      ]),
    );
    expect(idle.map(({ seconds, idle: count, replicas }) => [seconds, count, replicas])).toEqual([
      [1, 7, {}],
      [1, 7, {}],
      [3, 5, { m: 1 }],
      [1, 7, {}],
    ]);
    expect(idle.at(-1)?.reasons).toEqual(["lost"]);
  });

  it("skips and counts lines that are not decisions", () => {
    const log = readDecisionLog(["", "no json", "{", '{"event":"other"}', createRequestLine(0)]);
    expect(log).toMatchObject({ skippedLines: 4, requests: [{ model: "m" }] });
  });
});

describe("ploverstage explain", () => {
  const notRun: Script = (seen, response) => answer(503, "", { "x-not-run": "1" })(seen, response);
  let harness: GatewayHarness;
  let folder: string;
  afterEach(async () => {
    await harness.stop();
    rmSync(folder, { recursive: true, force: true });
  });

  it("reads the log of a gateway", async () => {
    folder = mkdtempSync(join(tmpdir(), "explain-"));
    harness = await GatewayHarness.start([notRun, streamEvents([1, 2], "whole")], {
      kind: "stream",
      isResumable: true,
    });
    await harness.call();
    await waitUntil("the end of the request is logged", () =>
      harness.logLines.some((line) => line.includes("request_ended")),
    );
    const file = join(folder, "entry.log");
    writeFileSync(file, harness.logLines.join(""));
    const text = execFileSync(process.execPath, ["dist/test/ploverstage.cjs", "explain", "--json", file], {
      encoding: "utf8",
    });
    const { attempts, models } = JSON.parse(text.split("\n")[0]!);
    expect(attempts).toMatchObject([{ reason: "endpoint refused the request with N", count: 1 }]);
    expect(models).toMatchObject([{ answered: 1, lateShare: 0 }]);
  });
});
