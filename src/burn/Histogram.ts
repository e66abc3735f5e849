/** Mergeable latency histograms: HdrHistogram in milliseconds with two significant digits. */
import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from "hdr-histogram-js";

export type { Histogram };

const MAX_DURATION_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;

/** Creates an empty histogram. */
export function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_DURATION_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
  });
}

/** Adds a duration, clamped to the range of the histogram. */
export function addDuration(histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.min(MAX_DURATION_MS, Math.max(0, Math.round(milliseconds))));
}

/** Encodes a histogram in the compressed HdrHistogram format. */
export function encodeHistogram(histogram: Histogram): Uint8Array {
  return Buffer.from(encodeIntoCompressedBase64(histogram), "base64");
}

/** Decodes a histogram. An empty array gives an empty histogram. */
export function decodeHistogram(bytes: Uint8Array): Histogram {
  if (bytes.length === 0) return createHistogram();
  return decodeFromCompressedBase64(Buffer.from(bytes).toString("base64"), 32, false);
}

/** Merges two encoded histograms. */
export function mergeHistograms(first: Uint8Array, second: Uint8Array): Uint8Array {
  if (first.length === 0) return second;
  if (second.length === 0) return first;
  const merged = decodeHistogram(first);
  merged.add(decodeHistogram(second));
  return encodeHistogram(merged);
}
