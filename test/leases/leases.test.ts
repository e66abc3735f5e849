import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EntryId } from "../../src/ids";
import { EntryLease, getExpiryWaitMs, LeaseTable } from "../../src/leases";

const LEASE_MS = 1_000;
const SEED = 20_261_202;
const A = EntryId("a");

describe("EntryLease", () => {
  it("is not held before the first renewal", () => expect(new EntryLease().isHeld(0)).toBe(false));

  it("counts the lease from when the renewal was sent", () => {
    const lease = new EntryLease();
    lease.renew(100, LEASE_MS);
    expect(lease.isHeld(1_099)).toBe(true);
    expect(lease.isHeld(1_100)).toBe(false);
    expect(lease.getRemainingMs(600)).toBe(500);
  });

  it("is not held after it was released", () => {
    const lease = new EntryLease();
    lease.renew(100, LEASE_MS);
    lease.release();
    expect(lease.isHeld(101)).toBe(false);
  });

  it("is not shortened by a renewal that arrives out of order", () => {
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

  describe("haveEarlierLeasesExpired", () => {
    it("is false until the leases of all earlier leaders have expired", () => {
      const table = new LeaseTable(10_000, LEASE_MS);
      expect(table.haveEarlierLeasesExpired(10_000 + LEASE_MS)).toBe(false);
      expect(table.haveEarlierLeasesExpired(10_000 + getExpiryWaitMs(LEASE_MS))).toBe(true);
    });
  });

  describe("isConfigurationInForce", () => {
    function doTest(now: number, version: number, expected: boolean) {
      expect(createTable().isConfigurationInForce(now, version)).toBe(expected);
    }

    it("is true when all entries have the version", () => doTest(200, 1, true));
    it("is false while an entry with a lease may have an older version", () => doTest(200, 2, false));
    it("is true after the lease of an entry with an older version has expired", () =>
      doTest(100 + getExpiryWaitMs(LEASE_MS), 2, true));
    it("is false while leases of earlier leaders may not have expired", () => {
      expect(new LeaseTable(0, LEASE_MS).isConfigurationInForce(500, 1)).toBe(false);
    });
  });

  describe("addLease", () => {
    it("does not lower the recorded versions when a renewal arrives out of order", () => {
      const table = createTable();
      table.addLease(200, { entryId: A, knownConfiguration: 3, knownAssignment: 9 }, LEASE_MS);
      table.addLease(210, { entryId: A, knownConfiguration: 1, knownAssignment: 5 }, LEASE_MS);
      expect(table.isConfigurationInForce(300, 3)).toBe(true);
      expect(table.isAssignmentInForce(300, 9)).toBe(true);
    });
  });

  describe("removeLease", () => {
    it("removes an entry that returned its lease", () => {
      const table = createTable();
      table.removeLease(A);
      expect(table.isConfigurationInForce(200, 2)).toBe(true);
    });
  });

  describe("removeExpired", () => {
    it("removes expired leases only", () => {
      const table = createTable();
      table.removeExpired(500, LEASE_MS);
      expect(table.getLiveHolders(500)).toHaveLength(1);
      table.removeExpired(10_000, LEASE_MS);
      expect(table.getLiveHolders(0)).toHaveLength(0);
    });
  });
});

/** The error of the model when an entry acts on a configuration older than the one in force. */
class StaleLease extends Error {}

/** A renewal that the entry has sent and whose response it has not received. */
interface PendingRenewal {
  readonly entry: ModelEntry;
  readonly sentAt: number;
  readonly version: number;
  granted: number | undefined;
}

interface ModelEntry {
  readonly id: EntryId;
  readonly lease: EntryLease;
  version: number;
}

type LeaseStep =
  | { readonly kind: "advance"; readonly ms: number }
  | { readonly kind: "change" | "elect" }
  | { readonly kind: "send"; readonly entry: number }
  | { readonly kind: "grant" | "answer" | "lose"; readonly at: number };

/**
 * A model of a leader, its successors and entries, where a renewal takes any time.
 *
 * A paused entry takes no steps, so it receives the responses to its renewals late. Invariant: when the
 * leader reports a version as in force, no entry holds a lease under an older version.
 */
class LeaseModel {
  private readonly _entries = [0, 1, 2].map((i) => ({
    id: EntryId(`e${i}`),
    lease: new EntryLease(),
    version: 0,
  }));
  private readonly _countsFromAnswer: boolean;
  private readonly _waitsAfterElection: boolean;
  private _table = new LeaseTable(0, 0);
  private _pendingRenewals: PendingRenewal[] = [];
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
    else if ("at" in step && this._pendingRenewals.length > 0)
      this._advanceRenewal(step.kind, step.at % this._pendingRenewals.length);
    this._check();
  }

  private _elect(): void {
    this._table = new LeaseTable(this._now, this._waitsAfterElection ? LEASE_MS : 0);
    // The majority that elected the new leader no longer confirms the grants of the old leader.
    this._pendingRenewals = this._pendingRenewals.filter((pending) => pending.granted !== undefined);
  }

  private _send(entry: ModelEntry): void {
    this._pendingRenewals.push({ entry, sentAt: this._now, version: entry.version, granted: undefined });
  }

  private _advanceRenewal(kind: "grant" | "answer" | "lose", at: number): void {
    const pending = this._pendingRenewals[at]!;
    if (kind === "lose") this._pendingRenewals.splice(at, 1);
    if (kind === "grant" && pending.granted === undefined) {
      const renewal = { entryId: pending.entry.id, knownConfiguration: pending.version, knownAssignment: 0 };
      this._table.addLease(this._now, renewal, LEASE_MS);
      pending.granted = this._version;
    }
    if (kind === "answer" && pending.granted !== undefined) {
      this._pendingRenewals.splice(at, 1);
      if (pending.granted < pending.entry.version) return;
      pending.entry.version = pending.granted;
      pending.entry.lease.renew(this._countsFromAnswer ? this._now : pending.sentAt, LEASE_MS);
    }
  }

  private _check(): void {
    if (!this._table.isConfigurationInForce(this._now, this._version)) return;
    this.inForceCount += 1;
    const stale = this._entries.find(
      (entry) => entry.lease.isHeld(this._now) && entry.version < this._version,
    );
    if (stale !== undefined)
      throw new StaleLease(`${stale.id} acts on ${stale.version}, ${this._version} is in force`);
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

  it("never allow an entry to act on an older version than the one in force", () => {
    let inForce = 0;
    const property = fc.property(anySteps, (steps) => {
      const model = new LeaseModel("none");
      for (const step of steps) model.run(step);
      inForce += model.inForceCount;
    });
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
    expect(inForce).toBeGreaterThan(2_000);
  });

  it.each(["countsFromAnswer", "noWaitAfterElection"] as const)("detect the defect %s", (defect) => {
    const property = fc.property(anySteps, (steps) => {
      const model = new LeaseModel(defect);
      for (const step of steps) model.run(step);
    });
    const found = fc.check(property, { seed: SEED, numRuns: 2_000, endOnFailure: true });
    expect(found.errorInstance).toBeInstanceOf(StaleLease);
  });
});
