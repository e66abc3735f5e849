import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SessionPinger } from "../../src/rpc/SessionPinger";

const CHECK_INTERVAL_MS = 250;
const PING_TIMEOUT_MS = 500;

/** Fake session. Like a session of Node, it throws when it is pinged after it was destroyed. */
class FakeSession {
  destroyed = false;
  closed = false;
  socket = { bytesRead: 0 };
  pings: ((failure: Error | null) => void)[] = [];

  ping(callback: (failure: Error | null) => void): boolean {
    if (this.destroyed) throw new Error("The session has been destroyed");
    this.pings.push(callback);
    return true;
  }

  destroy(): void {
    this.destroyed = true;
  }
}

describe("SessionPinger", () => {
  let now: number;
  let session: FakeSession;
  let pinger: SessionPinger;

  beforeEach(() => {
    vi.useFakeTimers();
    now = 0;
    session = new FakeSession();
    pinger = new SessionPinger({ getMonotonicMs: () => now, getWallMs: () => now });
    pinger.add(session as never, PING_TIMEOUT_MS);
  });

  afterEach(() => {
    pinger.stop();
    vi.useRealTimers();
  });

  /** Advances the time to the next check of the sessions, which may be late. */
  async function advanceToCheck(afterMs = CHECK_INTERVAL_MS): Promise<void> {
    now += afterMs;
    await vi.advanceTimersByTimeAsync(CHECK_INTERVAL_MS);
  }

  it("keeps the session of a peer that answers, and destroys it within a second after the last answer", async () => {
    await advanceToCheck();
    session.pings.pop()!(null);
    const answeredAt = now;
    for (let checks = 0; checks < 10 && !session.destroyed; checks++) await advanceToCheck();
    expect(session.destroyed).toBe(true);
    expect(now - answeredAt).toBeLessThanOrEqual(1_000);
    expect(now - answeredAt).toBeGreaterThan(PING_TIMEOUT_MS);
  });

  it("sends no ping to a peer that sends data", async () => {
    for (let checks = 0; checks < 10; checks++) {
      session.socket.bytesRead += 1;
      await advanceToCheck();
    }
    expect(session.pings).toEqual([]);
    expect(session.destroyed).toBe(false);
  });

  it("counts received data as the answer to a ping", async () => {
    await advanceToCheck();
    expect(session.pings).toHaveLength(1);
    session.socket.bytesRead += 1;
    await advanceToCheck();
    await advanceToCheck();
    await advanceToCheck();
    expect(session.destroyed).toBe(false);
    expect(session.pings).toHaveLength(2);
  });

  it("does not ping a destroyed session that has not emitted its close event", async () => {
    await advanceToCheck();
    session.pings.pop()!(null);
    session.destroyed = true;
    await advanceToCheck();
    expect(session.pings).toEqual([]);
  });

  it("destroys no session while its own checks are late", async () => {
    await advanceToCheck();
    await advanceToCheck(CHECK_INTERVAL_MS * 8);
    expect(session.destroyed).toBe(false);
    session.pings.pop()!(null);
    await advanceToCheck();
    await advanceToCheck();
    expect(session.destroyed).toBe(false);
    await advanceToCheck();
    await advanceToCheck();
    expect(session.destroyed).toBe(true);
  });

  it("applies a longer timeout set for one session", async () => {
    pinger.setTimeoutMs(session as never, 3_000);
    for (let checks = 0; checks < 12; checks++) await advanceToCheck();
    expect(session.destroyed).toBe(false);
    await advanceToCheck();
    await advanceToCheck();
    expect(session.destroyed).toBe(true);
  });

  it("does not ping a removed session", async () => {
    pinger.remove(session as never);
    await advanceToCheck();
    expect(session.pings).toEqual([]);
  });
});
