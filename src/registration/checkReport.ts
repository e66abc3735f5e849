/**
 * Checks what an instance reports of itself, whole, before anything of it is used or told on.
 *
 * A report may come from another writer. One with a count, a rank or slots that no message between our
 * processes can hold kept a control process from telling the leader of any instance for as long as its
 * writer went on, and a count beyond all others made the instance's own reports late for good. Pure.
 */
import { isIPv4 } from "node:net";
import { InvalidReport } from "../errors";
import { type InstanceReport, PlaceState, type ReplicaPlace } from "../gen/ploverstage/v1/fleet_pb";
import { splitAddress } from "../http";

const MAX_UINT32 = 2 ** 32 - 1;
/** An IPv4 address and a port, digits only. */
const ADDRESS = /^[\d.]+:\d{1,5}$/;
const MAX_PORT = 65_535;
/** Names are a few dozen characters long; a whole report has four kilobytes at the most. */
const MAX_NAME_LENGTH = 512;
const MAX_LIST_LENGTH = 1_000;

/**
 * Checks a report.
 * @throws InvalidReport - Naming the first field that is none that an instance would give.
 */
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
    throw new InvalidReport({ field: "place", reason: "its state is unknown" });
}

function checkNames(field: string, names: readonly string[]): void {
  if (names.length > MAX_LIST_LENGTH) throw new InvalidReport({ field, reason: "there are too many" });
  for (const name of names) checkName(field, name);
}

function checkName(field: string, text: string): void {
  if (text === "") throw new InvalidReport({ field, reason: "it is empty" });
  checkText(field, text);
}

function checkText(field: string, text: string): void {
  if (text.length > MAX_NAME_LENGTH) throw new InvalidReport({ field, reason: "it is too long" });
  if (!text.isWellFormed()) throw new InvalidReport({ field, reason: "it is no valid Unicode" });
}

function checkWhole(field: string, value: number, min: number, max: number): void {
  if (Number.isInteger(value) && value >= min && value <= max) return;
  throw new InvalidReport({ field, reason: `${value} is no whole number from ${min} to ${max}` });
}

function checkAddress(address: string): void {
  const { host, port } = splitAddress(address);
  if (ADDRESS.test(address) && isIPv4(host) && port > 0 && port <= MAX_PORT) return;
  throw new InvalidReport({ field: "address", reason: `${address.slice(0, MAX_NAME_LENGTH)} is none` });
}
