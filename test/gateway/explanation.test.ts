/**
 * Checks that the cause of a failed request can be found from its id, using only the entry's log and metrics.
 */
import { afterEach, describe, expect, it } from "vitest";
import type { FailedAttempt } from "../../src/gateway/Attempt";
import { waitUntil } from "../support/waitUntil";
import { answer, GatewayHarness, type Script, streamEvents, streamThenStall } from "./GatewayHarness";

/** Log line of an ended request. */
interface EndedRequest {
  readonly event: string;
  readonly request: string;
  readonly declaration: number;
  readonly outcome: string;
  readonly code: string;
  readonly failures: readonly FailedAttempt[];
  readonly longestGapMs: number;
  readonly digest: string;
}

const GAP_OBJECTIVE_MS = 50;
const notRun: Script = (seen, response) => answer(503, "", { "x-not-run": "1" })(seen, response);

describe("the log and metrics explain a request", () => {
  let harness: GatewayHarness;
  afterEach(() => harness.stop());

  /** Sends a request with the given id and reads its log line. */
  async function callAndExplain(id: string, body = "hello"): Promise<EndedRequest> {
    await harness.call({ headers: { "x-id": id }, body });
    const lines = await waitUntil("the request's end is logged", () => {
      const found = harness.logLines.filter((line) => line.includes(`"request":"${id}"`));
      return found.length > 0 ? found : undefined;
    });
    expect(lines.length).toBe(1);
    return JSON.parse(lines[0]!) as EndedRequest;
  }

  function countRequests(outcome: string, code: string): Promise<boolean> {
    const pattern = new RegExp(
      `gateway_requests_total\\{[^}]*outcome="${outcome}"[^}]*code="${code}"[^}]*\\} 1$`,
      "m",
    );
    return harness.metrics.getText().then((text) => pattern.test(text));
  }

  it("that was refused: which endpoints refused it, and why", async () => {
    harness = await GatewayHarness.start([notRun, notRun], { kind: "notRepeatable" });
    const ended = await callAndExplain("refused-1");
    expect(ended).toMatchObject({ event: "request_ended", outcome: "refused", code: "endpoint_refused" });
    expect(ended.declaration).toBe(1);
    const reasons = ended.failures.map(({ reason, wasNotRun }) => ({ reason, wasNotRun }));
    expect(reasons).toEqual(
      Array(2).fill({ reason: "endpoint refused the request with 503", wasNotRun: true }),
    );
    expect(new Set(ended.failures.map((failure) => failure.target)).size).toBe(2);
    expect(await countRequests("refused", "endpoint_refused")).toBe(true);
  });

  it("that was interrupted: which side ended it, how the attempt failed, and why it was not resumed", async () => {
    harness = await GatewayHarness.start([streamEvents([1, 2], "cut"), streamEvents([3], "whole")], {
      kind: "stream",
    });
    const ended = await callAndExplain("cut-1");
    expect(ended).toMatchObject({ outcome: "cut", code: "endpoint_broke_off" });
    expect(ended).toMatchObject({ not_repeated: "runsOnce" });
    expect(ended.failures.length).toBe(1);
    expect(ended.failures[0]).toMatchObject({ wasNotRun: false, wasLeft: false });
    expect(ended.failures[0]!.reason).toMatch(/^stream broke off: /);
    expect(await countRequests("cut", "endpoint_broke_off")).toBe(true);
  });

  it.each([
    ["a whole stream", "stream", "whole", { framing: "chunks", closes: true, ended_by: "lastChunk" }],
    ["a broken stream", "stream", "cut", { framing: "chunks", closes: true, ended_by: "missingChunk" }],
    ["a plain answer", "repeatable", "whole", { framing: "length", closes: true, ended_by: "length" }],
  ] as const)("that was answered: how its answer ended: %s", async (name, kind, end, expected) => {
    harness = await GatewayHarness.start([streamEvents([1, 2], end)], { kind });
    expect(await callAndExplain(name)).toMatchObject(expected);
  });

  it("that fails repeatedly: which calls were the same request, and whether an answer had started", async () => {
    const cut = streamEvents([], "cut");
    harness = await GatewayHarness.start([cut, streamEvents([1], "cut")], {
      kind: "stream",
      isResumable: true,
    });
    const [first, again, other] = [
      await callAndExplain("try-1", "the same"),
      await callAndExplain("try-2", "the same"),
      await callAndExplain("try-3", "another"),
    ];
    expect(first.digest).toMatch(/^[\w-]{22}$/);
    expect(again.digest).toBe(first.digest);
    expect(other.digest).not.toBe(first.digest);
    const [unanswered, answered] = first.failures;
    expect(unanswered).not.toHaveProperty("answeredForMs");
    expect(answered!.answeredForMs).toBeGreaterThanOrEqual(0);
  });

  it("that was late: how long the entry waited for the stalled endpoint", async () => {
    harness = await GatewayHarness.start([streamThenStall([1, 2, 3], 20), streamEvents([4], "whole")], {
      kind: "stream",
      isResumable: true,
      gapObjectiveMs: GAP_OBJECTIVE_MS,
    });
    const ended = await callAndExplain("late-1");
    expect(ended).toMatchObject({ outcome: "done", code: "" });
    expect(ended.longestGapMs).toBeGreaterThan(GAP_OBJECTIVE_MS);
    const [stalled] = ended.failures;
    expect(stalled!.reason).toMatch(/^stream broke off: no data received for \d+ ms$/);
    expect(stalled!.tookMs).toBeGreaterThanOrEqual(GAP_OBJECTIVE_MS);
    expect(await harness.metrics.getText()).toMatch(/gateway_gap_ms_count\{[^}]*\} 1$/m);
    expect(await countRequests("done", "")).toBe(true);
  });
});
