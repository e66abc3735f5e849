/**
 * Guards against sequence numbers that outlive a restart. If an id alone identifies an incarnation, the
 * registry and each relay drop reports 1 and 20 of a restarted instance as late after report 100 of its
 * earlier incarnation, and ignore the instance until its sequence number exceeds 100. With real processes no
 * request reached such an instance in 20 s; under a new id the first one arrived after 0.27 s. An id and a
 * start time therefore identify an incarnation.
 */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type InstanceReport, InstanceReportSchema, PlaceState } from "../../src/gen/ploverstage/v1/fleet_pb";
import { type IncarnationEndReason, InstanceRegistry } from "../../src/registration/InstanceRegistry";
import { ReportRelay } from "../../src/registration/ReportRelay";
import { createIncarnation } from "../support/createIncarnation";

const OLD_START = 1_000_000;
const NEW_START = 2_000_000;
const PRESENCE_MS = 3_600;
const PLACE = { replicaId: "g-1", epoch: 1, state: PlaceState.OPEN };

function createReport(
  born: number,
  sequence: number,
  init: MessageInitShape<typeof InstanceReportSchema> = {},
): InstanceReport {
  return create(InstanceReportSchema, { instanceId: "i", born, sequence, address: "10.0.0.1:80", ...init });
}

describe("InstanceRegistry, with several incarnations of one id", () => {
  it("accepts a newer incarnation at once, whatever its sequence number, and drops the older one's place in a replica", () => {
    const ends: [number, IncarnationEndReason][] = [];
    const registry = new InstanceRegistry({ onEnd: ({ born }, reason) => ends.push([born, reason]) });
    registry.addReport(0, createReport(OLD_START, 100, { place: PLACE }));
    expect(registry.addReport(10, createReport(NEW_START, 1))).toBe("taken");
    expect(registry.getInstance("i")).toMatchObject({ firstReportedAt: 10, sequence: 1 });
    expect(registry.getInstance("i")?.report.place).toBeUndefined();
    expect(registry.hasEnded(createIncarnation("i", OLD_START))).toBe(true);
    expect(registry.hasEnded(createIncarnation("i", NEW_START))).toBe(false);
    expect(ends).toEqual([[OLD_START, "newerLife"]]);
  });

  it("ignores later reports of an older incarnation", () => {
    const registry = new InstanceRegistry();
    registry.addReport(0, createReport(NEW_START, 1));
    expect(registry.addReport(10, createReport(OLD_START, 500, { place: PLACE }))).toBe("older");
    expect(registry.addHeartbeat(20, { ...createHeartbeat(OLD_START, 501, 500) })).toBe("older");
    expect(registry.getInstance("i")).toMatchObject({ sequence: 1, reportedAt: 0 });
    registry.confirmIncarnation(30, createIncarnation("i", NEW_START));
    expect(registry.getOlderIncarnations()).toEqual([]);
  });

  it("switches to the older incarnation once it answers, and shuts out the newer one permanently", () => {
    const registry = new InstanceRegistry();
    registry.addReport(0, createReport(NEW_START, 500));
    registry.addReport(100, createReport(OLD_START, 1));
    expect(registry.getInstance("i")?.report.born).toBe(NEW_START);
    registry.confirmIncarnation(110, createIncarnation("i", OLD_START));
    expect(registry.getInstance("i")).toMatchObject({ sequence: 1, report: { born: OLD_START } });
    expect(registry.addReport(120, createReport(NEW_START, 501))).toBe("ended");
    expect(registry.addReport(130, createReport(OLD_START, 2))).toBe("taken");
  });

  it("treats an answer as no proof against an incarnation that was first reported after the query", () => {
    const registry = new InstanceRegistry({}, () => NEW_START);
    registry.addReport(0, createReport(OLD_START, 9));
    registry.addReport(20, createReport(NEW_START, 1));
    registry.confirmIncarnation(10, createIncarnation("i", OLD_START));
    expect(registry.getInstance("i")?.report.born).toBe(NEW_START);
  });

  it("switches to the older incarnation without an answer once the newer one stops reporting, and shuts out neither", () => {
    const registry = new InstanceRegistry();
    registry.addReport(0, createReport(NEW_START, 500));
    for (let sequence = 1; sequence <= 5; sequence++) {
      registry.addReport(sequence * 1_200, createReport(OLD_START, sequence));
      registry.removeExpired(sequence * 1_200, PRESENCE_MS);
    }
    expect(registry.getInstance("i")?.report.born).toBe(OLD_START);
    expect(registry.addReport(6_100, createReport(NEW_START, 501))).toBe("taken");
  });

  it("does not start a term with an incarnation older than the committed one", () => {
    const registry = new InstanceRegistry({}, (id) => (id === "i" ? NEW_START : 0));
    expect(registry.addReport(0, createReport(OLD_START, 500))).toBe("older");
    expect(registry.getInstance("i")).toBeUndefined();
    expect(registry.addReport(10, createReport(NEW_START, 1))).toBe("taken");
  });

  it("accepts reports without a start time, but none after a report with one", () => {
    const registry = new InstanceRegistry();
    expect(registry.addReport(0, createReport(0, 5))).toBe("taken");
    expect(registry.addReport(1, createReport(0, 5))).toBe("late");
    expect(registry.addReport(2, createReport(NEW_START, 1))).toBe("taken");
    expect(registry.addReport(3, createReport(0, 6))).toBe("older");
    expect(registry.getInstance("i")?.report.born).toBe(NEW_START);
  });

  it("stores the newest report of the newest incarnation, in whatever order reports arrive", () => {
    const anyReport = fc.record({
      born: fc.integer({ min: 1, max: 4 }),
      sequence: fc.integer({ min: 1, max: 50 }),
    });
    const property = fc.property(fc.array(anyReport, { minLength: 1, maxLength: 30 }), (reports) => {
      const registry = new InstanceRegistry();
      for (const [at, { born, sequence }] of reports.entries())
        registry.addReport(at, createReport(born, sequence));
      const newest = reports.reduce((a, b) => ((b.born - a.born || b.sequence - a.sequence) > 0 ? b : a));
      expect(registry.getInstance("i")?.report).toMatchObject(newest);
    });
    fc.assert(property, { seed: 20_261_203, numRuns: 500 });
  });
});

