import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EntryId } from "../../src/ids";
import { EntryLease, getSafeWait, LeaseTable } from "../../src/leases";

const LEASE_MS = 1_000;
const SEED = 20_261_202;
const A = EntryId("a");

describe("EntryLease", () => {
  it("is not held before the first renewal", () => expect(new EntryLease().isHeld(0)).toBe(false));

  it("counts from when the renewal was sent", () => {
    const lease = new EntryLease();
    lease.renew(100, LEASE_MS);
    expect(lease.isHeld(1_099)).toBe(true);
    expect(lease.isHeld(1_100)).toBe(false);
    expect(lease.getRemainingMs(600)).toBe(500);
  });

  it("is not held once it was given up", () => {
    const lease = new EntryLease();
    lease.renew(100, LEASE_MS);
    lease.release();
    expect(lease.isHeld(101)).toBe(false);
  });

  it("is not shortened by a renewal that was overtaken", () => {
    const lease = new EntryLease();
    lease.renew(500, LEASE_MS);
    lease.renew(100, LEASE_MS);
    expect(lease.isHeld(1_400)).toBe(true);
  });
});

describe("LeaseTable", () => {
  function createTable() {
    const table = new LeaseTable(0, 0);
    table.addLease(100, { entryId: A, knownConfiguration: 1, knownAssignment: 5 }, LEASE_MS);
    return table;
  }

  describe("isClear", () => {
    it("waits until every earlier leader's lease has run out", () => {
      const table = new LeaseTable(10_000, LEASE_MS);
      expect(table.haveEarlierLeasesExpired(10_000 + LEASE_MS)).toBe(false);
      expect(table.haveEarlierLeasesExpired(10_000 + getSafeWait(LEASE_MS))).toBe(true);
    });
  });

  describe("isConfigurationInForce", () => {
    function doTest(now: number, version: number, expected: boolean) {
      expect(createTable().isConfigurationInForce(now, version)).toBe(expected);
    }

    it("holds for what every entry knows", () => doTest(200, 1, true));
    it("waits for an entry that may not know it", () => doTest(200, 2, false));
    it("holds once the entry's lease has run out", () => doTest(100 + getSafeWait(LEASE_MS), 2, true));
    it("never holds for a leader whose predecessors' leases may run", () => {
      expect(new LeaseTable(0, LEASE_MS).isConfigurationInForce(500, 1)).toBe(false);
    });
  });

  describe("addLease", () => {
    it("takes no knowledge back when a renewal was overtaken", () => {
      const table = createTable();
      table.addLease(200, { entryId: A, knownConfiguration: 3, knownAssignment: 9 }, LEASE_MS);
      table.addLease(210, { entryId: A, knownConfiguration: 1, knownAssignment: 5 }, LEASE_MS);
      expect(table.isConfigurationInForce(300, 3)).toBe(true);
      expect(table.isAssignmentInForce(300, 9)).toBe(true);
    });
  });

  describe("removeLease", () => {
    it("forgets an entry that gave its lease back", () => {
      const table = createTable();
      table.removeLease(A);
      expect(table.isConfigurationInForce(200, 2)).toBe(true);
    });
  });

  describe("removeExpired", () => {
    it("keeps running leases", () => {
      const table = createTable();
      table.removeExpired(500, LEASE_MS);
      expect(table.getLiveHolders(500)).toHaveLength(1);
      table.removeExpired(10_000, LEASE_MS);
      expect(table.getLiveHolders(0)).toHaveLength(0);
    });
  });
});

/** The check that did not hold. */
class StaleLease extends Error {}

/** A renewal under way. */
interface Flight {
  readonly entry: ModelEntry;
  readonly sentAt: number;
  readonly known: number;
  granted: number | undefined;
}

interface ModelEntry {
  readonly id: EntryId;
  readonly lease: EntryLease;
  known: number;
}

type LeaseStep =
  | { readonly kind: "advance"; readonly ms: number }
  | { readonly kind: "change" | "elect" }
  | { readonly kind: "send"; readonly entry: number }
  | { readonly kind: "grant" | "answer" | "lose"; readonly at: number };

