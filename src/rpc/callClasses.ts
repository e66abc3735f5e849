/** Assigns calls of the protocol between processes to admission classes, by path. */

import type { CallClass } from "../admission";
import { ConsensusService } from "../gen/ploverstage/v1/consensus_pb";
import { FleetService } from "../gen/ploverstage/v1/fleet_pb";

function getPath(service: { readonly typeName: string }, method: { readonly name: string }): string {
  return `/${service.typeName}/${method.name}`;
}

const { deliver, join } = ConsensusService.method;
const { putDeclaration, getDeclaration, reportCrashes, relay, report, watch, suspect, updateEntry } =
  FleetService.method;

const CLASSES = new Map<string, CallClass>([
  [getPath(ConsensusService, deliver), "agreement"],
  [getPath(ConsensusService, join), "relay"],
  [getPath(FleetService, putDeclaration), "order"],
  [getPath(FleetService, getDeclaration), "order"],
  // A request that crashes instances is sent again within a fraction of a second.
  [getPath(FleetService, reportCrashes), "order"],
  [getPath(FleetService, relay), "relay"],
  [getPath(FleetService, report), "relay"],
  [getPath(FleetService, watch), "view"],
  [getPath(FleetService, updateEntry), "view"],
  [getPath(FleetService, suspect), "report"],
]);

/** Gets the class of a call; an unknown call gets the lowest one. */
export function getCallClass(path: string): CallClass {
  return CLASSES.get(path) ?? "report";
}
