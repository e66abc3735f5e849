import { randomUUID } from "node:crypto";
import type { Socket } from "node:net";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { EngineStandin } from "../../standin/EngineStandin";
import { sendRawAnswer } from "../../standin/rawAnswer";
import { Cluster } from "../support/Cluster";
import { callEntry, createChat, type EntryRequest, parseStream } from "../support/callEntry";
import { createConfiguration } from "../support/configuration";
import { resetUnread } from "../support/resetUnread";
import { waitUntil } from "../support/waitUntil";

const NOT_REPEATABLE = { "ploverstage-repeatable": "no" };

/**
 * The endpoints count their runs and fail in every way. The outcome that the caller receives must match the
 * runs.
 */
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
    cluster.services[0]!.answerWith = undefined;
  });

  function call(request: EntryRequest, entry = 0) {
    return callEntry(cluster.entryAddresses[entry]!, request);
  }

  function setFaults(faults: EngineStandin["faults"]) {
    for (const engine of cluster.engines) Object.assign(engine.faults, faults);
  }

  function countRuns(): number {
    return cluster.engines.reduce((sum, engine) => sum + engine.ran.length, 0);
  }

  /** Waits until no circuit breaker is open, so that one test doesn't affect the next. */
  async function waitUntilRouting() {
    for (const address of cluster.entryAddresses) {
      await waitUntil("the entry routes requests again", async () => {
        const answer = await callEntry(address, { body: createChat("again", { maxTokens: 1 }) });
        return answer.status === 200;
      });
    }
  }

  async function expectRefusal(
    request: EntryRequest,
    status: number,
    code: string,
    outcome: string,
    runs: number,
  ) {
    await waitUntilRouting();
    const before = countRuns();
    const answer = await call(request);
    expect(JSON.parse(answer.text).error).toMatchObject({ code, outcome });
    expect(answer.status).toBe(status);
    expect(answer.headers["ploverstage-outcome"]).toBe(outcome);
    expect(countRuns() - before).toBe(runs);
  }

  async function expectCompleteAnswer(request: EntryRequest, prompt: string) {
    const answer = await call(request);
    const expected = {
      content: EngineStandin.getAnswer(`user: ${prompt}`, 8),
      hasEndMarker: true,
      error: undefined,
    };
    expect(parseStream(answer.text)).toEqual(expected);
  }

  describe("a repeatable request", () => {
    it("is done although the first endpoint refuses", async () => {
      await waitUntilRouting();
      cluster.engines[0]!.faults.refusalStatus = 503;
      for (let i = 0; i < 4; i++)
        await expectCompleteAnswer({ body: createChat("refused", { maxTokens: 8 }) }, "refused");
    });

    it("is done although the first endpoint loses the answer", async () => {
      await waitUntilRouting();
      cluster.engines[0]!.faults.dropsAnswers = true;
      for (let i = 0; i < 4; i++)
        await expectCompleteAnswer({ body: createChat("lost", { maxTokens: 8 }) }, "lost");
    });

    it("is not-run when every endpoint refuses", async () => {
      setFaults({ refusalStatus: 503 });
      await expectUnavailable({ body: createChat("a") }, "not-run", 0);
    });

    it("is unknown instead of not-run when an earlier attempt may have run", async () => {
      await waitUntilRouting();
      setFaults({ dropsAnswers: true });
      const answer = await call({ body: createChat("a") });
      expect(JSON.parse(answer.text).error.outcome).toBe("unknown");
    });

    async function expectUnavailable(request: EntryRequest, outcome: string, runs: number) {
      const before = countRuns();
      const answer = await call(request);
      expect(answer.status).toBe(503);
      expect(answer.headers["ploverstage-outcome"]).toBe(outcome);
      expect(countRuns() - before).toBe(runs);
    }
  });

  describe("a stream", () => {
    it("continues at its offset after a cut", async () => {
      await waitUntilRouting();
      setFaults({ cutAfter: 3 });
      await expectCompleteAnswer({ body: createChat("cut", { maxTokens: 8 }) }, "cut");
    });

    it("drops duplicate frames", async () => {
      await waitUntilRouting();
      setFaults({ duplicatesFrames: true });
      await expectCompleteAnswer({ body: createChat("double", { maxTokens: 8 }) }, "double");
    });

    it("ends without an end marker when the engine can't resume it", async () => {
      await waitUntilRouting();
      setFaults({ cutAfter: 3, dropsRuns: true });
      const answer = await call({ body: createChat("broken", { maxTokens: 8 }) });
      const stream = parseStream(answer.text);
      expect(stream).toMatchObject({ hasEndMarker: false });
      expect(answer.isComplete).toBe(false);
      expect(EngineStandin.getAnswer("user: broken", 8).startsWith(stream.content)).toBe(true);
    });

    it("contains no frame of another request", async () => {
      await waitUntilRouting();
      setFaults({ foreignFrameAt: 2 });
      const answer = await call({ body: createChat("mine", { maxTokens: 8 }) });
      const stream = parseStream(answer.text);
      expect(stream.content).toBe(EngineStandin.getAnswer("user: mine", 2));
      expect(stream).toMatchObject({ hasEndMarker: false, error: "answer_foreign" });
      expect(answer.isComplete).toBe(false);
    });

    it("is cancelled at the engine when the caller disconnects", async () => {
      await waitUntilRouting();
      const controller = new AbortController();
      const answer = await fetch(`http://${cluster.entryAddresses[0]}/v1/chat/completions`, {
        method: "POST",
        headers: { "ploverstage-organisation": "alpha" },
        body: createChat("leaving", { maxTokens: 50 }),
        signal: controller.signal,
      });
      const id = answer.headers.get("ploverstage-request-id")!;
      controller.abort();
      await waitUntil("the engine receives the cancellation", () =>
        cluster.engines.some((engine) => engine.cancelled.includes(id)),
      );
    });
  });

  describe("a non-repeatable request", () => {
    it("has an unknown outcome when the answer is lost, and runs only once", async () => {
      await waitUntilRouting();
      setFaults({ dropsAnswers: true });
      await expectUnknownOnce({ body: createChat("once"), headers: NOT_REPEATABLE });
    });

    it("is done although the first endpoint refuses, and runs once", async () => {
      await waitUntilRouting();
      cluster.engines[0]!.faults.refusalStatus = 503;
      const before = countRuns();
      await expectCompleteAnswer(
        { body: createChat("once", { maxTokens: 8 }), headers: NOT_REPEATABLE },
        "once",
      );
      expect(countRuns() - before).toBe(1);
    });

    async function expectUnknownOnce(request: EntryRequest) {
      const before = countRuns();
      const answer = await call(request);
      expect(answer.headers["ploverstage-outcome"]).toBe("unknown");
      expect(countRuns() - before).toBe(1);
    }
  });

  describe("a resend with the same key", () => {
    async function expectDuplicateRefusal(
      first: string,
      request: EntryRequest,
      code: string,
      outcome: string,
    ) {
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

    function createNonRepeatable(content: string, key = randomUUID()): EntryRequest {
      return { body: createChat(content), headers: { ...NOT_REPEATABLE, "idempotency-key": key } };
    }

    it("is done at another entry after the first request was answered", async () => {
      await waitUntilRouting();
      await expectDuplicateRefusal("done", createNonRepeatable("issue"), "claim_done", "done");
    });

    it("has an unknown outcome when the first request may have run", async () => {
      await waitUntilRouting();
      setFaults({ dropsAnswers: true });
      await expectDuplicateRefusal("unknown", createNonRepeatable("issue"), "claim_unknown", "unknown");
    });

    it("is done when the first request did not run", async () => {
      await waitUntilRouting();
      setFaults({ refusalStatus: 503 });
      const request = createNonRepeatable("again");
      expect((await call(request)).headers["ploverstage-outcome"]).toBe("not-run");
      setFaults({ refusalStatus: undefined });
      await waitUntil("the claim is released", async () => (await call(request, 1)).status === 200);
    });

    it("is not-run when the key belongs to another request", async () => {
      await waitUntilRouting();
      const key = randomUUID();
      await call(createNonRepeatable("first", key));
      const answer = await call(createNonRepeatable("second", key), 1);
      expect(answer.status).toBe(422);
      expect(JSON.parse(answer.text).error).toMatchObject({ code: "key_reused", outcome: "not-run" });
    });

    it("is done for exactly one of many concurrent requests at both entries", async () => {
      await waitUntilRouting();
      const before = countRuns();
      const request = createNonRepeatable("race");
      const answers = await Promise.all(Array.from({ length: 12 }, (_, i) => call(request, i % 2)));
      expect(answers.filter((answer) => answer.status === 200)).toHaveLength(1);
      expect(countRuns() - before).toBe(1);
    });
  });

  describe("a service call", () => {
    function countServiceCalls() {
      return cluster.services[0]!.ran.length;
    }

    it("has an unknown outcome when the answer to a write is lost, and runs only once", async () => {
      cluster.services[0]!.dropsAnswers = true;
      const before = countServiceCalls();
      const answer = await call({ path: "/v1/services/guichet/members", body: "x" });
      expect(answer.headers["ploverstage-outcome"]).toBe("unknown");
      expect(countServiceCalls() - before).toBe(1);
    });

    it("runs once if the declaration marks the path as not repeatable, whatever the caller declares", async () => {
      await waitUntil("the service answers", async () => {
        const answer = await call({ method: "GET", path: "/v1/services/guichet/x" });
        return answer.status === 200;
      });
      cluster.services[0]!.dropsAnswers = true;
      const before = countServiceCalls();
      const headers = { "ploverstage-repeatable": "yes" };
      await call({ path: "/v1/services/guichet/issue", body: "x", headers });
      expect(countServiceCalls() - before).toBe(1);
    });

    it("ends as an incomplete response when the answer breaks off", async () => {
      await waitUntil("the service answers", async () => {
        const answer = await call({ method: "GET", path: "/v1/services/guichet/x" });
        return answer.status === 200;
      });
      cluster.services[0]!.truncatesAnswers = true;
      const answer = await call({ path: "/v1/services/guichet/members", body: "x" });
      expect(answer.isComplete).toBe(false);
    });
  });

  describe("a service call whose answer is broken", () => {
    async function callBroken(answerBroken: (socket: Socket) => void) {
      await waitUntil("the service answers", async () => {
        const answer = await call({ method: "GET", path: "/v1/services/guichet/x" });
        return answer.status === 200;
      });
      cluster.services[0]!.answerWith = answerBroken;
      return call({ path: "/v1/services/guichet/members", body: "x" });
    }

    // Guards against a part of a body that callers get as a complete answer.
    it("is incomplete when the connection is reset together with a part of a body without a length", async () => {
      const text = `HTTP/1.1 200 OK\r\n\r\n${"p".repeat(1_000)}`;
      const answer = await callBroken((socket) => void resetUnread(cluster.entries[0]!, socket, text));
      expect(answer.isComplete).toBe(false);
    });

    it.each([
      ["the status 000", "000 OK\r\ncontent-length: 2"],
      ["the status 101", "101 OK\r\ncontent-length: 2"],
      ["the status 600", "600 OK\r\ncontent-length: 2"],
      ["the transfer coding xchunked", "200 OK\r\ntransfer-encoding: xchunked"],
    ])("has an unknown outcome with %s", async (_name, head) => {
      const text = `HTTP/1.1 ${head}\r\n\r\nok`;
      const answer = await callBroken((socket) => sendRawAnswer(socket, { text, end: "inOrder" }));
      expect(answer.status).toBe(502);
      expect(answer.headers["ploverstage-outcome"]).toBe("unknown");
    });
  });

  describe("a deadline", () => {
    const body = createChat("slow", { maxTokens: 50 });
    // A separate request class, so that the short answers of other tests don't affect its estimates.
    const relaxed = { "ploverstage-kind": "balance" };
    const urgent = { ...relaxed, "ploverstage-deadline-ms": "20" };

    it("refuses at once a request that can't be answered in time", async () => {
      // After several runs the entry can estimate the time for 50 tokens.
      for (let i = 0; i < 8; i++) await call({ body, headers: relaxed });
      await expectRefusal({ body, headers: urgent }, 429, "deadline_infeasible", "not-run", 0);
    });

    it("reports in the refusal when to retry", async () => {
      const answer = await call({ body, headers: urgent });
      expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
      expect(JSON.parse(answer.text).error.retry_after_ms).toBeGreaterThan(0);
    });
  });
});
