/**
 * Tells reports that a message between our processes can hold from those that none can.
 *
 * Reports are checked where they come in. Should one get past that, it is dropped by itself: put back and
 * told again with all others, it kept a process from telling its leader of any. Pure.
 */
import { toBinary } from "@bufbuild/protobuf";
import { type InstanceReport, InstanceReportSchema } from "../gen/ploverstage/v1/fleet_pb";

/** Gets the reports among some that can't be encoded. */
export function getUnencodable(reports: readonly InstanceReport[]): InstanceReport[] {
  return reports.filter((report) => !isEncodable(report));
}

function isEncodable(report: InstanceReport): boolean {
  try {
    toBinary(InstanceReportSchema, report);
    return true;
  } catch {
    // What is wrong with it makes no difference: it can't be told.
    return false;
  }
}
