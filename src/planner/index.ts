/** The planner of groups and replicas. */
export { FreePool } from "./FreePool";
export type * from "./facts";
export { Planner, REASON } from "./Planner";
export {
  ExpectedRepair,
  ImmediateRepair,
  type RepairFacts,
  type RepairPolicy,
  WaitingRepair,
} from "./RepairPolicy";
