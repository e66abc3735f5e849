/**
 * Flow-control windows: how many bytes a peer may send before it receives an acknowledgement.
 *
 * With the protocol's default windows of 64 KB, a declaration of several hundred kilobytes waits after each
 * window for a turn of both event loops, which adds up to seconds between delayed processes.
 */
import type { Http2Session, Settings } from "node:http2";

/** Window of one call and of a session, in bytes; larger than the largest declarations and views. */
export const WINDOW_BYTES = 2 * 1024 * 1024;

/** HTTP/2 settings sent when a session opens. */
export const SESSION_SETTINGS: Settings = { initialWindowSize: WINDOW_BYTES };

/** Sets the window of the whole session, which the settings don't cover, to that of one call. */
export function widenWindow(session: Pick<Http2Session, "setLocalWindowSize">): void {
  session.setLocalWindowSize(WINDOW_BYTES);
}
