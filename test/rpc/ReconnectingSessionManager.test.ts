import { EventEmitter } from "node:events";
import type { Http2SessionManager } from "@connectrpc/connect-node";
import { describe, expect, it } from "vitest";
import { ReconnectingSessionManager } from "../../src/rpc/ReconnectingSessionManager";
import { SessionPinger } from "../../src/rpc/SessionPinger";

describe("ReconnectingSessionManager", () => {
  it("handles errors of a stream that opened after its call had failed, and of its session", async () => {
    const first = Object.assign(new EventEmitter(), { setLocalWindowSize: () => {} });
    const second = Object.assign(new EventEmitter(), { setLocalWindowSize: () => {} });
    const lateStream = Object.assign(new EventEmitter(), { session: second, close: () => {} });
    let openStream: (stream: object) => void = () => {};
    const openings = [
      Promise.resolve({ session: first }),
      new Promise((resolve) => {
        openStream = resolve;
      }),
    ];
    const fakeManager = {
      authority: "http://127.0.0.1:1",
      request: () => openings.shift(),
      notifyResponseByteRead: () => {},
    };
    const pinger = new SessionPinger({ getMonotonicMs: () => 0, getWallMs: () => 0 });
    const manager = new ReconnectingSessionManager(
      () => fakeManager as unknown as Http2SessionManager,
      pinger,
    );
    await manager.request("POST", "/", {}, {});
    const call = manager.request("POST", "/", {}, {});
    first.emit("close");
    await expect(call).rejects.toThrow("the session ended");
    openStream(lateStream);
    await Promise.resolve();
    const resetError = new Error("read ECONNRESET");
    expect(() => lateStream.emit("error", resetError)).not.toThrow();
    expect(() => second.emit("error", resetError)).not.toThrow();
  });

  it("handles the error of a session without open calls with a single listener", async () => {
    const session = Object.assign(new EventEmitter(), { setLocalWindowSize: () => {} });
    const fakeManager = {
      authority: "http://127.0.0.1:1",
      request: () => Promise.resolve({ session }),
      notifyResponseByteRead: () => {},
    };
    const pinger = new SessionPinger({ getMonotonicMs: () => 0, getWallMs: () => 0 });
    expect(() => session.emit("error", new Error("received GOAWAY"))).toThrow("received GOAWAY");
    const manager = new ReconnectingSessionManager(
      () => fakeManager as unknown as Http2SessionManager,
      pinger,
    );
    await manager.request("POST", "/", {}, {});
    await manager.request("POST", "/", {}, {});
    expect(session.listenerCount("error")).toBe(1);
    expect(() => session.emit("error", new Error("received GOAWAY"))).not.toThrow();
  });
});
