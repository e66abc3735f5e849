/** A snapshot of a group for one run of the planner. */
import type { Group, Model } from "../configuration";
import type { Replica } from "../gen/ploverstage/v1/state_pb";

/** A group with its model and its replicas by phase. */
export interface GroupView {
  readonly group: Group;
  readonly model: Model;
  readonly serving: readonly Replica[];
  readonly forming: readonly Replica[];
}
