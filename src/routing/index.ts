/** Decisions about where and whether a request goes. */
export { AdmissionQueue, type AdmissionRefusal, type Ticket } from "./AdmissionQueue";
export { EndpointHealth } from "./EndpointHealth";
export { type EndpointFacts, EndpointPool, getSlowness, Work, type WorkEnd } from "./EndpointPool";
export {
  type Candidate,
  LeastReportedPlacement,
  LeastWorkPlacement,
  OwnInFlightPlacement,
  type Placement,
  RoundRobinPlacement,
} from "./Placement";
export { BLOCK_CHARACTERS, getPrefixDigests, type PrefixDigests, PrefixTable } from "./PrefixTable";
export { RetryBudget } from "./RetryBudget";
export { type RetryBound, SharedRetryBudget } from "./SharedRetryBudget";
