/** Gets how many connections of callers a process keeps open. */

/** Descriptors kept for files, logs, and the processes of this system. */
const KEPT_DESCRIPTORS = 300;
const MIN_CONNECTIONS = 16;

/**
 * Gets the number of connections that the callers of one server may keep open.
 * @param maxDescriptors - Descriptors that the process may open.
 * @param share - Fraction of the other descriptors for these callers.
 */
export function getCallerLimit(maxDescriptors: number, share: number): number {
  return Math.max(MIN_CONNECTIONS, Math.floor((maxDescriptors - KEPT_DESCRIPTORS) * share));
}