/**
 * A leader, its successors, and entries, with renewals that take any time.
 *
 * An entry that is frozen is one whose steps do not come: its renewals' answers are
 * taken late. What must hold: when the leader says that a version is in force, no
 * entry holds a lease under an older one.
 */
class LeaseModel {
  private readonly _entries = [0, 1, 2].map((i) => ({
    id: EntryId(`e${i}`),
    lease: new EntryLease(),
    known: 0,
  }));
  private readonly _countsFromAnswer: boolean;
  private readonly _waitsAfterElection: boolean;
  private _table = new LeaseTable(0, 0);
  private _flights: Flight[] = [];
  private _now = 0;
  private _version = 0;
  inForceCount = 0;

  constructor(defect: "none" | "countsFromAnswer" | "noWaitAfterElection") {
    this._countsFromAnswer = defect === "countsFromAnswer";
    this._waitsAfterElection = defect !== "noWaitAfterElection";
  }

  run(step: LeaseStep): void {
    if (step.kind === "advance") this._now += step.ms;
    else if (step.kind === "change") this._version += 1;
    else if (step.kind === "elect") this._elect();
    else if (step.kind === "send") this._send(this._entries[step.entry % this._entries.length]!);
    else if ("at" in step && this._flights.length > 0) this._move(step.kind, step.at % this._flights.length);
    this._check();
  }

  private _elect(): void {
    this._table = new LeaseTable(this._now, this._waitsAfterElection ? LEASE_MS : 0);
    // The majority that elected the new leader no longer confirms the old one's grants.
    this._flights = this._flights.filter((flight) => flight.granted !== undefined);
  }

  private _send(entry: ModelEntry): void {
    this._flights.push({ entry, sentAt: this._now, known: entry.known, granted: undefined });
  }

  private _move(kind: "grant" | "answer" | "lose", at: number): void {
    const flight = this._flights[at]!;
    if (kind === "lose") this._flights.splice(at, 1);
    if (kind === "grant" && flight.granted === undefined) {
      const renewal = { entryId: flight.entry.id, knownConfiguration: flight.known, knownAssignment: 0 };
      this._table.addLease(this._now, renewal, LEASE_MS);
      flight.granted = this._version;
    }
    if (kind === "answer" && flight.granted !== undefined) {
      this._flights.splice(at, 1);
      if (flight.granted < flight.entry.known) return;
      flight.entry.known = flight.granted;
      flight.entry.lease.renew(this._countsFromAnswer ? this._now : flight.sentAt, LEASE_MS);
    }
  }

  private _check(): void {
    if (!this._table.isConfigurationInForce(this._now, this._version)) return;
    this.inForceCount += 1;
    const stale = this._entries.find((entry) => entry.lease.isHeld(this._now) && entry.known < this._version);
    if (stale !== undefined)
      throw new StaleLease(`${stale.id} acts on ${stale.known}, ${this._version} is in force`);
  }
}

const anyLeaseStep: fc.Arbitrary<LeaseStep> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant("advance" as const), ms: fc.nat({ max: 600 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("change" as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("elect" as const) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant("send" as const), entry: fc.nat({ max: 2 }) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant("grant" as const), at: fc.nat({ max: 9 }) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant("answer" as const), at: fc.nat({ max: 9 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("lose" as const), at: fc.nat({ max: 9 }) }) },
);

describe("leases under generated delays, losses and elections", () => {
  const anySteps = fc.array(anyLeaseStep, { minLength: 20, maxLength: 100, size: "max" });

  it("never let an entry act on an older version than the one in force", () => {
    let inForce = 0;
    const property = fc.property(anySteps, (steps) => {
      const model = new LeaseModel("none");
      for (const step of steps) model.run(step);
      inForce += model.inForceCount;
    });
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
    expect(inForce).toBeGreaterThan(2_000);
  });

  it.each(["countsFromAnswer", "noWaitAfterElection"] as const)("catch a lease that %s", (defect) => {
    const property = fc.property(anySteps, (steps) => {
      const model = new LeaseModel(defect);
      for (const step of steps) model.run(step);
    });
    const found = fc.check(property, { seed: SEED, numRuns: 2_000, endOnFailure: true });
    expect(found.errorInstance).toBeInstanceOf(StaleLease);
  });
});
