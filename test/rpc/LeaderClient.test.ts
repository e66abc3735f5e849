import { Code, ConnectError } from "@connectrpc/connect";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { UnreachableControl } from "../../src/errors";
import { FleetService } from "../../src/gen/ploverstage/v1/fleet_pb";
import { CallTrace, createLeaderRefusal, LeaderClient, TransportPool } from "../../src/rpc";

const ADDRESSES = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];
const TOTAL_MS = 1_500;

describe("LeaderClient", () => {
  let client: LeaderClient<typeof FleetService>;
  let called: string[];
  let knownLeader: string;
  let electedAt: number;

  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
    called = [];
    knownLeader = "";
    electedAt = 0;
    client = new LeaderClient(FleetService, {
      addresses: ADDRESSES,
      transports: new TransportPool(undefined),
      clock: { getMonotonicMs: () => Date.now(), getWallMs: () => Date.now() },
      getLeaderAddress: () => knownLeader,
      isElecting: () => Date.now() < electedAt,
    });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /**
   * Calls until the leader answers.
   * @returns When the leader was called, in milliseconds of the fake clock.
   */
  async function findLeader(getLeader: () => string | undefined, hint = ""): Promise<number> {
    let foundAt = Number.NaN;
    const trace = new CallTrace();
    const respond = () => {
      called.push(trace.lastAddress);
      if (trace.lastAddress !== getLeader()) return Promise.reject(createLeaderRefusal(hint));
      foundAt = Date.now();
      return Promise.resolve(1);
    };
    const call = client.call(respond, TOTAL_MS, trace);
    await Promise.all([call, vi.advanceTimersByTimeAsync(TOTAL_MS)]);
    return foundAt;
  }

  it("calls three processes within 30 ms", async () => {
    expect(await findLeader(() => ADDRESSES[2])).toBeLessThanOrEqual(30);
    expect(called).toEqual(ADDRESSES);
  });

  it("follows a hint within 15 ms", async () => {
    expect(await findLeader(() => ADDRESSES[2], ADDRESSES[2])).toBeLessThanOrEqual(15);
    expect(called).toEqual([ADDRESSES[0], ADDRESSES[2]]);
  });

  it("finds a leader within 250 ms of its election, with fewer than 30 calls", async () => {
    const ELECTED_AT = 900;
    const foundAt = await findLeader(() => (Date.now() >= ELECTED_AT ? ADDRESSES[1] : undefined));
    expect(foundAt - ELECTED_AT).toBeLessThanOrEqual(250);
    expect(called.length).toBeLessThan(30);
  });

  // Guards against calls that all processes refuse, which delayed the votes for a leader.
  it("makes no call during an election, and finds the leader within 100 ms of its end", async () => {
    electedAt = 900;
    const foundAt = await findLeader(() => (Date.now() >= electedAt ? ADDRESSES[1] : undefined));
    expect(foundAt - electedAt).toBeLessThanOrEqual(100);
    expect(called).toEqual([ADDRESSES[0], ADDRESSES[1]]);
  });

  it("fails in time if the election lasts longer than the call", async () => {
    electedAt = Number.POSITIVE_INFINITY;
    const call = client.call(() => Promise.resolve(1), TOTAL_MS);
    const [outcome] = await Promise.allSettled([call, vi.advanceTimersByTimeAsync(TOTAL_MS)]);
    expect(outcome.status === "rejected" && outcome.reason).toBeInstanceOf(UnreachableControl);
    expect(Date.now()).toBe(TOTAL_MS);
  });

  it("calls the leader given by getLeaderAddress first, and the other processes if it fails", async () => {
    knownLeader = "127.0.0.1:9";
    expect(await findLeader(() => knownLeader)).toBe(0);
    expect(called).toEqual([knownLeader]);
    called = [];
    const startedAt = Date.now();
    expect((await findLeader(() => ADDRESSES[1])) - startedAt).toBeLessThanOrEqual(100);
    expect(called).toEqual([knownLeader, ADDRESSES[0], ADDRESSES[1]]);
  });

  /**
   * Makes a call that the first process answers only after `answerMs`.
   * @returns The called processes, and when the call was answered.
   */
  async function callSlowLeader(answerMs: number): Promise<{ called: string[]; answeredAt: number }> {
    let answeredAt = Number.NaN;
    const trace = new CallTrace();
    const startedAt = Date.now();
    const respond = (_: unknown, timeoutMs: number) => {
      called.push(trace.lastAddress);
      return new Promise((resolve, reject) => {
        const isLate = trace.lastAddress === ADDRESSES[0] && answerMs > timeoutMs;
        const failure = new ConnectError("the operation timed out", Code.DeadlineExceeded);
        const waitMs = trace.lastAddress === ADDRESSES[0] ? answerMs : 1;
        setTimeout(() => (isLate ? reject(failure) : resolve(1)), Math.min(waitMs, timeoutMs));
      });
    };
    const call = client.call(respond, TOTAL_MS, trace).then(() => {
      answeredAt = Date.now() - startedAt;
    });
    await Promise.all([call, vi.advanceTimersByTimeAsync(TOTAL_MS)]);
    return { called, answeredAt };
  }

  it("calls a slow leader only once and waits for its answer", async () => {
    knownLeader = ADDRESSES[0]!;
    expect(await callSlowLeader(1_300)).toEqual({ called: [knownLeader], answeredAt: 1_300 });
  });

  it("abandons a slow leader when another process becomes the leader", async () => {
    knownLeader = ADDRESSES[0]!;
    setTimeout(() => {
      knownLeader = ADDRESSES[2]!;
    }, 400);
    const outcome = await callSlowLeader(10_000);
    expect(outcome.called).toEqual([ADDRESSES[0], ADDRESSES[2]]);
    expect(outcome.answeredAt).toBeLessThanOrEqual(500);
  });

  it("abandons a slow process within 800 ms if getLeaderAddress does not name it", async () => {
    const outcome = await callSlowLeader(10_000);
    expect(outcome.called).toEqual([ADDRESSES[0], ADDRESSES[1]]);
    expect(outcome.answeredAt).toBeLessThanOrEqual(800);
  });

  describe("concurrent calls", () => {
    /** Numbers of concurrent calls that operators and relays make. */
    const COUNTS = [2, 3, 4, 6, 8];
    /** Time until a process that is not the leader answers. */
    const ANSWER_MS = 3;

    /**
     * Makes concurrent calls.
     * @param failure - Error with which the other processes answer.
     * @param afterMs - Time after which they answer.
     * @returns When each call reached the leader.
     */
    async function callConcurrently(
      count: number,
      failure: ConnectError,
      afterMs: number,
    ): Promise<number[]> {
      const foundAt: number[] = [];
      const fail = () =>
        new Promise<never>((_, reject) => {
          setTimeout(() => reject(failure), afterMs);
        });
      const call = () => {
        const trace = new CallTrace();
        const respond = () => {
          if (trace.lastAddress !== ADDRESSES[2]) return fail();
          foundAt.push(Date.now());
          return Promise.resolve(1);
        };
        return client.call(respond, TOTAL_MS, trace);
      };
      const calls = Promise.allSettled(Array.from({ length: count }, call));
      await Promise.all([calls, vi.advanceTimersByTimeAsync(2 * TOTAL_MS)]);
      return foundAt;
    }

    it.each(COUNTS)("all reach the leader that another process names (%i calls)", async (count) => {
      const foundAt = await callConcurrently(count, createLeaderRefusal(ADDRESSES[2]!), ANSWER_MS);
      expect(foundAt).toHaveLength(count);
      expect(Math.max(...foundAt)).toBeLessThanOrEqual(50);
    });

    it.each(COUNTS)("skip no process while the others time out (%i calls)", async (count) => {
      const TIMEOUT_MS = 300;
      const failure = new ConnectError("no answer in time", Code.DeadlineExceeded);
      const foundAt = await callConcurrently(count, failure, TIMEOUT_MS);
      expect(foundAt).toHaveLength(count);
      expect(Math.max(...foundAt)).toBeLessThanOrEqual(2 * TIMEOUT_MS + 50);
    });
  });

  it("fails on timeout, and immediately on a permanent error", async () => {
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
