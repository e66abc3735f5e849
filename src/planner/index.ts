/** The group planner. */
export { FreePool } from "./FreePool";
export type * from "./facts";
export { Planner, REASON } from "./Planner";
export {
  ImmediateRepair,
  LeastOutageRepair,
  LongestWaitRepair,
  type RepairFacts,
  type RepairPolicy,
} from "./RepairPolicy";