describe("ReportRelay, with several incarnations of one id", () => {
  it("sends a new incarnation's report in full, and heartbeats of an older one that still reports", () => {
    const relay = new ReportRelay();
    relay.addReport(0, createReport(OLD_START, 100));
    relay.takeBatch(0, 10);
    expect(relay.addReport(10, createReport(NEW_START, 1))).toBe(true);
    expect(relay.addReport(20, createReport(OLD_START, 101))).toBe(false);
    const { reports, signs } = relay.takeBatch(30, 10);
    expect(reports.map(({ born, sequence }) => [born, sequence])).toEqual([[NEW_START, 1]]);
    expect(signs.map(({ born, sequence }) => [born, sequence])).toEqual([[OLD_START, 101]]);
    expect(relay.getNewestStartTime("i")).toBe(NEW_START);
  });

  it("removes only the incarnation that departs", () => {
    const relay = new ReportRelay();
    relay.addReport(0, createReport(OLD_START, 100));
    relay.addReport(10, createReport(NEW_START, 1));
    relay.removeIncarnation(createIncarnation("i", OLD_START));
    expect(relay.takeBatch(20, 10).reports.map(({ born }) => born)).toEqual([NEW_START]);
  });
});

function createHeartbeat(born: number, sequence: number, contentSequence: number) {
  const { instanceId } = createIncarnation("i");
  return {
    $typeName: "ploverstage.v1.InstanceSign" as const,
    instanceId,
    born,
    sequence,
    contentSequence,
    ageMs: 0,
  };
}
