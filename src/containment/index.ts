/** Crash records of requests, and the decision which requests are blocked from endpoints. */
export {
  type AdmissionDecision,
  CrashLedger,
  MAX_CRASH_RECORDS,
  type ObservedCrash,
  TRIAL_DELAY_MS,
} from "./CrashLedger";
export { CrashTable, type CrashVerdict } from "./CrashTable";
export { checkCrashRecord } from "./checkCrashRecord";
export { getCrashDepth, isCrashRecordIncluded, mergeCrashRecords } from "./crashRecords";
export {
  getPartDigest,
  getRequestDigest,
  type PartDigest,
  type RequestContent,
  type RequestDigest,
  type Suspect,
} from "./RequestDigest";
export { BLOCK_MS, createRelease, isReleaseDue } from "./release";
