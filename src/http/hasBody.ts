/** No Content and Not Modified. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Checks whether an answer has a body (RFC 9110, section 6.4.1).
 * @param method - Method of the request.
 */
export function hasBody(method: string | undefined, status: number | undefined): boolean {
  return method !== "HEAD" && !BODYLESS_STATUSES.has(status ?? 0);
}
