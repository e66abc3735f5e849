import { EventEmitter } from "node:events";
import { constants } from "node:http2";
import type { Http2SessionManager } from "@connectrpc/connect-node";
import { describe, expect, it } from "vitest";
import { ReconnectingSessionManager } from "../../src/rpc/ReconnectingSessionManager";
import { SessionPinger } from "../../src/rpc/SessionPinger";
import { waitUntil } from "../support/waitUntil";

describe("ReconnectingSessionManager", () => {
  /** A session manager whose streams open when the test says so. */
  class FakeManager {
    readonly authority = "http://127.0.0.1:1";
    readonly openings: ((stream: object) => void)[] = [];
    readonly notifyResponseByteRead = () => {};

    request(): Promise<object> {
      return new Promise((resolve) => this.openings.push(resolve));
    }
  }

  const createStream = (session: object) => Object.assign(new EventEmitter(), { session });
  const createSession = () => Object.assign(new EventEmitter(), { setLocalWindowSize: () => {} });

  /** Starts a manager with one open session, and a call that waits for its stream. */
  async function startCall() {
    const fakes: FakeManager[] = [];
    const pinger = new SessionPinger({ getMonotonicMs: () => 0, getWallMs: () => 0 });
    const manager = new ReconnectingSessionManager(() => {
      const fake = new FakeManager();
      fakes.push(fake);
      return fake as unknown as Http2SessionManager;
    }, pinger);
    const first = createSession();
    const firstCall = manager.request("POST", "/", {}, {});
    fakes[0]!.openings[0]!(createStream(first));
    await firstCall;
    return { manager, fakes, first, call: manager.request("POST", "/", {}, {}) };
  }

  // Guards against calls that fail although they were not sent and a new session would take them.
  it("opens the stream of a call in a new session when its session ends before it was sent", async () => {
    const { fakes, first, call } = await startCall();
    first.emit("close");
    await waitUntil("the stream is opened again", () => fakes[1]?.openings.length === 1);
    const stream = createStream(createSession());
    fakes[1]!.openings[0]!(stream);
    expect(await call).toBe(stream);
    expect(fakes.map(({ openings }) => openings.length)).toEqual([2, 1]);
  });

  it("fails a call whose second session ends as well before it was sent", async () => {
    const { manager, fakes, first, call } = await startCall();
    first.emit("close");
    await waitUntil("the stream is opened again", () => fakes[1]?.openings.length === 1);
    const second = createSession();
    const otherCall = manager.request("POST", "/", {}, {});
    fakes[1]!.openings[1]!(createStream(second));
    await otherCall;
    second.emit("close");
    await expect(call).rejects.toThrow("the session ended");
    expect(fakes.map(({ openings }) => openings.length)).toEqual([2, 2, 0]);
  });

  it("closes a stream that opens after its call was sent elsewhere, and handles its errors and those of its session", async () => {
    const { fakes, first, call } = await startCall();
    first.emit("close");
    await waitUntil("the stream is opened again", () => fakes[1]?.openings.length === 1);
    const session = createSession();
    let closedWith: number | undefined;
    const close = (code: number) => {
      closedWith = code;
    };
    const lateStream = Object.assign(new EventEmitter(), { session, close });
    fakes[0]!.openings[1]!(lateStream);
    fakes[1]!.openings[0]!(createStream(createSession()));
    await call;
    expect(closedWith).toBe(constants.NGHTTP2_CANCEL);
    const resetError = new Error("read ECONNRESET");
    expect(() => lateStream.emit("error", resetError)).not.toThrow();
    expect(() => session.emit("error", resetError)).not.toThrow();
  });

  it("handles the error of a session without open calls with a single listener", async () => {
    const session = Object.assign(new EventEmitter(), { setLocalWindowSize: () => {} });
    const fakeManager = {
      authority: "http://127.0.0.1:1",
      request: () => Promise.resolve(createStream(session)),
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
