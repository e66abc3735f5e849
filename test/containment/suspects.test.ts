/** Requests with several parts of prompts, some of which crash the instances that run them. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  CrashLedger,
  CrashTable,
  getPartDigest,
  MAX_CRASH_RECORDS,
  type RequestDigest,
  type Suspect,
} from "../../src/containment";

const RUN_MS = 50;
/** Time between two requests, longer than the pause before a suspected request may run again. */
const INTERVAL_MS = 1_100;
const MAX_CRASHES = 5;
const INNOCENT_PARTS = ["p0", "p1", "p2", "p3", "p4", "p5"];

interface Request {
  readonly entry: number;
  readonly parts: readonly string[];
}

/** Entries that report each crash and success at once, and endpoints that crash on hidden causes. */
class Traffic {
  readonly entries: readonly CrashLedger[];
  readonly crashes: string[][] = [];
  private readonly _committed = new CrashTable(MAX_CRASH_RECORDS);
  private readonly _causes: ReadonlySet<string>;
  private _now = 0;
  private _count = 0;

  constructor(entries: number, causes: readonly string[]) {
    this.entries = Array.from({ length: entries }, () => new CrashLedger());
    this._causes = new Set(causes);
  }

  /** Runs a request if it is admitted; returns what became of it. */
  run({ entry, parts }: Request): "served" | "crashed" | "refused" {
    this._now += INTERVAL_MS;
    const suspects = this._createSuspects(parts);
    const ledger = this.entries[entry]!;
    if (ledger.admitSuspects(this._now, suspects) === "keptAway") return "refused";
    const startedAt = this._now;
    this._now += RUN_MS;
    const isCrash = parts.some((part) => this._causes.has(part));
    if (isCrash) this._addCrash(ledger, suspects, startedAt, parts);
    else for (const { digest } of suspects) ledger.addSuccess(this._now, digest);
    for (const record of ledger.takePending()) this._committed.addRecord(record);
    for (const other of this.entries) other.addCommitted(this._now, this._committed.getRecords());
    return isCrash ? "crashed" : "served";
  }

  private _createSuspects(parts: readonly string[]): Suspect[] {
    const request = { digest: `request-${this._count++}` as RequestDigest, isPart: false };
    return [request, ...parts.map((id) => ({ digest: getPartDigest(id), isPart: true }))];
  }

  private _addCrash(
    ledger: CrashLedger,
    suspects: readonly Suspect[],
    startedAt: number,
    parts: readonly string[],
  ): void {
    const life = `life-${this.crashes.length}`;
    this.crashes.push([...parts]);
    const crash = { life, startedAt, brokeAt: this._now, wasAnswered: false };
    for (const suspect of suspects) ledger.addCrash({ ...suspect, ...crash });
  }
}

function createRequest(causes: readonly string[]): fc.Arbitrary<Request> {
  return fc.record({
    entry: fc.integer({ min: 0, max: 2 }),
    parts: fc.uniqueArray(fc.constantFrom(...INNOCENT_PARTS, ...causes), { minLength: 1, maxLength: 4 }),
  });
}

describe("parts of prompts that crash instances", () => {
  it("end five instances each at most, wherever they stand and whatever stands beside them", () => {
    for (const causes of [["bad"], ["bad", "worse"]]) {
      fc.assert(
        fc.property(fc.array(createRequest(causes), { minLength: 10, maxLength: 120 }), (requests) => {
          const traffic = new Traffic(3, causes);
          for (const request of requests) traffic.run(request);
          for (const cause of causes) {
            // Two causes in one request end an instance for both.
            const crashes = traffic.crashes.filter((parts) => parts.includes(cause));
            expect(crashes.length).toBeLessThanOrEqual(MAX_CRASHES * causes.length);
          }
        }),
      );
    }
  });

  it("do not take service from requests without them for longer than one more run", () => {
    fc.assert(
      fc.property(fc.array(createRequest(["bad"]), { minLength: 10, maxLength: 120 }), (requests) => {
        const traffic = new Traffic(3, ["bad"]);
        for (const request of requests) traffic.run(request);
        for (const part of INNOCENT_PARTS) traffic.run({ entry: 0, parts: [part] });
        for (const part of INNOCENT_PARTS) {
          for (const entry of [0, 1, 2]) expect(traffic.run({ entry, parts: [part] })).toBe("served");
        }
      }),
    );
  });

  it("do not keep away a part that always stood beside them, once it is seen without them", () => {
    const traffic = new Traffic(3, ["bad"]);
    for (let i = 0; i < 10; i++) traffic.run({ entry: i % 3, parts: ["beside", "bad"] });
    expect(traffic.crashes).toHaveLength(3);
    expect(traffic.run({ entry: 0, parts: ["beside"] })).toBe("served");
    expect(traffic.run({ entry: 1, parts: ["beside", "p1"] })).toBe("served");
    expect(traffic.run({ entry: 1, parts: ["beside", "bad"] })).toBe("refused");
  });

  it("are kept away as well when the part beside them crashes an instance without them", () => {
    const traffic = new Traffic(3, ["bad"]);
    for (let i = 0; i < 3; i++) traffic.run({ entry: i, parts: ["beside", "bad"] });
    expect(traffic.run({ entry: 0, parts: ["bad"] })).toBe("crashed");
    for (let i = 0; i < 6; i++) expect(traffic.run({ entry: i % 3, parts: ["bad", "p1"] })).toBe("refused");
    expect(traffic.run({ entry: 0, parts: ["beside"] })).toBe("served");
  });

  it("are not mistaken for the parts of requests that ran when a rack was lost", () => {
    const ledger = new CrashLedger();
    const suspects = INNOCENT_PARTS.map((id) => ({ digest: getPartDigest(id), isPart: true }));
    for (let i = 0; i < 20; i++) {
      const crash = { life: `rack-${i}`, startedAt: 0, brokeAt: 100, wasAnswered: false };
      for (const suspect of suspects) ledger.addCrash({ ...suspect, ...crash });
    }
    expect(ledger.areSuspectsBlocked(5_000, suspects)).toBe(false);
  });

  it("are kept away although a single request and a part are the cause at the same time", () => {
    const ledger = new CrashLedger();
    const request = { digest: "deadly" as RequestDigest, isPart: false };
    const part = { digest: getPartDigest("bad"), isPart: true };
    for (let i = 0; i < 4; i++) {
      const startedAt = i * INTERVAL_MS;
      const brokeAt = startedAt + RUN_MS;
      ledger.addCrash({ ...request, life: `a-${i}`, startedAt, brokeAt, wasAnswered: false });
      ledger.addCrash({ ...part, life: `b-${i}`, startedAt, brokeAt, wasAnswered: false });
    }
    expect(ledger.getConfirmedCause([request])).toEqual(request);
    expect(ledger.getConfirmedCause([{ digest: "other" as RequestDigest, isPart: false }, part])).toEqual(
      part,
    );
  });
});
