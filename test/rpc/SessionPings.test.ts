import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SessionPings } from "../../src/rpc/SessionPings";

const INTERVAL_MS = 500;

/** A session as Node's: it throws when it is pinged after its end. */
class Session {
  destroyed = false;
  closed = false;
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
    pings = new SessionPings(session as never, { getMonotonicMs: () => now, getWallMs: () => now });
  });

  afterEach(() => {
    pings.stop();
    vi.useRealTimers();
  });

  async function pass(milliseconds: number): Promise<void> {
    now += milliseconds;
    await vi.advanceTimersByTimeAsync(INTERVAL_MS);
  }

  it("keeps a caller that answers, and cuts one off that does not", async () => {
    await pass(INTERVAL_MS);
    session.pings.pop()!(null);
    await pass(INTERVAL_MS);
    expect(session.destroyed).toBe(false);
    await pass(INTERVAL_MS);
    expect(session.destroyed).toBe(true);
  });

  it("leaves a session alone that has ended and is not closed yet", async () => {
    await pass(INTERVAL_MS);
    session.pings.pop()!(null);
    session.destroyed = true;
    await pass(INTERVAL_MS);
    expect(session.pings).toEqual([]);
  });

  it("takes no caller for gone while it runs late itself", async () => {
    await pass(INTERVAL_MS);
    await pass(INTERVAL_MS * 3);
    expect(session.destroyed).toBe(false);
    session.pings.pop()!(null);
    await pass(INTERVAL_MS);
    expect(session.destroyed).toBe(false);
    await pass(INTERVAL_MS);
    expect(session.destroyed).toBe(true);
  });
});
