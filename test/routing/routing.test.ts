import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/consensus";
import {
  type Candidate,
  EndpointHealth,
  EndpointPool,
  getPrefixDigests,
  getSlowness,
  LeastWorkPlacement,
  PrefixTable,
  RetryBudget,
} from "../../src/routing";

const random = new SeededRandom(1);

function createCandidate(replicaId: string, change: Partial<Candidate> = {}): Candidate {
  return {
    replicaId,
    ownRequests: 0,
    ownLimit: 10,
    ownTokens: 0,
    reportedTokens: 0,
    ownTokensAtReport: 0,
    heldTokens: 0,
    slowness: 1,
    ...change,
  };
}

describe("WeighedPlacement", () => {
  describe("choose", () => {
    function doTest(candidates: readonly Candidate[], expected: string | undefined, promptTokens = 100) {
      expect(new LeastWorkPlacement().choose(candidates, promptTokens, random)?.replicaId).toBe(expected);
    }

    it("takes the one with the least work", () =>
      doTest([createCandidate("a", { ownTokens: 50 }), createCandidate("b", { ownTokens: 20 })], "b"));
    it("takes none without room", () => doTest([createCandidate("a", { ownRequests: 10 })], undefined));
    it("counts of a report only what others sent", () =>
      doTest(
        [
          createCandidate("a", { reportedTokens: 500, ownTokensAtReport: 500 }),
          createCandidate("b", { reportedTokens: 100 }),
        ],
        "a",
      ));
    it("takes the holder of a prefix when that saves more than it waits", () =>
      doTest([createCandidate("a", { ownTokens: 60, heldTokens: 90 }), createCandidate("b")], "a"));
    it("leaves the holder when it would wait longer", () =>
      doTest([createCandidate("a", { ownTokens: 200, heldTokens: 90 }), createCandidate("b")], "b"));
    it("avoids a slow one in proportion", () =>
      doTest([createCandidate("a", { slowness: 5 }), createCandidate("b", { ownTokens: 100 })], "b"));

    it("does not send nine entries to the same one on the same stale report", () => {
      const candidates = Array.from({ length: 12 }, (_, i) =>
        createCandidate(`r${i}`, { reportedTokens: i }),
      );
      const chosen = Array.from(
        { length: 9 },
        (_, i) => new LeastWorkPlacement().choose(candidates, 0, new SeededRandom(i))!.replicaId,
      );
      expect(new Set(chosen).size).toBeGreaterThan(3);
    });
  });
});

describe("EndpointHealth", () => {
  function createFailed(failures: number) {
    const health = new EndpointHealth(0, true);
    for (let i = 0; i < failures; i++) health.addFailure(0);
    return health;
  }

  it("opens after three failures in a row", () => {
    expect(createFailed(2).isAvailable(0)).toBe(true);
    expect(createFailed(3).isAvailable(0)).toBe(false);
  });

  it("forgets failures after a success", () => {
    const health = createFailed(2);
    health.addSuccess(10);
    health.addFailure(0);
    expect(health.isAvailable(0)).toBe(true);
  });

  it("lets one trial through once it was open long enough", () => {
    const health = createFailed(3);
    expect(health.isAvailable(1_000)).toBe(true);
    health.addAttempt(1_000);
    expect(health.isAvailable(1_000)).toBe(false);
    health.addSuccess(10);
    expect(health.isAvailable(1_000)).toBe(true);
  });

  it("stays open twice as long after a failed trial", () => {
    const health = createFailed(3);
    health.addAttempt(1_000);
    health.addFailure(1_000);
    expect(health.isAvailable(2_900)).toBe(false);
    expect(health.isAvailable(3_000)).toBe(true);
  });

  it("lets another trial through when one was cancelled", () => {
    const health = createFailed(3);
    health.addAttempt(1_000);
    health.addCancellation(1_100);
    expect(health.isAvailable(1_100)).toBe(true);
  });

  it("gives a new endpoint a growing share", () => {
    const health = new EndpointHealth(0);
    expect(health.getSlowStartShare(0)).toBeCloseTo(0.2);
    expect(health.getSlowStartShare(5_000)).toBeCloseTo(0.6);
    expect(health.getSlowStartShare(60_000)).toBe(1);
  });
});

describe("EndpointPool", () => {
  it("counts work until it ends, once", () => {
    const pool = new EndpointPool();
    const work = pool.startWork(0, "a", 100);
    work.addProgress(10, 30);
    expect(pool.getFacts(10, "a")).toMatchObject({ requests: 1, tokens: 70 });
    work.end(20, "answered");
    work.end(20, "failed");
    expect(pool.getFacts(20, "a")).toMatchObject({ requests: 0, tokens: 0, firstTokenMs: 10 });
  });

  it("remembers its own work at the time of a report", () => {
    const pool = new EndpointPool();
    pool.startWork(0, "a", 100);
    pool.addReport(10, "a", 10);
    pool.startWork(20, "a", 50);
    pool.addReport(30, "a", 10);
    expect(pool.getFacts(30, "a").tokensAtReport).toBe(100);
  });

  it("keeps an endpoint that is gone until its work has ended", () => {
    const pool = new EndpointPool();
    const work = pool.startWork(0, "a", 1);
    pool.retain(new Set());
    expect(pool.getRequestCount()).toBe(1);
    work.end(1, "answered");
    pool.retain(new Set());
    expect(pool.getInFlight()).toEqual([]);
  });
});

describe("getSlowness", () => {
  it("is 1 for one like its peers", () => expect(getSlowness(110, [100, 110, 105])).toBe(1));
  it("grows with the distance from the median", () =>
    expect(getSlowness(1_000, [100, 110, 1_000])).toBeCloseTo(9.09));
  it("is 1 while little is known", () => expect(getSlowness(1_000, [100, 1_000])).toBe(1));
});

describe("RetryBudget", () => {
  it("keeps retries to its ratio of requests, over a reserve", () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let i = 0; i < 1_000; i++) {
      budget.addRequest(0.1);
      while (budget.takeRetry()) retries += 1;
    }
    expect(retries).toBeGreaterThanOrEqual(100);
    expect(retries).toBeLessThanOrEqual(104);
  });
});

describe("PrefixTable", () => {
  const prompt = "x".repeat(1_000);

  it("finds the longest held prefix", () => {
    const table = new PrefixTable(100);
    table.addPrefixes("a", getPrefixDigests("s", prompt.slice(0, 520)));
    expect(table.getCachedCharacters("a", getPrefixDigests("s", prompt))).toBe(512);
    expect(table.getCachedCharacters("b", getPrefixDigests("s", prompt))).toBe(0);
  });

  it("keeps scopes apart", () => {
    const table = new PrefixTable(100);
    table.addPrefixes("a", getPrefixDigests("one", prompt));
    expect(table.getCachedCharacters("a", getPrefixDigests("other", prompt))).toBe(0);
  });

  it("forgets the longest unused ones first", () => {
    const table = new PrefixTable(3);
    const [first, second] = [getPrefixDigests("1", prompt), getPrefixDigests("2", prompt)];
    table.addPrefixes("a", first);
    table.addPrefixes("a", second);
    expect(table.getCachedCharacters("a", first)).toBe(0);
    expect(table.getCachedCharacters("a", second)).toBe(768);
  });

  it("gives a short prompt no digests", () => expect(getPrefixDigests("s", "short")).toEqual([]));
});
