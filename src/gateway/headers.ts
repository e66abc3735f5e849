/** Selects the headers that are passed on between callers and endpoints. */
import { RELAY_ANSWER_HEADER, RELAY_REQUEST_HEADER, RELAY_SECRET_HEADER } from "./relay";

/**
 * Headers that apply to one connection only (RFC 9110, section 7.6.1), framing headers, which the gateway
 * creates itself, and headers between entries.
 */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  RELAY_REQUEST_HEADER,
  RELAY_ANSWER_HEADER,
  RELAY_SECRET_HEADER,
]);

/** Headers with the length of a body, which the gateway sets itself. */
export const FRAMING_HEADERS: ReadonlySet<string> = new Set(["content-length"]);

/**
 * Gets the end-to-end headers, alternating names and values.
 * @param raw - As received.
 */
export function getEndToEndHeaders(raw: readonly string[]): string[] {
  const connectionHeaders = getConnectionHeaders(raw);
  const result: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(name) && !connectionHeaders.has(name)) result.push(raw[i]!, raw[i + 1]!);
  }
  return result;
}

/** Gets headers without those of the given names, which must be lower case. */
export function dropHeaders(raw: readonly string[], names: ReadonlySet<string>): string[] {
  const result: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (!names.has(raw[i]!.toLowerCase())) result.push(raw[i]!, raw[i + 1]!);
  }
  return result;
}

/** Gets the further hop-by-hop headers that the sender lists in `Connection`. */
function getConnectionHeaders(raw: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]!.toLowerCase() !== "connection") continue;
    for (const name of raw[i + 1]!.split(",")) names.add(name.trim().toLowerCase());
  }
  return names;
}
