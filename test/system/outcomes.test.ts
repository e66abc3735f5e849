import { randomUUID } from "node:crypto";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { EngineStandin } from "../../standin/EngineStandin";
import { Cluster } from "../support/Cluster";
import { type CallerCall, callEntry, createChat, readStream } from "../support/callEntry";
import { createConfiguration } from "../support/configuration";
import { waitUntil } from "../support/waitUntil";

const ONCE = { "ploverstage-repeatable": "no" };

/** Endpoints that count what they ran, and go wrong in every way: what the caller is told must be true. */
describe("outcomes", () => {
  let cluster: Cluster;

  beforeAll(async () => {
    cluster = await Cluster.start({ engines: 2, services: 1, entries: 2, engine: { tokenMs: 2 } });
    await cluster.apply(createConfiguration({ replicas: 2, size: 1, limits: "retry_ratio = 1.0" }));
    await cluster.waitForRouting(2);
  });
  afterAll(() => cluster.stop());
  afterEach(() => {
    for (const engine of cluster.engines) {
      for (const fault of Object.keys(engine.faults))
        delete engine.faults[fault as keyof typeof engine.faults];
    }
    cluster.services[0]!.dropsAnswers = false;
    cluster.services[0]!.truncatesAnswers = false;
  });

  function call(request: CallerCall, entry = 0) {
    return callEntry(cluster.entryAddresses[entry]!, request);
  }

  function setFaults(faults: EngineStandin["faults"]) {
    for (const engine of cluster.engines) Object.assign(engine.faults, faults);
  }

  function countRuns(): number {
    return cluster.engines.reduce((sum, engine) => sum + engine.ran.length, 0);
  }

  /** Waits until no breaker is open any more, so that one case does not colour the next. */
  async function waitUntilOpen() {
    for (const address of cluster.entryAddresses) {
      await waitUntil("the entry routes again", async () => {
        const answer = await callEntry(address, { body: createChat("again", { maxTokens: 1 }) });
        return answer.status === 200;
      });
    }
  }

  async function expectRefusal(
    request: CallerCall,
    status: number,
    code: string,
    outcome: string,
    runs: number,
  ) {
    await waitUntilOpen();
    const before = countRuns();
    const answer = await call(request);
    expect(JSON.parse(answer.text).error).toMatchObject({ code, outcome });
    expect(answer.status).toBe(status);
    expect(answer.headers["ploverstage-outcome"]).toBe(outcome);
    expect(countRuns() - before).toBe(runs);
  }

  async function expectWhole(request: CallerCall, prompt: string) {
    const answer = await call(request);
    const expected = {
      content: EngineStandin.getAnswer(`user: ${prompt}`, 8),
      isWhole: true,
      error: undefined,
    };
    expect(readStream(answer.text)).toEqual(expected);
  }

  describe("of a repeatable request", () => {
    it("is done although the first endpoint refused", async () => {
      await waitUntilOpen();
      cluster.engines[0]!.faults.refusesWith = 503;
      for (let i = 0; i < 4; i++)
        await expectWhole({ body: createChat("refused", { maxTokens: 8 }) }, "refused");
    });

    it("is done although the first endpoint lost the answer", async () => {
      await waitUntilOpen();
      cluster.engines[0]!.faults.losesAnswers = true;
      for (let i = 0; i < 4; i++) await expectWhole({ body: createChat("lost", { maxTokens: 8 }) }, "lost");
    });

    it("is not-run when every endpoint refuses", async () => {
      setFaults({ refusesWith: 503 });
      await expectRefusalAfterOpening({ body: createChat("a") }, "not-run", 0);
    });

    it("is unknown, not not-run, when an earlier attempt may have run", async () => {
      await waitUntilOpen();
      setFaults({ losesAnswers: true });
      const answer = await call({ body: createChat("a") });
      expect(JSON.parse(answer.text).error.outcome).toBe("unknown");
    });

    async function expectRefusalAfterOpening(request: CallerCall, outcome: string, runs: number) {
      const before = countRuns();
      const answer = await call(request);
      expect(answer.status).toBe(503);
      expect(answer.headers["ploverstage-outcome"]).toBe(outcome);
      expect(countRuns() - before).toBe(runs);
    }
  });

  describe("of a stream", () => {
    it("goes on at its offset after a cut", async () => {
      await waitUntilOpen();
      setFaults({ cutAfter: 3 });
      await expectWhole({ body: createChat("cut", { maxTokens: 8 }) }, "cut");
    });

    it("drops doubled frames", async () => {
      await waitUntilOpen();
      setFaults({ doubles: true });
      await expectWhole({ body: createChat("double", { maxTokens: 8 }) }, "double");
    });

    it("ends visibly broken when the engine can't resume it", async () => {
      await waitUntilOpen();
      setFaults({ cutAfter: 3, forgets: true });
      const answer = await call({ body: createChat("broken", { maxTokens: 8 }) });
      const stream = readStream(answer.text);
      expect(stream).toMatchObject({ isWhole: false });
      expect(answer.isComplete).toBe(false);
      expect(EngineStandin.getAnswer("user: broken", 8).startsWith(stream.content)).toBe(true);
    });

    it("shows nothing of another request's frame", async () => {
      await waitUntilOpen();
      setFaults({ foreignAt: 2 });
      const answer = await call({ body: createChat("mine", { maxTokens: 8 }) });
      const stream = readStream(answer.text);
      expect(stream.content).toBe(EngineStandin.getAnswer("user: mine", 2));
      expect(stream).toMatchObject({ isWhole: false, error: "answer_foreign" });
      expect(answer.isComplete).toBe(false);
    });

    it("is cancelled at the engine when the caller leaves", async () => {
      await waitUntilOpen();
      const controller = new AbortController();
      const answer = await fetch(`http://${cluster.entryAddresses[0]}/v1/chat/completions`, {
        method: "POST",
        headers: { "ploverstage-organisation": "alpha" },
        body: createChat("leaving", { maxTokens: 50 }),
        signal: controller.signal,
      });
      const id = answer.headers.get("ploverstage-request-id")!;
      controller.abort();
      await waitUntil("the cancellation", () =>
        cluster.engines.some((engine) => engine.cancelled.includes(id)),
      );
    });
  });

  describe("of a request that may not be repeated", () => {
    it("is unknown when the answer was lost, and ran once", async () => {
      await waitUntilOpen();
      setFaults({ losesAnswers: true });
      await expectUnknownOnce({ body: createChat("once"), headers: ONCE });
    });

    it("is done although the first endpoint refused, and ran once", async () => {
      await waitUntilOpen();
      cluster.engines[0]!.faults.refusesWith = 503;
      const before = countRuns();
      await expectWhole({ body: createChat("once", { maxTokens: 8 }), headers: ONCE }, "once");
      expect(countRuns() - before).toBe(1);
    });

    async function expectUnknownOnce(request: CallerCall) {
      const before = countRuns();
      const answer = await call(request);
      expect(answer.headers["ploverstage-outcome"]).toBe("unknown");
      expect(countRuns() - before).toBe(1);
    }
  });

  describe("of a resend with the same key", () => {
    async function expectDuplicate(first: string, request: CallerCall, code: string, outcome: string) {
      const answers = [await call(request, 0)];
      expect(answers[0]!.headers["ploverstage-outcome"] ?? "done").toBe(first);
      const before = countRuns();
      const resend = await waitUntil("the first outcome is recorded", async () => {
        const answer = await call(request, 1);
        return JSON.parse(answer.text).error?.code !== "claim_running" && answer;
      });
      expect(JSON.parse(resend.text).error).toMatchObject({ code, outcome });
      expect(resend.status).toBe(409);
      expect(countRuns()).toBe(before);
    }

    function createOnce(content: string, key = randomUUID()): CallerCall {
      return { body: createChat(content), headers: { ...ONCE, "idempotency-key": key } };
    }

    it("tells at another entry that the first one was answered", async () => {
      await waitUntilOpen();
      await expectDuplicate("done", createOnce("issue"), "claim_done", "done");
    });

    it("tells that whether the first one ran is unknown", async () => {
      await waitUntilOpen();
      setFaults({ losesAnswers: true });
      await expectDuplicate("unknown", createOnce("issue"), "claim_unknown", "unknown");
    });

    it("runs a request whose first attempt was not run", async () => {
      await waitUntilOpen();
      setFaults({ refusesWith: 503 });
      const request = createOnce("again");
      expect((await call(request)).headers["ploverstage-outcome"]).toBe("not-run");
      setFaults({ refusesWith: undefined });
      await waitUntil("the claim is given back", async () => (await call(request, 1)).status === 200);
    });

    it("refuses a key that was used for another request", async () => {
      await waitUntilOpen();
      const key = randomUUID();
      await call(createOnce("first", key));
      const answer = await call(createOnce("second", key), 1);
      expect(answer.status).toBe(422);
      expect(JSON.parse(answer.text).error).toMatchObject({ code: "key_reused", outcome: "not-run" });
    });

    it("runs one of many that arrive at once at both entries", async () => {
      await waitUntilOpen();
      const before = countRuns();
      const request = createOnce("race");
      const answers = await Promise.all(Array.from({ length: 12 }, (_, i) => call(request, i % 2)));
      expect(answers.filter((answer) => answer.status === 200)).toHaveLength(1);
      expect(countRuns() - before).toBe(1);
    });
  });

  describe("of a service call", () => {
    function countCalls() {
      return cluster.services[0]!.ran.length;
    }

    it("is unknown when the answer to a write was lost, and ran once", async () => {
      cluster.services[0]!.dropsAnswers = true;
      const before = countCalls();
      const answer = await call({ path: "/v1/services/guichet/members", body: "x" });
      expect(answer.headers["ploverstage-outcome"]).toBe("unknown");
      expect(countCalls() - before).toBe(1);
    });

    it("runs once where the declaration says so, whatever the caller says", async () => {
      await waitUntil("the service is open", async () => {
        const answer = await call({ method: "GET", path: "/v1/services/guichet/x" });
        return answer.status === 200;
      });
      cluster.services[0]!.dropsAnswers = true;
      const before = countCalls();
      const headers = { "ploverstage-repeatable": "yes" };
      await call({ path: "/v1/services/guichet/issue", body: "x", headers });
      expect(countCalls() - before).toBe(1);
    });

    it("is cut, not ended, when the answer breaks off", async () => {
      await waitUntil("the service is open", async () => {
        const answer = await call({ method: "GET", path: "/v1/services/guichet/x" });
        return answer.status === 200;
      });
      cluster.services[0]!.truncatesAnswers = true;
      const answer = await call({ path: "/v1/services/guichet/members", body: "x" });
      expect(answer.isComplete).toBe(false);
    });
  });

  describe("of a deadline", () => {
    const body = createChat("slow", { maxTokens: 50 });
    // A class of its own, so that the other cases' short answers don't count.
    const patient = { "ploverstage-kind": "balance" };
    const hurried = { ...patient, "ploverstage-deadline-ms": "20" };

    it("refuses at once what can't be answered in time", async () => {
      // Seen often enough, the time that 50 tokens take is known.
      for (let i = 0; i < 8; i++) await call({ body, headers: patient });
      await expectRefusal({ body, headers: hurried }, 429, "deadline_infeasible", "not-run", 0);
    });

    it("says when to come back", async () => {
      const answer = await call({ body, headers: hurried });
      expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
      expect(JSON.parse(answer.text).error.retry_after_ms).toBeGreaterThan(0);
    });
  });
});
