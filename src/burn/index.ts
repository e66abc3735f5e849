/** Service-level counting and reports. */
export { type BurnOutcome, BurnRecorder } from "./BurnRecorder";
export { BurnStore, HELD_MINUTES, mergeWindows } from "./BurnStore";
export { addDuration, createHistogram, decodeHistogram, encodeHistogram, type Histogram } from "./Histogram";
