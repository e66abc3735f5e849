/**
 * Guards against an invalid report that blocks all others. A batch that contains a report with `slots` of -1,
 * 1.5 or 1e12, or with a rank of -1, can't be encoded. If the batch is put back whole and sent again, the
 * leader receives no report through that process for as long as the writer of the invalid report continues. A
 * sequence number of 1e300 makes each later report of the same id arrive out of order.
 */
import { create, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { InvalidReport } from "../../src/errors";
import { InstanceReportSchema, PlaceState } from "../../src/gen/ploverstage/v1/fleet_pb";
import { checkReport } from "../../src/registration/checkReport";

type ReportInit = Omit<MessageInitShape<typeof InstanceReportSchema>, "$typeName">;
const PLACE = { replicaId: "g-1", epoch: 1, rank: 0, state: PlaceState.OPEN };
const VALID_REPORT: ReportInit = {
  instanceId: "i-1",
  sequence: 4,
  born: 1_786_000_000_000,
  service: "s",
  address: "10.0.0.1:8080",
  failureDomain: "zone-a",
  slots: 18,
  stagedModels: ["m"],
  place: PLACE,
};

describe("checkReport", () => {
  it("accepts reports of instances, and a deregistration that contains only an id", () => {
    expect(() => checkReport(create(InstanceReportSchema, VALID_REPORT))).not.toThrow();
    expect(() =>
      checkReport(create(InstanceReportSchema, { ...VALID_REPORT, born: 0, place: undefined })),
    ).not.toThrow();
    expect(() =>
      checkReport(create(InstanceReportSchema, { instanceId: "i", deregistered: true })),
    ).not.toThrow();
  });

  const invalidReports: readonly [string, ReportInit][] = [
    ["id", { instanceId: "" }],
    ["id", { instanceId: "\ud800" }],
    ["born", { born: 1.5 }],
    ["born", { born: -1 }],
    ["sequence", { sequence: 1.5 }],
    ["sequence", { sequence: -3 }],
    ["sequence", { sequence: 1e300 }],
    ["service", { service: "" }],
    ["address", { address: "999.1.1.1:99999" }],
    ["address", { address: "10.0.0.1:0" }],
    ["address", { address: "10.0.0.1:1e3" }],
    ["address", { address: "nowhere" }],
    ["failure domain", { failureDomain: "" }],
    ["fabric domain", { fabricDomain: "x".repeat(10_000) }],
    ["slots", { slots: -1 }],
    ["slots", { slots: 1.5 }],
    ["slots", { slots: 1e12 }],
    ["models", { models: [""] }],
    ["staged models", { stagedModels: ["\udfff"] }],
    ["replica", { place: { ...PLACE, replicaId: "" } }],
    ["epoch", { place: { ...PLACE, epoch: 0.5 } }],
    ["rank", { place: { ...PLACE, rank: -1 } }],
    ["place", { place: { ...PLACE, state: PlaceState.UNSPECIFIED } }],
  ];
  it.each(invalidReports)("refuses a report whose %s is invalid: %j", (field, change) => {
    const report = create(InstanceReportSchema, { ...VALID_REPORT, ...change } as ReportInit);
    expect(() => checkReport(report)).toThrow(InvalidReport);
    expect(() => checkReport(report)).toThrow(field);
  });

  it("refuses a value that the encoder would reject", () => {
    expect(() =>
      toBinary(InstanceReportSchema, create(InstanceReportSchema, { ...VALID_REPORT, slots: 1e12 })),
    ).toThrow();
    expect(() => toBinary(InstanceReportSchema, create(InstanceReportSchema, VALID_REPORT))).not.toThrow();
  });
});
