import { EventEmitter } from "node:events";
import type { Http2SessionManager } from "@connectrpc/connect-node";
import { describe, expect, it } from "vitest";
import { GuardedSessionManager } from "../../src/rpc/GuardedSessionManager";
import { SessionPings } from "../../src/rpc/SessionPings";

describe("GuardedSessionManager", () => {
  it("outlives the error of a session on which no call is open any more, and listens once", async () => {
    const session = Object.assign(new EventEmitter(), { setLocalWindowSize: () => {} });
    const inner = {
      authority: "http://127.0.0.1:1",
      request: () => Promise.resolve({ session }),
      notifyResponseByteRead: () => {},
    };
    const pings = new SessionPings({ getMonotonicMs: () => 0, getWallMs: () => 0 });
    expect(() => session.emit("error", new Error("received GOAWAY"))).toThrow("received GOAWAY");
    const guarded = new GuardedSessionManager(() => inner as unknown as Http2SessionManager, pings);
    await guarded.request("POST", "/", {}, {});
    await guarded.request("POST", "/", {}, {});
    expect(session.listenerCount("error")).toBe(1);
    expect(() => session.emit("error", new Error("received GOAWAY"))).not.toThrow();
  });
});
