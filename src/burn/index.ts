/** Service-level counts and reports. */
export { type BurnOutcome, BurnRecorder } from "./BurnRecorder";
export {
  type BurnMinute,
  type BurnReport,
  type BurnRow,
  type BurnSpan,
  createBurnReport,
  type Objective,
  SPAN_MINUTES,
} from "./BurnReport";
export { BurnStore, mergeWindows, RETENTION_MINUTES } from "./BurnStore";
export { addDuration, createHistogram, decodeHistogram, encodeHistogram, type Histogram } from "./Histogram";
export { getMinute, MS_PER_MINUTE } from "./minutes";
export { renderBurnHtml } from "./renderBurnHtml";
