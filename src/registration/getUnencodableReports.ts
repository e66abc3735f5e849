/**
 * Finds reports that can't be encoded as a protobuf message.
 *
 * Reports are validated on arrival. If an invalid one still gets through, it must be dropped on its own: put
 * back and sent again with the others, it would keep the process from sending the leader any report. Performs
 * no I/O.
 */
import { toBinary } from "@bufbuild/protobuf";
import { type InstanceReport, InstanceReportSchema } from "../gen/ploverstage/v1/fleet_pb";

/** Gets those of the reports that can't be encoded. */
export function getUnencodableReports(reports: readonly InstanceReport[]): InstanceReport[] {
  return reports.filter((report) => !isEncodable(report));
}

function isEncodable(report: InstanceReport): boolean {
  try {
    toBinary(InstanceReportSchema, report);
    return true;
  } catch {
    // The cause is irrelevant: the report can't be sent.
    return false;
  }
}
