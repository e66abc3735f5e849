/** Crash records of requests, and the decision which requests are blocked from endpoints. */
export {
  type Admittance,
  CrashLedger,
  DOUBT_MS,
  KEPT_CRASH_RECORDS,
  type ObservedCrash,
} from "./CrashLedger";
export { CrashTable, type CrashVerdict } from "./CrashTable";
export { checkCrashRecord } from "./checkCrashRecord";
export { getCrashDepth, isCrashRecordKnown, mergeCrashRecords } from "./crashRecords";
export { getRequestDigest, type RequestContent, type RequestDigest } from "./RequestDigest";
export { createRelease, isReleaseDue, KEEP_AWAY_MS } from "./release";
