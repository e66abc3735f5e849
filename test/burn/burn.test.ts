import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { BurnRecorder, BurnStore, createBurnReport, RETENTION_MINUTES, renderBurnHtml } from "../../src/burn";
import { LossStatusSchema } from "../../src/gen/ploverstage/v1/control_pb";
import { EntryId } from "../../src/ids";

const MS_PER_MINUTE = 60_000;
const NOW = 1_000 * MS_PER_MINUTE;
const DRAFT_OBJECTIVES = [{ requestClass: "draft", objective: 0.9, firstTokenMs: 1_200 }];

function recordRequests(recorder: BurnRecorder, minutesAgo: number, good: number, bad: number) {
  const at = NOW - minutesAgo * MS_PER_MINUTE;
  for (let i = 0; i < good; i++) recorder.addRequest(at, "atlas", "draft", "good", 100);
  for (let i = 0; i < bad; i++) recorder.addRequest(at, "atlas", "draft", "shed", undefined);
}

function createReport(recorder: BurnRecorder) {
  return createBurnReport(NOW, recorder.takeChanged(NOW, true), DRAFT_OBJECTIVES, []);
}

describe("createBurnReport", () => {
  it("computes the burn rate of each window as the bad share divided by the allowed share", () => {
    const recorder = new BurnRecorder();
    recordRequests(recorder, 0, 80, 20);
    recordRequests(recorder, 20, 100, 0);
    const [row] = createReport(recorder).rows;
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
    for (const minutes of minutesAgo) recordRequests(recorder, minutes, 100 - bad, bad);
    const objectives = [{ requestClass: "draft", objective, firstTokenMs: 1 }];
    expect(createBurnReport(NOW, recorder.takeChanged(NOW, true), objectives, []).rows[0]!.alert).toBe(alert);
  }

  it("raises a fast alert while the rates of the last hour and the last five minutes are high", () =>
    doTest([0, 50], 20, 0.99, "fast"));
  it("raises no alert for a burn that has ended", () => doTest([50, 55], 20, 0.99, undefined));
  it("raises a slow alert for a long burn at a lower rate", () =>
    doTest([0, 10, 100, 200, 300], 8, 0.99, "slow"));
  it("raises no alert for a class with only five requests", () => {
    const recorder = new BurnRecorder();
    recordRequests(recorder, 0, 2, 3);
    expect(createReport(recorder).rows[0]!.alert).toBeUndefined();
  });
  it("raises no alert without bad requests", () => doTest([0], 0, 0.99, undefined));
  it("uses the default objective for a class that is no longer declared", () => {
    const recorder = new BurnRecorder();
    recordRequests(recorder, 0, 1, 1);
    expect(createBurnReport(NOW, recorder.takeChanged(NOW, true), [], []).rows[0]!.objective).toBe(0.95);
  });
});

describe("BurnRecorder", () => {
  it("returns a window again only if it has changed, or for a new leader", () => {
    const recorder = new BurnRecorder();
    recordRequests(recorder, 0, 1, 0);
    expect(recorder.takeChanged(NOW, false)).toHaveLength(1);
    expect(recorder.takeChanged(NOW, false)).toHaveLength(0);
    expect(recorder.takeChanged(NOW, true)).toHaveLength(1);
  });

  it("removes windows older than the retention", () => {
    const recorder = new BurnRecorder();
    recordRequests(recorder, RETENTION_MINUTES + 1, 1, 0);
    expect(recorder.takeChanged(NOW, true)).toHaveLength(0);
  });
});

describe("BurnStore", () => {
  it("counts a repeated window once and adds up the windows of different entries", () => {
    const recorder = new BurnRecorder();
    recordRequests(recorder, 0, 3, 1);
    const windows = recorder.takeChanged(NOW, true);
    const store = new BurnStore();
    store.setWindows(EntryId("a"), windows);
    store.setWindows(EntryId("a"), windows);
    store.setWindows(EntryId("b"), windows);
    const [merged] = store.getMerged();
    expect(merged).toMatchObject({ good: 6, shed: 2 });
    const [row] = createBurnReport(NOW, [merged!], DRAFT_OBJECTIVES, []).rows;
    expect(row!.firstTokenP95Ms).toBe(100);
  });

  it("removes windows older than the retention", () => {
    const recorder = new BurnRecorder();
    recordRequests(recorder, 0, 1, 0);
    const store = new BurnStore();
    store.setWindows(EntryId("a"), recorder.takeChanged(NOW, true));
    store.removeExpired(NOW / MS_PER_MINUTE + RETENTION_MINUTES + 1);
    expect(store.getMerged()).toEqual([]);
  });
});

describe("renderBurnHtml", () => {
  it("renders a self-contained page with a plot and escapes organisation names", () => {
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
    const page = renderBurnHtml(
      createBurnReport(NOW, recorder.takeChanged(NOW, true), DRAFT_OBJECTIVES, losses),
    );
    expect(page).not.toContain("<script>");
    expect(page).not.toMatch(/(src|href)=/);
    expect(page).toContain("<svg");
    expect(page).toContain("12.3");
  });

  it("reports that no requests were counted", () => {
    expect(renderBurnHtml(createBurnReport(NOW, [], [], []))).toContain("No requests were counted");
  });
});
