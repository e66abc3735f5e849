/**
 * How much peers may send before they hear that it was read.
 *
 * With the protocol's usual windows of 64 KB a declaration of some hundred kilobytes waits for a turn of both ends' event
 * loops after each of them: seconds between processes that run late.
 */
import type { Http2Session, Settings } from "node:http2";

/** Of one call, and of a session; above the largest declarations and views. */
export const WINDOW_BYTES = 2 * 1024 * 1024;

/** What a session tells its peer at its start. */
export const SESSION_SETTINGS: Settings = { initialWindowSize: WINDOW_BYTES };

/** Lets the peer send as much over the whole session as in one call. */
export function widenWindow(session: Pick<Http2Session, "setLocalWindowSize">): void {
  session.setLocalWindowSize(WINDOW_BYTES);
}
