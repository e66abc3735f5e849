/** What callers are told of requests that end without an answer, by what may have run. */
import { afterEach, describe, expect, it } from "vitest";
import { answer, GatewayHarness, type Script, streamEvents } from "./GatewayHarness";

const TIMEOUT_MS = 400;
const KINDS = ["notRepeatable", "repeatable", "stream"] as const;
/** How long a request that is blocked meanwhile has been running, milliseconds. */
const RUN_MS = 150;

/** Endpoints that leave a request without a complete answer, and whether they ran it. */
const SCRIPTS: readonly (readonly [string, Script, boolean])[] = [
  ["runs it and never answers", () => {}, true],
  ["breaks off before an answer", (_seen, response) => void response.destroy(), true],
  ["answers that it did not run", answer(503, "full", { "x-not-run": "1" }), false],
];

describe("the refusal of a request without an answer", () => {
  const harnesses: GatewayHarness[] = [];
  afterEach(async () => {
    await Promise.all(harnesses.splice(0).map((harness) => harness.stop()));
  });

  async function start(...args: Parameters<typeof GatewayHarness.start>): Promise<GatewayHarness> {
    const harness = await GatewayHarness.start(...args);
    harnesses.push(harness);
    return harness;
  }

  /** Starts an entry that sends requests to an endpoint itself, or through another entry. */
  async function startEntry(
    script: Script,
    path: "itself" | "through another entry",
    route: Parameters<typeof GatewayHarness.start>[1],
  ): Promise<{ entry: GatewayHarness; runner: GatewayHarness }> {
    const runner = await start([script], route);
    if (path === "itself") return { entry: runner, runner };
    const entry = await start([script, script], route);
    await entry.addPeers([runner]);
    entry.endEndpoint(0);
    entry.endEndpoint(1);
    return { entry, runner };
  }

  const CASES = (["itself", "through another entry"] as const).flatMap((path) =>
    KINDS.flatMap((kind) => SCRIPTS.map(([name, script, ran]) => ({ path, kind, name, script, ran }))),
  );

  // Guards against 503 for a request that an endpoint runs or has run, on each path.
  it.each(CASES)(
    "sent $path to an endpoint that $name promises that a $kind request did not run only if it did not",
    async ({ path, kind, script, ran }) => {
      const route = { kind, isResumable: false, timeoutMs: TIMEOUT_MS, maxAttempts: 2 };
      const { entry, runner } = await startEntry(script, path, route);
      const { status, headers } = await entry.call();
      expect(runner.requests.length).toBeGreaterThan(0);
      expect({ isPromise: status === 503, hasRetryTime: headers["retry-after"] !== undefined }).toEqual({
        isPromise: !ran,
        hasRetryTime: !ran,
      });
    },
  );

  it.each(KINDS)("that is blocked while it runs does not say that a %s request did not run", async (kind) => {
    const entry = await start([() => {}], { kind, timeoutMs: TIMEOUT_MS });
    const body = "crashes";
    const pending = entry.call({ body });
    await new Promise((resolve) => setTimeout(resolve, RUN_MS));
    const path = "/work/1?x=2";
    entry.confirmCause({ organisation: "atlas", method: "POST", path, body: Buffer.from(body) });
    expect((await pending).status).toBe(502);
  });

  it("that expires at an endpoint which answered that it did not run says so", async () => {
    const refuseLate: Script = (seen, response) =>
      void setTimeout(() => answer(503, "full", { "x-not-run": "1" })(seen, response), RUN_MS);
    const entry = await start([refuseLate], { kind: "notRepeatable", timeoutMs: TIMEOUT_MS });
    expect((await entry.call()).status).toBe(503);
  });

  it("that broke off after its first event is cut and not refused", async () => {
    const route = { kind: "stream" as const, isResumable: false, timeoutMs: TIMEOUT_MS };
    const { entry } = await startEntry(streamEvents([1], "silent"), "through another entry", route);
    expect(await entry.call()).toMatchObject({ status: 200, isWhole: false });
  });
});
