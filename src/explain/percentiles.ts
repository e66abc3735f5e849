/** Computes exact percentiles of small samples. */

/**
 * Gets a percentile.
 * @param sorted - Values in ascending order.
 * @param fraction - In [0, 1].
 * @returns 0 if there are no values.
 */
export function getPercentile(sorted: readonly number[], fraction: number): number {
  if (sorted.length === 0) return 0;
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))]!;
}
