import { create } from "@bufbuild/protobuf";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type InstanceReport, InstanceReportSchema, PlaceState } from "../../src/gen/ploverstage/v1/fleet_pb";
import { InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { type RelayBatch, ReportRelay } from "../../src/registration/ReportRelay";

const NOW = 1_000;

function createReport(sequence: number, state = PlaceState.READY, instanceId = "i"): InstanceReport {
  const place = {
    $typeName: "ploverstage.v1.ReplicaPlace" as const,
    replicaId: "r",
    epoch: 1,
    rank: 0,
    state,
  };
  return create(InstanceReportSchema, { instanceId, sequence, address: `${instanceId}:1`, place });
}

/** A leader that takes batches over as the leadership does. */
class Leader {
  readonly registry = new InstanceRegistry();
  readonly term: number;

  constructor(term: number) {
    this.term = term;
  }

  take(now: number, { reports, signs }: RelayBatch): string[] {
    const unknown = signs.filter((sign) => this.registry.addHeartbeat(now - sign.ageMs, sign) === "unknown");
    for (const report of reports) this.registry.addReport(now - report.ageMs, report);
    return unknown.map((sign) => sign.instanceId);
  }
}

function tell(relay: ReportRelay, leader: Leader, now = NOW): RelayBatch {
  const batch = relay.takeBatch(now, 100);
  relay.addAnswer(leader.term, leader.take(now, batch));
  return batch;
}

describe("ReportRelay", () => {
  it("tells in full once, then signs of life, and in full again what is new", () => {
    const relay = new ReportRelay();
    const leader = new Leader(1);
    expect(relay.addReport(NOW, createReport(1))).toBe(true);
    expect(tell(relay, leader).reports).toHaveLength(1);
    expect(relay.addReport(NOW, createReport(2))).toBe(false);
    expect(tell(relay, leader, NOW + 300)).toMatchObject({
      reports: [],
      signs: [{ sequence: 2, ageMs: 300 }],
    });
    expect(leader.registry.getInstance("i")).toMatchObject({ sequence: 2, reportedAt: NOW });
    expect(tell(relay, leader)).toEqual({ reports: [], signs: [] });
    expect(relay.addReport(NOW, createReport(3, PlaceState.OPEN))).toBe(true);
    expect(tell(relay, leader).reports).toHaveLength(1);
  });

  it("drops late reports, and tells again what did not arrive", () => {
    const relay = new ReportRelay();
    relay.addReport(NOW, createReport(5));
    expect(relay.addReport(NOW, createReport(4, PlaceState.OPEN))).toBe(false);
    const lost = relay.takeBatch(NOW, 100);
    expect(relay.hasUpdates()).toBe(false);
    relay.restoreBatch(lost);
    expect(relay.takeBatch(NOW, 100).reports[0]).toMatchObject({
      sequence: 5,
      place: { state: PlaceState.READY },
    });
  });

  it("tells the leader of a new term everything, with its age", () => {
    const relay = new ReportRelay();
    relay.addReport(NOW, createReport(1));
    tell(relay, new Leader(1));
    const next = new Leader(2);
    tell(relay, next, NOW + 100);
    expect(relay.hasUpdates()).toBe(true);
    tell(relay, next, NOW + 200);
    expect(next.registry.getInstance("i")?.reportedAt).toBe(NOW);
    tell(relay, next, NOW + 20_000);
    expect(relay.addReport(NOW + 20_000, createReport(2))).toBe(true);
  });

  it("tells a part at a time, and again only what did not arrive", () => {
    const relay = new ReportRelay();
    for (let i = 0; i < 5; i++) relay.addReport(NOW, { ...createReport(1), instanceId: `i${i}` });
    relay.addAnswer(1, []);
    expect(relay.takeBatch(NOW, 3).reports).toHaveLength(3);
    const second = relay.takeBatch(NOW, 3);
    expect(second.reports).toHaveLength(2);
    relay.restoreBatch(second);
    expect(relay.takeBatch(NOW, 3)).toEqual(second);
    relay.addReport(NOW, { ...createReport(2), instanceId: "i0" });
    const signs = relay.takeBatch(NOW, 3);
    expect(signs).toMatchObject({ reports: [], signs: [{ instanceId: "i0", sequence: 2 }] });
    relay.restoreBatch(signs);
    expect(relay.takeBatch(NOW, 3)).toEqual(signs);
  });

  it("leaves the leader with the newest that any relay heard, whatever is lost on the way", () => {
    const step = fc.record({
      kind: fc.constantFrom("report" as const, "tell" as const, "lose" as const, "elect" as const),
      relay: fc.nat(1),
      state: fc.constantFrom(PlaceState.READY, PlaceState.OPEN),
    });
    const property = fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const relays = [new ReportRelay(), new ReportRelay()];
      let leader = new Leader(1);
      let sequence = 0;
      let newest: InstanceReport | undefined;
      for (const { kind, relay, state } of steps) {
        if (kind === "report") {
          newest = createReport(++sequence, state);
          relays[relay]!.addReport(NOW, newest);
        } else if (kind === "tell") tell(relays[relay]!, leader);
        else if (kind === "lose") relays[relay]!.restoreBatch(relays[relay]!.takeBatch(NOW, 100));
        else leader = new Leader(leader.term + 1);
      }
      for (let round = 0; round < 3; round++) for (const relay of relays) tell(relay, leader);
      const known = leader.registry.getInstance("i");
      expect(known?.sequence).toBe(newest?.sequence);
      expect(known?.report.place?.state).toBe(newest?.place?.state);
    });
    fc.assert(property, { numRuns: 500 });
  });
});
