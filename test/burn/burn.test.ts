import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { BurnRecorder, BurnStore, createBurnReport, HELD_MINUTES, renderBurnHtml } from "../../src/burn";
import { LossStatusSchema } from "../../src/gen/ploverstage/v1/control_pb";
import { EntryId } from "../../src/ids";

const MINUTE = 60_000;
const NOW = 1_000 * MINUTE;
const OBJECTIVES = [{ requestClass: "draft", objective: 0.9, firstTokenMs: 1_200 }];

function record(recorder: BurnRecorder, minutesAgo: number, good: number, bad: number) {
  const at = NOW - minutesAgo * MINUTE;
  for (let i = 0; i < good; i++) recorder.addRequest(at, "atlas", "draft", "good", 100);
  for (let i = 0; i < bad; i++) recorder.addRequest(at, "atlas", "draft", "shed", undefined);
}

function report(recorder: BurnRecorder) {
  return createBurnReport(NOW, recorder.takeChanged(NOW, true), OBJECTIVES, []);
}

describe("createBurnReport", () => {
  it("gives the bad share over what the objective allows, by window", () => {
    const recorder = new BurnRecorder();
    record(recorder, 0, 80, 20);
    record(recorder, 20, 100, 0);
    const [row] = report(recorder).rows;
    expect(row!.spans.map((span) => [span.minutes, span.total, Math.round(span.burnRate * 10) / 10])).toEqual(
      [
        [5, 100, 2],
        [30, 200, 1],
        [60, 200, 1],
        [360, 200, 1],
      ],
    );
    expect(row!.firstTokenP50Ms).toBe(100);
  });

  function doTest(minutesAgo: readonly number[], bad: number, objective: number, alert: string | undefined) {
    const recorder = new BurnRecorder();
    for (const minutes of minutesAgo) record(recorder, minutes, 100 - bad, bad);
    const objectives = [{ requestClass: "draft", objective, firstTokenMs: 1 }];
    expect(createBurnReport(NOW, recorder.takeChanged(NOW, true), objectives, []).rows[0]!.alert).toBe(alert);
  }

  it("alerts fast while both the hour and the last minutes burn", () => doTest([0, 50], 20, 0.99, "fast"));
  it("does not alert for what is over", () => doTest([50, 55], 20, 0.99, undefined));
  it("alerts slowly for what smoulders", () => doTest([0, 10, 100, 200, 300], 8, 0.99, "slow"));
  it("does not alert for a handful of requests", () => {
    const recorder = new BurnRecorder();
    record(recorder, 0, 2, 3);
    expect(report(recorder).rows[0]!.alert).toBeUndefined();
  });
  it("gives no rate for nothing", () => doTest([0], 0, 0.99, undefined));
  it("takes a class that is no longer declared", () => {
    const recorder = new BurnRecorder();
    record(recorder, 0, 1, 1);
    expect(createBurnReport(NOW, recorder.takeChanged(NOW, true), [], []).rows[0]!.objective).toBe(0.95);
  });
});

describe("BurnRecorder", () => {
  it("gives windows again only when they changed, and all to a new leader", () => {
    const recorder = new BurnRecorder();
    record(recorder, 0, 1, 0);
    expect(recorder.takeChanged(NOW, false)).toHaveLength(1);
    expect(recorder.takeChanged(NOW, false)).toHaveLength(0);
    expect(recorder.takeChanged(NOW, true)).toHaveLength(1);
  });

  it("forgets what is older than is held", () => {
    const recorder = new BurnRecorder();
    record(recorder, HELD_MINUTES + 1, 1, 0);
    expect(recorder.takeChanged(NOW, true)).toHaveLength(0);
  });
});

describe("BurnStore", () => {
  it("counts a window that is sent twice once, and adds those of entries", () => {
    const recorder = new BurnRecorder();
    record(recorder, 0, 3, 1);
    const windows = recorder.takeChanged(NOW, true);
    const store = new BurnStore();
    store.setWindows(EntryId("a"), windows);
    store.setWindows(EntryId("a"), windows);
    store.setWindows(EntryId("b"), windows);
    const [merged] = store.getMerged();
    expect(merged).toMatchObject({ good: 6, shed: 2 });
    const [row] = createBurnReport(NOW, [merged!], OBJECTIVES, []).rows;
    expect(row!.firstTokenP95Ms).toBe(100);
  });

  it("forgets old windows", () => {
    const recorder = new BurnRecorder();
    record(recorder, 0, 1, 0);
    const store = new BurnStore();
    store.setWindows(EntryId("a"), recorder.takeChanged(NOW, true));
    store.removeExpired(NOW / MINUTE + HELD_MINUTES + 1);
    expect(store.getMerged()).toEqual([]);
  });
});

describe("renderBurnHtml", () => {
  it("stands alone, with a plot, and escapes what it is given", () => {
    const recorder = new BurnRecorder();
    recorder.addRequest(NOW, "<script>", "draft", "late", 5_000);
    const loss = {
      model: "m",
      failureDomain: "d",
      cause: "lost",
      groupDowntimeS: 12.34,
      strandedAcceleratorS: 5,
    };
    const losses = [create(LossStatusSchema, loss)];
    const page = renderBurnHtml(createBurnReport(NOW, recorder.takeChanged(NOW, true), OBJECTIVES, losses));
    expect(page).not.toContain("<script>");
    expect(page).not.toMatch(/(src|href)=/);
    expect(page).toContain("<svg");
    expect(page).toContain("12.3");
  });

  it("says that nothing was counted", () => {
    expect(renderBurnHtml(createBurnReport(NOW, [], [], []))).toContain("No requests were counted");
  });
});
