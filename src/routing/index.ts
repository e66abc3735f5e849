/** Admission of requests, choice of a replica, and limits on retries. */
export { AdmissionQueue, type AdmissionRefusal, type Ticket } from "./AdmissionQueue";
export { EndpointHealth } from "./EndpointHealth";
export { type EndpointFacts, EndpointPool, getSlowness, Work, type WorkOutcome } from "./EndpointPool";
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
