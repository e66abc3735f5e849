import { Code, ConnectError } from "@connectrpc/connect";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { UnreachableControl } from "../../src/errors";
import { FleetService } from "../../src/gen/ploverstage/v1/fleet_pb";
import { CallTrace, createLeaderRefusal, LeaderClient, TransportPool } from "../../src/rpc";

const ADDRESSES = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];
const TOTAL_MS = 1_500;

describe("LeaderClient", () => {
  let client: LeaderClient<typeof FleetService>;
  let asked: string[];
  let known: string;

  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
    asked = [];
    known = "";
    client = new LeaderClient(FleetService, {
      addresses: ADDRESSES,
      transports: new TransportPool(undefined),
      clock: { getMonotonicMs: () => Date.now(), getWallMs: () => Date.now() },
      getLeaderAddress: () => known,
    });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Calls until the leader answers; gives when that was. */
  async function findLeader(getLeader: () => string | undefined, hint = ""): Promise<number> {
    let foundAt = Number.NaN;
    const trace = new CallTrace();
    const tell = () => {
      asked.push(trace.lastAddress);
      if (trace.lastAddress !== getLeader()) return Promise.reject(createLeaderRefusal(hint));
      foundAt = Date.now();
      return Promise.resolve(1);
    };
    const call = client.call(tell, TOTAL_MS, trace);
    await Promise.all([call, vi.advanceTimersByTimeAsync(TOTAL_MS)]);
    return foundAt;
  }

  it("asks all processes within a moment", async () => {
    expect(await findLeader(() => ADDRESSES[2])).toBeLessThanOrEqual(30);
    expect(asked).toEqual(ADDRESSES);
  });

  it("follows a hint at once", async () => {
    expect(await findLeader(() => ADDRESSES[2], ADDRESSES[2])).toBeLessThanOrEqual(15);
    expect(asked).toEqual([ADDRESSES[0], ADDRESSES[2]]);
  });

  it("finds a leader soon after it was elected, and asks no more often than a few times a round", async () => {
    const ELECTED_AT = 900;
    const foundAt = await findLeader(() => (Date.now() >= ELECTED_AT ? ADDRESSES[1] : undefined));
    expect(foundAt - ELECTED_AT).toBeLessThanOrEqual(250);
    expect(asked.length).toBeLessThan(30);
  });

  it("asks the leader first that its process knows, and others where that one is gone", async () => {
    known = "127.0.0.1:9";
    expect(await findLeader(() => known)).toBe(0);
    expect(asked).toEqual([known]);
    asked = [];
    const startedAt = Date.now();
    expect((await findLeader(() => ADDRESSES[1])) - startedAt).toBeLessThanOrEqual(100);
    expect(asked).toEqual([known, ADDRESSES[0], ADDRESSES[1]]);
  });

  /** Calls a leader that answers late; gives whom it asked, and when it had an answer. */
  async function callLate(answerMs: number): Promise<{ asked: string[]; answeredAt: number }> {
    let answeredAt = Number.NaN;
    const trace = new CallTrace();
    const startedAt = Date.now();
    const tell = (_: unknown, timeoutMs: number) => {
      asked.push(trace.lastAddress);
      return new Promise((resolve, reject) => {
        const isLate = trace.lastAddress === ADDRESSES[0] && answerMs > timeoutMs;
        const failure = new ConnectError("the operation timed out", Code.DeadlineExceeded);
        const waitMs = trace.lastAddress === ADDRESSES[0] ? answerMs : 1;
        setTimeout(() => (isLate ? reject(failure) : resolve(1)), Math.min(waitMs, timeoutMs));
      });
    };
    const call = client.call(tell, TOTAL_MS, trace).then(() => {
      answeredAt = Date.now() - startedAt;
    });
    await Promise.all([call, vi.advanceTimersByTimeAsync(TOTAL_MS)]);
    return { asked, answeredAt };
  }

  it("asks a leader that is only late once, for as long as it has time", async () => {
    known = ADDRESSES[0]!;
    expect(await callLate(1_300)).toEqual({ asked: [known], answeredAt: 1_300 });
  });

  it("waits no longer for a late leader once another one leads", async () => {
    known = ADDRESSES[0]!;
    setTimeout(() => {
      known = ADDRESSES[2]!;
    }, 400);
    const late = await callLate(10_000);
    expect(late.asked).toEqual([ADDRESSES[0], ADDRESSES[2]]);
    expect(late.answeredAt).toBeLessThanOrEqual(500);
  });

  it("gives up a process soon that it does not know to lead", async () => {
    const late = await callLate(10_000);
    expect(late.asked).toEqual([ADDRESSES[0], ADDRESSES[1]]);
    expect(late.answeredAt).toBeLessThanOrEqual(800);
  });

  describe("calls at once", () => {
    /** Some at a time, as operators and relays make them. */
    const COUNTS = [2, 3, 4, 6, 8];
    /** Until another process has answered. */
    const ANSWER_MS = 3;

    /**
     * Calls some times at once; gives when each reached the leader.
     * @param failure - What another process answers, and after how long.
     */
    async function findTogether(count: number, failure: ConnectError, afterMs: number): Promise<number[]> {
      const foundAt: number[] = [];
      const fail = () =>
        new Promise<never>((_, reject) => {
          setTimeout(() => reject(failure), afterMs);
        });
      const call = () => {
        const trace = new CallTrace();
        const tell = () => {
          if (trace.lastAddress !== ADDRESSES[2]) return fail();
          foundAt.push(Date.now());
          return Promise.resolve(1);
        };
        return client.call(tell, TOTAL_MS, trace);
      };
      const calls = Promise.allSettled(Array.from({ length: count }, call));
      await Promise.all([calls, vi.advanceTimersByTimeAsync(2 * TOTAL_MS)]);
      return foundAt;
    }

    it.each(COUNTS)("all reach the leader that a process names (%i calls)", async (count) => {
      const foundAt = await findTogether(count, createLeaderRefusal(ADDRESSES[2]!), ANSWER_MS);
      expect(foundAt).toHaveLength(count);
      expect(Math.max(...foundAt)).toBeLessThanOrEqual(50);
    });

    it.each(COUNTS)("pass over no process while others do not answer (%i calls)", async (count) => {
      const SILENT_MS = 300;
      const failure = new ConnectError("silent", Code.DeadlineExceeded);
      const foundAt = await findTogether(count, failure, SILENT_MS);
      expect(foundAt).toHaveLength(count);
      expect(Math.max(...foundAt)).toBeLessThanOrEqual(2 * SILENT_MS + 50);
    });
  });

  it("gives up in the time that it has, and at once where asking again is of no use", async () => {
    const call = client.call(() => Promise.reject(createLeaderRefusal("")), TOTAL_MS);
    const failed = expect(call).rejects.toBeInstanceOf(UnreachableControl);
    await vi.advanceTimersByTimeAsync(TOTAL_MS + 1);
    await failed;
    const refused = client.call(
      () => Promise.reject(new ConnectError("invalid", Code.InvalidArgument)),
      TOTAL_MS,
    );
    await expect(refused).rejects.toMatchObject({ code: Code.InvalidArgument });
  });
});
