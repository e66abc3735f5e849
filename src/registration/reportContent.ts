/** Compares the content of instance reports. Performs no I/O. */
import type { InstanceReport, ReplicaPlace } from "../gen/ploverstage/v1/fleet_pb";

/** Checks whether two reports differ only in sequence number and age. */
export function hasSameContent(a: InstanceReport, b: InstanceReport): boolean {
  return (
    a.instanceId === b.instanceId &&
    a.born === b.born &&
    a.service === b.service &&
    a.address === b.address &&
    a.failureDomain === b.failureDomain &&
    a.fabricDomain === b.fabricDomain &&
    a.slots === b.slots &&
    a.leaving === b.leaving &&
    a.deregistered === b.deregistered &&
    isSameList(a.models, b.models) &&
    isSameList(a.stagedModels, b.stagedModels) &&
    isSamePlace(a.place, b.place)
  );
}

function isSameList(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((item, i) => item === b[i]);
}

function isSamePlace(a: ReplicaPlace | undefined, b: ReplicaPlace | undefined): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.replicaId === b.replicaId && a.epoch === b.epoch && a.rank === b.rank && a.state === b.state;
}
