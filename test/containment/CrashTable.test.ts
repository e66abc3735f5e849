import { create } from "@bufbuild/protobuf";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { CrashTable, mergeCrashRecords } from "../../src/containment";
import { type CrashRecord, CrashRecordSchema } from "../../src/gen/ploverstage/v1/state_pb";

const LIMIT = 8;

/**
 * A crash: the incarnation that ended, the number of crashes in a row, and whether part of a response had
 * been received.
 */
type Crash = readonly [life: string, depth: number, answered?: boolean];

function createRecord(digest: string, crashes: readonly Crash[], generation = 0, releases = 0): CrashRecord {
  return create(CrashRecordSchema, {
    digest,
    generation,
    releases,
    crashes: crashes.map(([life, depth, answered = false]) => ({ life, depth, answered })),
  });
}

function createTable(...records: readonly CrashRecord[]): CrashTable {
  const table = new CrashTable(LIMIT);
  for (const record of records) table.addRecord(record);
  return table;
}

const crashes = fc.array(
  fc.tuple(fc.constantFrom("a", "b", "c", "d"), fc.integer({ min: 1, max: 4 }), fc.boolean()),
  { maxLength: 5 },
);
const record = fc
  .tuple(crashes, fc.integer({ min: 0, max: 2 }), fc.integer({ min: 0, max: 2 }))
  .map(([recorded, generation, releases]) =>
    normalizeRecord(createRecord("x", recorded, generation, releases)),
  );

/** Brings a record into the form in which tables store it: each incarnation once, in a fixed order. */
function normalizeRecord(record: CrashRecord): CrashRecord {
  return mergeCrashRecords(record, record);
}

describe("mergeCrashRecords", () => {
  it("is commutative, associative and idempotent", () => {
    fc.assert(
      fc.property(record, record, record, (a, b, c) => {
        expect(mergeCrashRecords(a, b)).toEqual(mergeCrashRecords(b, a));
        expect(mergeCrashRecords(mergeCrashRecords(a, b), c)).toEqual(
          mergeCrashRecords(a, mergeCrashRecords(b, c)),
        );
        expect(mergeCrashRecords(mergeCrashRecords(a, b), b)).toEqual(mergeCrashRecords(a, b));
      }),
    );
  });

  it("merges the reports of two entries on one incarnation into one crash", () => {
    const joined = mergeCrashRecords(createRecord("x", [["a", 1, true]]), createRecord("x", [["a", 2]]));
    expect(joined.crashes).toEqual([expect.objectContaining({ life: "a", depth: 1, answered: false })]);
  });
});

describe("CrashTable", () => {
  it("does not suspect a request with one crash in a row, even on many instances", () => {
    const lives = Array.from({ length: 20 }, (_, i): Crash => [`life-${i}`, 1]);
    expect(createTable(createRecord("x", lives)).getVerdict("x")).toBe("free");
  });

  it("suspects the sole request of two crashes in a row, and confirms it with the third crash", () => {
    const table = createTable(createRecord("x", [["a", 1]]));
    expect(table.getVerdict("x")).toBe("free");
    table.addRecord(createRecord("x", [["b", 2]]));
    expect(table.getVerdict("x")).toBe("doubted");
    table.addRecord(createRecord("x", [["c", 3]]));
    expect(table.getVerdict("x")).toBe("proven");
    expect(table.countConfirmedCauses()).toBe(1);
  });

  it("does not suspect a request before its third crash if another request ran concurrently", () => {
    const concurrent = createRecord("y", [["b", 1]]);
    const table = createTable(
      createRecord("x", [
        ["a", 1],
        ["b", 2],
      ]),
      concurrent,
    );
    expect(table.getVerdict("x")).toBe("free");
    table.addRecord(createRecord("x", [["c", 3]]));
    expect(table.getVerdict("x")).toBe("proven");
    expect(table.getVerdict("y")).toBe("free");
  });

  it("suspects the remaining request after a concurrent one ran successfully", () => {
    const twice: Crash[] = [
      ["a", 1],
      ["b", 2],
    ];
    const table = createTable(createRecord("x", twice), createRecord("y", twice));
    expect([table.getVerdict("x"), table.getVerdict("y")]).toEqual(["free", "free"]);
    table.addRecord(createRecord("y", [], 1));
    expect([table.getVerdict("x"), table.getVerdict("y")]).toEqual(["doubted", "free"]);
  });

  it("suspects a request without a response rather than one that had received part of a response", () => {
    const table = createTable(
      createRecord("x", [
        ["a", 1],
        ["b", 2],
      ]),
      createRecord("y", [
        ["a", 1, true],
        ["b", 2, true],
      ]),
    );
    expect([table.getVerdict("x"), table.getVerdict("y")]).toEqual(["doubted", "free"]);
  });

  it("clears a request after a successful run, including crashes that are reported later", () => {
    const table = createTable(
      createRecord("x", [
        ["a", 1],
        ["b", 2],
        ["c", 3],
      ]),
      createRecord("x", [], 1),
    );
    table.addRecord(createRecord("x", [["d", 4]]));
    expect(table.getVerdict("x")).toBe("free");
  });

  it("confirms a released request with one crash", () => {
    const table = createTable(createRecord("x", [], 1, 1));
    expect(table.getVerdict("x")).toBe("doubted");
    table.addRecord(createRecord("x", [["a", 1]], 1, 1));
    expect(table.getVerdict("x")).toBe("proven");
  });

  it("evicts records without a confirmed cause first, and never exceeds its limit", () => {
    const proven = createRecord("x", [
      ["a", 1],
      ["b", 2],
      ["c", 3],
    ]);
    const table = createTable(proven);
    for (let i = 0; i < 100; i++) table.addRecord(createRecord(`y${i}`, [[`rack-${i % 20}`, 1]]));
    expect(table.getRecords().length).toBe(LIMIT);
    expect(table.getVerdict("x")).toBe("proven");
    for (let i = 0; i < 100; i++) {
      table.addRecord(
        createRecord(`z${i}`, [
          [`z${i}-a`, 1],
          [`z${i}-b`, 2],
          [`z${i}-c`, 3],
        ]),
      );
    }
    expect(table.getRecords().length).toBe(LIMIT);
    expect(table.getVerdict("z99")).toBe("proven");
  });
});
