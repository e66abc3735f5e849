import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SessionPings } from "../../src/rpc/SessionPinger";

const LOOK_MS = 250;
const PATIENCE_MS = 500;

/** A session as Node's: it throws when it is pinged after its end. */
class Session {
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

describe("SessionPings", () => {
  let now: number;
  let session: Session;
  let pings: SessionPings;

  beforeEach(() => {
    vi.useFakeTimers();
    now = 0;
    session = new Session();
    pings = new SessionPings({ getMonotonicMs: () => now, getWallMs: () => now });
    pings.add(session as never, PATIENCE_MS);
  });

  afterEach(() => {
    pings.stop();
    vi.useRealTimers();
  });

  /** Lets time pass until the sessions are looked at next, which may be late. */
  async function look(afterMs = LOOK_MS): Promise<void> {
    now += afterMs;
    await vi.advanceTimersByTimeAsync(LOOK_MS);
  }

  it("keeps a peer that answers, and cuts one off within a second that does not", async () => {
    await look();
    session.pings.pop()!(null);
    const answeredAt = now;
    for (let looks = 0; looks < 10 && !session.destroyed; looks++) await look();
    expect(session.destroyed).toBe(true);
    expect(now - answeredAt).toBeLessThanOrEqual(1_000);
    expect(now - answeredAt).toBeGreaterThan(PATIENCE_MS);
  });

  it("asks nothing of a peer that says something anyway", async () => {
    for (let looks = 0; looks < 10; looks++) {
      session.socket.bytesRead += 1;
      await look();
    }
    expect(session.pings).toEqual([]);
    expect(session.destroyed).toBe(false);
  });

  it("takes what a peer says for the answer to a ping", async () => {
    await look();
    expect(session.pings).toHaveLength(1);
    session.socket.bytesRead += 1;
    await look();
    await look();
    await look();
    expect(session.destroyed).toBe(false);
    expect(session.pings).toHaveLength(2);
  });

  it("leaves a session alone that has ended and is not closed yet", async () => {
    await look();
    session.pings.pop()!(null);
    session.destroyed = true;
    await look();
    expect(session.pings).toEqual([]);
  });

  it("takes no peer for gone while it runs late itself", async () => {
    await look();
    await look(LOOK_MS * 8);
    expect(session.destroyed).toBe(false);
    session.pings.pop()!(null);
    await look();
    await look();
    expect(session.destroyed).toBe(false);
    await look();
    await look();
    expect(session.destroyed).toBe(true);
  });

  it("waits for longer for a peer that it was told to be patient with", async () => {
    pings.setPatience(session as never, 3_000);
    for (let looks = 0; looks < 12; looks++) await look();
    expect(session.destroyed).toBe(false);
    await look();
    await look();
    expect(session.destroyed).toBe(true);
  });

  it("looks at a session no more once it was removed", async () => {
    pings.remove(session as never);
    await look();
    expect(session.pings).toEqual([]);
  });
});
