import { EventEmitter } from "node:events";
import type { Http2SessionManager } from "@connectrpc/connect-node";
import { describe, expect, it } from "vitest";
import { GuardedSessionManager } from "../../src/rpc/ReconnectingSessionManager";
import { SessionPings } from "../../src/rpc/SessionPinger";

describe("GuardedSessionManager", () => {
  it("outlives the errors of a stream that came too late for its call, and of its session", async () => {
    const first = Object.assign(new EventEmitter(), { setLocalWindowSize: () => {} });
    const second = Object.assign(new EventEmitter(), { setLocalWindowSize: () => {} });
    const late = Object.assign(new EventEmitter(), { session: second, close: () => {} });
    let open: (stream: object) => void = () => {};
    const opened = [
      Promise.resolve({ session: first }),
      new Promise((resolve) => {
        open = resolve;
      }),
    ];
    const inner = {
      authority: "http://127.0.0.1:1",
      request: () => opened.shift(),
      notifyResponseByteRead: () => {},
    };
    const pings = new SessionPings({ getMonotonicMs: () => 0, getWallMs: () => 0 });
    const guarded = new GuardedSessionManager(() => inner as unknown as Http2SessionManager, pings);
    await guarded.request("POST", "/", {}, {});
    const call = guarded.request("POST", "/", {}, {});
    first.emit("close");
    await expect(call).rejects.toThrow("the session ended");
    open(late);
    await Promise.resolve();
    const reset = new Error("read ECONNRESET");
    expect(() => late.emit("error", reset)).not.toThrow();
    expect(() => second.emit("error", reset)).not.toThrow();
  });

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
