/** Percentiles of few values, exactly. */

/**
 * Gets a percentile.
 * @param sorted - Ascending.
 * @param share - In [0, 1].
 * @returns 0 where there are no values.
 */
export function getPercentile(sorted: readonly number[], share: number): number {
  if (sorted.length === 0) return 0;
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!;
}
