/** What requests did to the endpoints that ran them, and which requests are kept away from endpoints. */
export {
  type AdmissionDecision,
  CrashLedger,
  MAX_CRASH_RECORDS,
  type ObservedCrash,
  TRIAL_DELAY_MS,
} from "./CrashLedger";
export { CrashTable, type CrashVerdict } from "./CrashTable";
export { checkCrashRecord } from "./checkCrashRecord";
export { getCrashDepth, isCrashRecordIncluded, joinCrashRecords } from "./crashRecords";
export { getRequestDigest, type RequestContent, type RequestDigest } from "./RequestDigest";
export { BLOCK_MS, createRelease, isReleaseDue } from "./release";
