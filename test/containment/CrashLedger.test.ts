import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { CrashLedger, CrashTable, MAX_CRASH_RECORDS, type RequestDigest } from "../../src/containment";

const GUILTY = "guilty" as RequestDigest;
const POPULAR = "popular" as RequestDigest;

/** Entries and what they have agreed on, as the agreed state joins it. */
class Fleet {
  readonly agreed = new CrashTable(MAX_CRASH_RECORDS);
  readonly entries: readonly CrashLedger[];
  private _now = 0;

  constructor(count: number) {
    this.entries = Array.from({ length: count }, () => new CrashLedger());
  }

  get now(): number {
    return this._now;
  }

  /** A run that ends its instance 50 ms later. */
  crash(entry: number, digest: RequestDigest, life: string): number {
    const startedAt = this._now;
    this._now += 50;
    const crash = { digest, life, startedAt, brokeAt: this._now, wasAnswered: false };
    return this.entries[entry]!.addCrash(crash);
  }

  goodEnd(entry: number, digest: RequestDigest): void {
    this.entries[entry]!.addSuccess(this._now, digest);
  }

  /** What an entry has to tell is agreed on, and all are told. */
  tell(entry: number): void {
    for (const record of this.entries[entry]!.takePending()) this.agreed.addRecord(record);
    for (const ledger of this.entries) ledger.addCommitted(this._now, this.agreed.getRecords());
  }
}

describe("CrashLedger", () => {
  it("counts crashes in a row over all entries once they are told", () => {
    const fleet = new Fleet(2);
    expect(fleet.crash(0, GUILTY, "a")).toBe(1);
    fleet.tell(0);
    expect(fleet.crash(1, GUILTY, "b")).toBe(2);
    expect(fleet.entries[1]!.isBlocked(fleet.now, GUILTY)).toBe(true);
    expect(fleet.entries[0]!.isBlocked(fleet.now, GUILTY)).toBe(false);
    fleet.tell(1);
    expect(fleet.entries[0]!.isBlocked(fleet.now, GUILTY)).toBe(true);
    expect(fleet.entries.map((ledger) => ledger.hasPending)).toEqual([false, false]);
  });

  it("counts runs that had begun before anything was known as one, however many instances ended", () => {
    const ledger = new CrashLedger();
    for (let i = 0; i < 30; i++) {
      const crash = { digest: POPULAR, life: `rack-${i}`, startedAt: 0, brokeAt: 100, wasAnswered: false };
      expect(ledger.addCrash(crash)).toBe(1);
    }
    expect(ledger.isBlocked(100, POPULAR)).toBe(false);
  });

  it("begins anew after a good end, at whichever entry that was", () => {
    const fleet = new Fleet(3);
    for (let i = 0; i < 11; i++) {
      fleet.crash(i % 3, POPULAR, `life-${i}`);
      fleet.tell(i % 3);
      fleet.goodEnd((i + 1) % 3, POPULAR);
      fleet.tell((i + 1) % 3);
    }
    expect(fleet.entries.some((ledger) => ledger.isBlocked(fleet.now, POPULAR))).toBe(false);
  });

  it("comes to the same at all entries, in whatever order and however often they tell", () => {
    const step = fc.record({
      entry: fc.integer({ min: 0, max: 3 }),
      kind: fc.constantFrom("crash", "goodEnd", "tell"),
      digest: fc.constantFrom(GUILTY, POPULAR),
      life: fc.constantFrom("a", "b", "c", "d", "e"),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const fleet = new Fleet(4);
        for (const { entry, kind, digest, life } of steps) {
          if (kind === "crash") fleet.crash(entry, digest, life);
          else if (kind === "goodEnd") fleet.goodEnd(entry, digest);
          else fleet.tell(entry);
        }
        for (const entry of [0, 1, 2, 3, 0, 1, 2, 3]) fleet.tell(entry);
        for (const digest of [GUILTY, POPULAR]) {
          const verdicts = fleet.entries.map((ledger) => ledger.isConfirmedCause(digest));
          expect(new Set([...verdicts, fleet.agreed.getVerdict(digest) === "proven"]).size).toBe(1);
        }
        expect(fleet.entries.map((ledger) => ledger.hasPending)).toEqual([false, false, false, false]);
      }),
    );
  });

  it("lets what ends every instance end three of them at most once each is told of", () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 8 }), { minLength: 4, maxLength: 30 }), (tries) => {
        const fleet = new Fleet(9);
        let crashes = 0;
        for (const entry of tries) {
          if (fleet.entries[entry]!.isBlocked(fleet.now, GUILTY)) continue;
          fleet.crash(entry, GUILTY, `life-${crashes++}`);
          // Another request broke off at the same instance, and never came again.
          const life = `life-${crashes - 1}`;
          const beside = { life, startedAt: fleet.now - 10, brokeAt: fleet.now, wasAnswered: false };
          fleet.entries[entry]!.addCrash({ ...beside, digest: `beside-${crashes}` as RequestDigest });
          fleet.tell(entry);
        }
        expect(crashes).toBeLessThanOrEqual(3);
      }),
    );
  });

  /**
   * Callers saw a request that half of them sent refused for good after two instances had ended under another one. A run that was
   * sent to an instance after its end, over a connection that was not closed yet, counted as one more crash in a row, of
   * the same instance; and since nothing of the request was run any more, no good end could clear it. Evidence: the
   * entry's log of one soak, two crashes at one target 43 ms apart, the second one of depth 2, then nothing but refusals.
   */
  it("takes several runs that broke off at one instance for one crash, whenever they began", () => {
    const ledger = new CrashLedger();
    const crash = { digest: POPULAR, life: "a", wasAnswered: false };
    expect(ledger.addCrash({ ...crash, startedAt: 0, brokeAt: 50 })).toBe(1);
    expect(ledger.addCrash({ ...crash, startedAt: 60, brokeAt: 100 })).toBe(1);
    expect(ledger.isBlocked(100, POPULAR)).toBe(false);
  });

  it("lets one run of a request through that is only doubted, a second after the last crash", () => {
    const fleet = new Fleet(1);
    const [ledger] = fleet.entries;
    fleet.crash(0, POPULAR, "a");
    fleet.crash(0, POPULAR, "b");
    const { now } = fleet;
    expect(ledger!.admit(now, POPULAR)).toBe("keptAway");
    expect(ledger!.admit(now + 1_000, POPULAR)).toBe("trial");
    expect(ledger!.admit(now + 1_001, POPULAR)).toBe("keptAway");
    ledger!.addSuccess(now + 1_100, POPULAR);
    expect(ledger!.admit(now + 1_101, POPULAR)).toBe("admitted");
  });

  it("lets none through any more once its trial has ended an instance as well", () => {
    const fleet = new Fleet(1);
    const [ledger] = fleet.entries;
    for (const life of ["a", "b", "c"]) fleet.crash(0, GUILTY, life);
    for (const later of [0, 1_000, 10_000, 100_000]) {
      expect(ledger!.admit(fleet.now + later, GUILTY)).toBe("keptAway");
    }
  });

  it("tells no more of what the agreed state has no room for", () => {
    const fleet = new Fleet(1);
    fleet.crash(0, GUILTY, "a");
    for (let i = 0; i < 100; i++) fleet.entries[0]!.takePending();
    expect(fleet.entries[0]!.hasPending).toBe(false);
  });
});
