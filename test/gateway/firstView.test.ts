/** Requests that arrive before an entry has received its declaration, or the targets of a new service. */
import { request } from "node:http";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { waitUntil } from "../support/waitUntil";
import { answer, GatewayHarness, type ReceivedAnswer, streamEvents } from "./GatewayHarness";

/** A refusal at once; a request that waits does so for longer. */
const MAX_REFUSAL_MS = 200;
const WAIT_MS = 8_000;
/** Longest time that any request waits, with some time for the answer. */
const MAX_HELD_MS = 1_300;
/** For longer than this after its start an entry expects nothing any more. */
const EXPECTED_MS = 2_000;
const MAX_HELD = 256;

describe("a request at an entry that has just started", () => {
  let harness: GatewayHarness;
  beforeEach(async () => {
    harness = await GatewayHarness.start([answer(200, "ok")]);
  });
  afterEach(() => harness.stop());

  function call(waitMs = WAIT_MS): Promise<ReceivedAnswer> {
    return harness.call({ headers: { "x-wait-ms": String(waitMs) } });
  }

  async function measure(call: () => Promise<ReceivedAnswer>): Promise<ReceivedAnswer & { tookMs: number }> {
    const startedAt = performance.now();
    return { ...(await call()), tookMs: performance.now() - startedAt };
  }

  function hold(count: number): Promise<unknown> {
    return waitUntil("the requests wait", () => harness.heldCount === count);
  }

  const WAITS: readonly (readonly [string, () => void, () => void])[] = [
    [
      "no declaration",
      () => {
        harness.hasDeclaration = false;
      },
      () => {
        harness.hasDeclaration = true;
        harness.updateView();
      },
    ],
    ["no targets", () => harness.updateView({ targets: [] }), () => harness.updateView()],
  ];

  // Guards against refusals of requests that can be served some milliseconds later.
  it.each(WAITS)("and has %s yet is served once that has arrived", async (_name, before, after) => {
    before();
    const calls = [call(), call()];
    await hold(2);
    after();
    for (const { status, body } of await Promise.all(calls))
      expect({ status, body }).toEqual({ status: 200, body: "ok" });
    expect(harness.heldCount).toBe(0);
  });

  it.each(WAITS)("and has %s yet is refused as not run when that does not arrive", async (_name, before) => {
    before();
    const { status, headers, tookMs } = await measure(call);
    expect(status).toBe(503);
    expect(Number(headers["retry-after"])).toBeGreaterThan(0);
    expect(tookMs).toBeLessThan(MAX_HELD_MS);
    expect(harness.requests.length).toBe(0);
  });

  it.each(WAITS)("and has %s yet waits for a fraction of its caller's time only", async (_name, before) => {
    before();
    expect((await measure(() => call(300))).tookMs).toBeLessThan(MAX_REFUSAL_MS);
  });

  it("and has an unconfirmed declaration without its route is answered once a leader has confirmed that", async () => {
    harness.isConfirmed = false;
    const pending = harness.call({ headers: { host: "other.example", "x-wait-ms": String(WAIT_MS) } });
    await hold(1);
    harness.isConfirmed = true;
    harness.updateView();
    expect((await pending).status).toBe(404);
  });

  // Guards against requests that wait for what an entry that has been running for some time does not expect.
  it.each(WAITS)("that has %s for longer than it takes is refused at once", async (_name, before) => {
    before();
    harness.suspend(EXPECTED_MS);
    const { status, tookMs } = await measure(call);
    expect(status).toBe(503);
    expect(tookMs).toBeLessThan(MAX_REFUSAL_MS);
  });

  it("that had targets before and has lost them is refused at once", async () => {
    harness.updateView();
    harness.suspend(EXPECTED_MS);
    harness.updateView({ targets: [] });
    const { status, tookMs } = await measure(call);
    expect(status).toBe(503);
    expect(tookMs).toBeLessThan(MAX_REFUSAL_MS);
  });

  it("where too many wait already is refused at once", async () => {
    harness.hasDeclaration = false;
    const calls = Array.from({ length: MAX_HELD }, () => call());
    await hold(MAX_HELD);
    const { status, tookMs } = await measure(call);
    expect(status).toBe(503);
    expect(tookMs).toBeLessThan(MAX_REFUSAL_MS);
    harness.hasDeclaration = true;
    harness.updateView();
    const statuses = (await Promise.all(calls)).map((seen) => seen.status);
    expect(new Set(statuses)).toEqual(new Set([200]));
  });

  it("is refused at once when the entry stops while it waits", async () => {
    harness.hasDeclaration = false;
    const pending = measure(call);
    await hold(1);
    harness.refuseAll();
    const { status, tookMs } = await pending;
    expect(status).toBe(503);
    expect(tookMs).toBeLessThan(MAX_HELD_MS);
  });

  // Guards against requests that are run for callers that have left.
  it("does not run when its caller leaves while it waits", async () => {
    harness.hasDeclaration = false;
    const outgoing = request({
      host: "127.0.0.1",
      port: harness.port,
      headers: { host: "api.example", "x-key": "k1" },
    });
    outgoing.on("error", () => {});
    outgoing.end();
    await hold(1);
    outgoing.destroy();
    await waitUntil("it waits no longer", () => harness.heldCount === 0);
    harness.hasDeclaration = true;
    harness.updateView();
    expect((await call()).status).toBe(200);
    expect(harness.requests.length).toBe(1);
  });

  it("that another entry relayed is refused at once, so that a further entry can be asked", async () => {
    const route = { kind: "stream", maxAttempts: 4 } as const;
    const cut = await GatewayHarness.start([answer(200, "ok"), answer(200, "ok")], route);
    const other = await GatewayHarness.start([streamEvents([1], "whole")], route);
    await cut.addPeers([harness, other]);
    harness.hasDeclaration = false;
    cut.endEndpoint(0);
    cut.endEndpoint(1);
    const answers = await Promise.all([cut.call(), cut.call()]);
    expect(harness.heldCount).toBe(0);
    await Promise.all([cut.stop(), other.stop()]);
    for (const { status } of answers) expect(status).toBe(200);
  });
});
