/** Which headers go from one side to the other. */
import type { IncomingMessage } from "node:http";

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and framing that is made anew. */
const HOP_BY_HOP = new Set([
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
]);

/**
 * Gets the end-to-end headers, names and values in turn.
 * @param raw - As received.
 */
export function getEndToEndHeaders(raw: readonly string[]): string[] {
  const named = getConnectionHeaders(raw);
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    if (!HOP_BY_HOP.has(name) && !named.has(name)) kept.push(raw[i]!, raw[i + 1]!);
  }
  return kept;
}

/** Gets headers without those of some names, given in lower case. */
export function dropHeaders(raw: readonly string[], names: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (!names.has(raw[i]!.toLowerCase())) kept.push(raw[i]!, raw[i + 1]!);
  }
  return kept;
}

/** A sender may name more headers as its connection's own. */
function getConnectionHeaders(raw: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]!.toLowerCase() !== "connection") continue;
    for (const name of raw[i + 1]!.split(",")) names.add(name.trim().toLowerCase());
  }
  return names;
}

/** Checks whether an answer says where it ends; else the end of its connection does, cut or not. */
export function isFramed(incoming: IncomingMessage): boolean {
  const { headers } = incoming;
  return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
