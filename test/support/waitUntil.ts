/** Waits for conditions instead of fixed times. */

const POLL_MS = 20;
const TIMEOUT_MS = 40_000;

/**
 * Polls a check until it returns a value other than `undefined` or `false`.
 * @param description - Condition for the error message.
 * @throws Error with the last failure of the check if the condition is not met within 40 seconds.
 */
export async function waitUntil<T>(
  description: string,
  check: () => Promise<T | undefined | false> | T | undefined | false,
): Promise<T> {
  const deadline = performance.now() + TIMEOUT_MS;
  let lastFailure: unknown;
  for (;;) {
    try {
      const result = await check();
      if (result !== undefined && result !== false) return result;
    } catch (cause) {
      lastFailure = cause;
    }
    if (performance.now() > deadline)
      throw new Error(`timed out waiting until ${description}; last failure: ${String(lastFailure)}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
