/** Waits on a condition, never for a time. */

const POLL_MS = 20;
const LONGEST_MS = 40_000;

/**
 * Waits until a check gives something.
 * @param what - Told when it never does.
 */
export async function waitUntil<T>(
  what: string,
  check: () => Promise<T | undefined | false> | T | undefined | false,
): Promise<T> {
  const endAt = performance.now() + LONGEST_MS;
  let failure: unknown;
  for (;;) {
    try {
      const found = await check();
      if (found !== undefined && found !== false) return found;
    } catch (cause) {
      failure = cause;
    }
    if (performance.now() > endAt) throw new Error(`never: ${what}; last failure: ${String(failure)}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
