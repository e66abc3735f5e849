/**
 * Control on a fifth of a processor after something befell it, with askers that come back when they are not answered.
 * `OVERLOAD_SEED=7 OVERLOAD_RUNS=200 npx vitest run test/overload/recovery.test.ts` plays others.
 */
import { describe, expect, it } from "vitest";
import {
  OverloadSeries,
  type Rules,
  type SeriesOutcome,
  TRIGGERS,
  type Trigger,
  WINDOW_MS,
} from "./OverloadSeries";
import { ArrivalOrder } from "./WorkQueue";

const FIRST_SEED = Number(process.env.OVERLOAD_SEED ?? 1);
const RUNS = Number(process.env.OVERLOAD_RUNS ?? 50);
/** Of every eleven series; each comes with each trigger, with and without entries, in eight times as many. */
const SIZES = [1, 1, 1, 1, 2, 1, 1, 1, 1, 5, 1];
/** At this size instances report more than all processes can take. */
const TOO_GREAT = 5;
/** It counts as calm so long after the last that happened; an order has that much of calm. */
const CONTACT_MS = 4_000;
const CALM_MS = 5_750;
/** After a leader began: an order is acknowledged and read back, and reports are taken; views are complete. */
const ORDER_MS = 2_000;
const VIEW_MS = 3_000;

interface Played {
  readonly seed: number;
  readonly size: number;
  readonly trigger: Trigger;
  readonly losesEntries: boolean;
}

/** Series in which work that nobody waited for any more kept an order from being acknowledged for all the calm. */
const KEPT: readonly Played[] = [
  { seed: 5, size: 2, trigger: "power", losesEntries: true },
  { seed: 17, size: 1, trigger: "power", losesEntries: false },
  { seed: 26, size: 1, trigger: "powerTwice", losesEntries: false },
  { seed: 38, size: 1, trigger: "powerTwice", losesEntries: true },
  { seed: 41, size: 1, trigger: "power", losesEntries: false },
  { seed: 35, size: 5, trigger: "killedLeader", losesEntries: false },
];

function play(played: Played, defects: Partial<Rules> = {}): SeriesOutcome {
  return new OverloadSeries({ ...played, defects, createDiscipline: () => new ArrivalOrder() }).play();
}

function createPlayed(i: number): Played {
  const trigger = TRIGGERS[i % TRIGGERS.length]!;
  const losesEntries = Math.floor(i / TRIGGERS.length) % 2 === 1;
  return { seed: FIRST_SEED + i, size: SIZES[i % SIZES.length]!, trigger, losesEntries };
}

/** Gets when an order was acknowledged and read back. */
function getOrderedAt({ order }: SeriesOutcome): number {
  return Math.max(order.acknowledgedAt ?? Number.POSITIVE_INFINITY, order.readAt ?? Number.POSITIVE_INFINITY);
}

function isOrderedInCalm(outcome: SeriesOutcome): boolean {
  return getOrderedAt(outcome) <= Math.max(outcome.endedAt + CONTACT_MS, outcome.order.sentAt) + CALM_MS;
}

function isOrderedSoon(outcome: SeriesOutcome): boolean {
  const { ledAt = Number.NEGATIVE_INFINITY, order } = outcome;
  return getOrderedAt(outcome) <= Math.max(ledAt, order.sentAt) + ORDER_MS;
}

/** The window that is counted begins after the time. */
function isReportedSoon({ ledAt, reportsBackAt }: SeriesOutcome): boolean {
  return ledAt !== undefined && reportsBackAt !== undefined && reportsBackAt <= ledAt + ORDER_MS + WINDOW_MS;
}

function isShownSoon({ ledAt, entriesBackAt }: SeriesOutcome): boolean {
  return ledAt !== undefined && entriesBackAt !== undefined && entriesBackAt <= ledAt + VIEW_MS;
}

/** Tells of those that fail, by what they were played with. */
function getFailed(outcomes: readonly SeriesOutcome[], holds: (outcome: SeriesOutcome) => boolean): string[] {
  return outcomes
    .filter((outcome) => !holds(outcome))
    .map(({ seed, size, trigger, losesEntries }) => `${seed} ${size} ${trigger} ${losesEntries}`);
}

describe("control after a trigger of overload", () => {
  const outcomes = Array.from({ length: RUNS }, (_, i) => play(createPlayed(i)));
  const atSize1 = outcomes.filter(({ size }) => size === 1);
  const kept = KEPT.map((played) => play(played));

  it("takes nearly all reports before it, at sizes that its processes can bear", () => {
    expect(getFailed(outcomes, ({ size, takenBefore }) => size === TOO_GREAT || takenBefore >= 0.9)).toEqual(
      [],
    );
  });

  it("has an order acknowledged and read back in calm at size 1", () => {
    const played = [...atSize1, ...kept.filter(({ size }) => size === 1)];
    expect(getFailed(played, isOrderedInCalm)).toEqual([]);
  });

  it("has an order acknowledged and read back two seconds after a leader began at size 1, where control kept its power", () => {
    const powered = atSize1.filter(({ trigger }) => !trigger.startsWith("power"));
    expect(getFailed(powered, isOrderedSoon)).toEqual([]);
  });

  it("takes as many reports as before two seconds after a leader began, and shows all entries its view after three, at size 1", () => {
    expect(getFailed(atSize1, isReportedSoon)).toEqual([]);
    expect(getFailed(atSize1, isShownSoon)).toEqual([]);
  });

  it("has an order acknowledged and read back two seconds after a leader began", () => {
    expect(getFailed(outcomes, isOrderedSoon)).toEqual([]);
  });

  it("has an order acknowledged and read back in calm, takes reports and shows its view, at twice and five times the size", () => {
    const borne = outcomes.filter(({ size }) => size !== TOO_GREAT);
    const failed = {
      orders: getFailed([...outcomes, ...kept], isOrderedInCalm),
      reports: getFailed(borne, isReportedSoon),
      views: getFailed(borne, isShownSoon),
    };
    expect(failed).toEqual({ orders: [], reports: [], views: [] });
  });

  it("is kept from it at size 1 where entries tell of each target in a call of its own (a defect on purpose)", () => {
    const played = atSize1.map((series) => play(series, { gathersSuspicions: false }));
    expect(getFailed(played, isOrderedInCalm)).not.toEqual([]);
  });

  it("is kept from it at size 1 where entries drop an older view and ask on (a defect on purpose)", () => {
    const defects = { keepsWatchers: false, speaksByAgreement: false, sendsEntriesToLeader: true };
    const played = KEPT.filter(({ size }) => size === 1).map((series) => play(series, defects));
    expect(getFailed(played, isOrderedInCalm)).not.toEqual([]);
  });
});
