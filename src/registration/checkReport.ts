/**
 * Validates a whole instance report before any part of it is used or forwarded.
 *
 * A report can come from a writer other than an instance. If its count, rank or slots did not fit the
 * protobuf message, the control process could not send the leader any report for as long as that writer
 * continued. A sequence number above all others would make every later report of the instance itself arrive
 * out of order. Performs no I/O.
 */
import { isIPv4 } from "node:net";
import { InvalidReport } from "../errors";
import { type InstanceReport, PlaceState, type ReplicaPlace } from "../gen/ploverstage/v1/fleet_pb";
import { splitAddress } from "../http";

const MAX_UINT32 = 2 ** 32 - 1;
/** An IPv4 address and a port, in digits only. */
const ADDRESS = /^[\d.]+:\d{1,5}$/;
const MAX_PORT = 65_535;
/** Names have a few dozen characters; a whole report has at most four kilobytes. */
const MAX_NAME_LENGTH = 512;
const MAX_LIST_LENGTH = 1_000;

/** @throws InvalidReport - For the first field with a value that no instance would send. */
export function checkReport(report: InstanceReport): void {
  checkName("id", report.instanceId);
  checkWhole("born", report.born, 0, Number.MAX_SAFE_INTEGER);
  if (report.deregistered) return;
  checkWhole("sequence", report.sequence, 0, Number.MAX_SAFE_INTEGER);
  checkName("service", report.service);
  checkAddress(report.address);
  checkName("failure domain", report.failureDomain);
  checkText("fabric domain", report.fabricDomain);
  checkWhole("slots", report.slots, 1, MAX_UINT32);
  checkNames("models", report.models);
  checkNames("staged models", report.stagedModels);
  if (report.place !== undefined) checkPlace(report.place);
}

function checkPlace({ replicaId, epoch, rank, state }: ReplicaPlace): void {
  checkName("replica", replicaId);
  checkWhole("epoch", epoch, 0, Number.MAX_SAFE_INTEGER);
  checkWhole("rank", rank, 0, MAX_UINT32);
  if (state === PlaceState.UNSPECIFIED)
    throw new InvalidReport({ field: "place", reason: "the state is not a known value" });
}

function checkNames(field: string, names: readonly string[]): void {
  if (names.length > MAX_LIST_LENGTH) throw new InvalidReport({ field, reason: "the list is too long" });
  for (const name of names) checkName(field, name);
}

function checkName(field: string, text: string): void {
  if (text === "") throw new InvalidReport({ field, reason: "the value is empty" });
  checkText(field, text);
}

function checkText(field: string, text: string): void {
  if (text.length > MAX_NAME_LENGTH) throw new InvalidReport({ field, reason: "the value is too long" });
  if (!text.isWellFormed()) throw new InvalidReport({ field, reason: "the value is not valid Unicode" });
}

function checkWhole(field: string, value: number, min: number, max: number): void {
  if (Number.isInteger(value) && value >= min && value <= max) return;
  throw new InvalidReport({ field, reason: `${value} is not a whole number from ${min} to ${max}` });
}

function checkAddress(address: string): void {
  const { host, port } = splitAddress(address);
  if (ADDRESS.test(address) && isIPv4(host) && port > 0 && port <= MAX_PORT) return;
  throw new InvalidReport({
    field: "address",
    reason: `${address.slice(0, MAX_NAME_LENGTH)} is not an IPv4 address with a port`,
  });
}
