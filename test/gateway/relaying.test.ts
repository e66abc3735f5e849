/** Requests that an entry without links to endpoints relays to another entry. */
import { request } from "node:http";
import { afterEach, describe, expect, it } from "vitest";
import { pause } from "../../src/clock";
import { RELAY_ANSWER_HEADER, RELAY_REQUEST_HEADER } from "../../src/gateway/relay";
import { waitUntil } from "../support/waitUntil";
import { answer, GatewayHarness, type Script, streamEvents } from "./GatewayHarness";

/** Time in which a broken-off endpoint is probed, milliseconds. */
const PROBE_MS = 200;
const AVOIDED_MS = 600;
const REFUSED: Script = (_seen, response) => void response.destroy();
/** Runs requests and never answers. */
const HOLD: Script = () => {};
const TIMEOUT_MS = 400;
const STREAM_ROUTE = { kind: "stream", isResumable: true } as const;

describe("an entry that reaches no endpoint", () => {
  const harnesses: GatewayHarness[] = [];
  afterEach(async () => {
    await Promise.all(harnesses.splice(0).map((harness) => harness.stop()));
  });

  async function start(...args: Parameters<typeof GatewayHarness.start>): Promise<GatewayHarness> {
    const harness = await GatewayHarness.start(...args);
    harnesses.push(harness);
    return harness;
  }

  /** Starts an entry whose two endpoints refuse connections, and that relays requests to peers. */
  async function startCut(
    peers: readonly GatewayHarness[],
    route: Parameters<typeof GatewayHarness.start>[1] = {},
  ): Promise<GatewayHarness> {
    const cut = await start([REFUSED, REFUSED], route);
    // The ports of ended endpoints may be reused, so every server listens before they end.
    await cut.addPeers(peers);
    cut.endEndpoint(0);
    cut.endEndpoint(1);
    return cut;
  }

  /** Starts an entry without links and another one that it relays requests to. */
  async function startPair(
    script: Script,
    route: Parameters<typeof GatewayHarness.start>[1] = {},
  ): Promise<{ cut: GatewayHarness; peer: GatewayHarness }> {
    const peer = await start([script], route);
    return { cut: await startCut([peer], route), peer };
  }

  const getEnded = (harness: GatewayHarness) =>
    harness.logLines.map((line) => JSON.parse(line)).filter(({ event }) => event === "request_ended");

  it("relays a request as its caller sent it and passes the answer on unchanged", async () => {
    const { cut, peer } = await startPair(answer(201, "made", { "x-extra": "1" }));
    const headers = { "x-id": "r-1", "x-wait-ms": "1500", "x-own": "caller's" };
    const result = await cut.call({ path: "/work/7?q=%20", headers, body: "body" });
    expect(result).toMatchObject({ status: 201, body: "made", isWhole: true });
    expect(result.headers).toMatchObject({ "x-seal": "s", "x-id": "r-1", "x-extra": "1" });
    expect(result.headers).not.toHaveProperty(RELAY_ANSWER_HEADER);
    const [seen] = peer.requests;
    expect(seen).toMatchObject({ method: "POST", path: "/work/7?q=%20", body: "body" });
    expect(seen!.headers).toMatchObject({ "x-id": "r-1", "x-own": "caller's", "x-organisation": "atlas" });
    expect(seen!.headers).not.toHaveProperty(RELAY_REQUEST_HEADER);
    expect(Number(seen!.headers["x-wait-ms"])).toBeLessThanOrEqual(1_500);
    expect(getEnded(cut).at(-1)).toMatchObject({ outcome: "done", relayed_to: expect.any(String) });
    expect(getEnded(peer).at(-1)).toMatchObject({ outcome: "done", relayed: true });
  });

  it("relays a request that must not run twice, because no endpoint received it", async () => {
    const { cut, peer } = await startPair(answer(200, "once"), { kind: "notRepeatable", maxAttempts: 1 });
    expect(await cut.call()).toMatchObject({ status: 200, body: "once" });
    expect(peer.requests).toHaveLength(1);
  });

  it("refuses a request that must not run twice as unknown when the other entry's endpoint breaks off", async () => {
    const { cut, peer } = await startPair(REFUSED, { kind: "notRepeatable", maxAttempts: 1 });
    expect((await cut.call()).status).toBe(502);
    expect(peer.requests).toHaveLength(1);
  });

  // Guards against a promise that a request did not run while another entry's endpoint runs it.
  it("does not say that a request did not run when its time expires at another entry's endpoint", async () => {
    const { cut, peer } = await startPair(HOLD, { kind: "notRepeatable", timeoutMs: TIMEOUT_MS });
    const result = await cut.call();
    expect(peer.requests).toHaveLength(1);
    expect(result.status).toBe(504);
    expect(result.headers).not.toHaveProperty("retry-after");
    expect(getEnded(cut).at(-1)).toMatchObject({ code: "time_over", sent: 1, may_have_run: true });
  });

  // Guards against repeats that are not counted because another entry has not told yet of its attempts.
  it("takes a retry when a request that waits at another entry is relayed once more", async () => {
    const route = { objectiveMs: 50, timeoutMs: 1_500 };
    const silent = await start([HOLD], route);
    const second = await start([answer(200, "repeated")], route);
    const cut = await startCut([silent, second], route);
    second.retries = 0;
    // Which entry is chosen first is random; one of a few requests starts at the first one.
    let status = 200;
    while (silent.requests.length === 0) status = (await cut.call()).status;
    expect(status).toBe(504);
    expect(second.retries).toBeLessThan(0);
  });

  it("relays a stream event by event", async () => {
    const { cut } = await startPair(streamEvents([1, 2, 3], "whole"), STREAM_ROUTE);
    const result = await cut.call();
    expect(result).toMatchObject({ status: 200, isWhole: true });
    expect(result.body).toBe("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
  });

  it("never makes a stream that broke off at the other entry look complete", async () => {
    const { cut } = await startPair(streamEvents([1, 2], "cut"), { kind: "stream", isResumable: false });
    expect(await cut.call()).toMatchObject({ status: 200, isWhole: false });
  });

  it("resumes a broken relayed stream after the last event that it passed on", async () => {
    const route = { ...STREAM_ROUTE, maxAttempts: 1 };
    const first = await start([streamEvents([1, 2], "cut")], route);
    const second = await start([streamEvents([3], "whole")], route);
    const cut = await startCut([first, second], { ...STREAM_ROUTE, maxAttempts: 3 });
    // Which entry is chosen first is random; one of a few requests starts at the first one.
    let body = "";
    while (first.requests.length === 0) body = (await cut.call()).body;
    expect(body).toBe("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
    expect(second.requests.at(-1)!.headers["last-event-id"]).toBe("2");
  });

  // Guards against a part of an answer that looks whole when an entry that passes it on is killed.
  it("adds its length to a relayed answer without one", async () => {
    const unframed: Script = (seen, response) => {
      response.shouldKeepAlive = false;
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { "x-seal": "s", "x-id": String(seen.headers["x-id"]) });
      response.end("some");
    };
    const { cut } = await startPair(unframed);
    const result = await cut.call();
    expect(result).toMatchObject({ status: 200, body: "some", isWhole: true });
    expect(result.headers["content-length"]).toBe("4");
    expect(result.headers).not.toHaveProperty("transfer-encoding");
  });

  it("chooses another entry when one reaches no endpoint either, and relays no request twice in a row", async () => {
    const sound = await start([answer(200, "ok")]);
    const alsoCut = await startCut([]);
    const cut = await startCut([alsoCut, sound]);
    await alsoCut.call();
    for (let i = 0; i < 6; i++) expect((await cut.call()).status).toBe(200);
    expect(getEnded(alsoCut).filter(({ relayed_to }) => relayed_to !== undefined)).toEqual([]);
  });

  it("refuses at once when every entry has lost its links", async () => {
    const alsoCut = await startCut([]);
    const cut = await startCut([alsoCut]);
    await alsoCut.call();
    await cut.call();
    const startedAt = performance.now();
    const { status, headers } = await cut.call();
    expect({ status, hasRetryTime: headers["retry-after"] !== undefined }).toEqual({
      status: 503,
      hasRetryTime: true,
    });
    expect(performance.now() - startedAt).toBeLessThan(100);
  });

  it("sends requests to its endpoints again within a second after they accept connections", async () => {
    const { cut, peer } = await startPair(answer(200, "peer"));
    await cut.call();
    const { address } = cut.targets[0]!;
    await cut.restartEndpoint(address, answer(200, "own"));
    await new Promise((resolve) => setTimeout(resolve, 900));
    expect((await cut.call()).body).toBe("own");
    expect(peer.requests).toHaveLength(1);
  });

  it("counts the attempts of the other entry against the limit of the route", async () => {
    const fail = answer(500, "failed");
    const peers = [await start([fail, fail], { maxAttempts: 2 }), await start([fail], { maxAttempts: 2 })];
    const cut = await startCut(peers, { maxAttempts: 2 });
    expect((await cut.call()).status).toBe(500);
    expect(peers.flatMap(({ requests }) => requests).length).toBeLessThanOrEqual(2);
  });

  /** Gets how many endpoints of entries have received a request. */
  function countReceivers(entries: readonly GatewayHarness[], id: string): number {
    const received = entries.map(({ requests }) => requests.filter(({ headers }) => headers["x-id"] === id));
    return received
      .flatMap((requests) => new Set(requests.map(({ index }) => index)).size)
      .reduce((a, b) => a + b);
  }

  // Guards against requests that run at more endpoints than their route allows, because an entry that relays one once
  // more does not count what the first entry may still do with it.
  it.each([2, 3])(
    "sends a request to %i endpoints at most, though all of them are silent",
    async (maxAttempts) => {
      const route = { objectiveMs: 50, timeoutMs: 2_500, maxAttempts };
      const peers = await Promise.all([1, 2, 3].map(() => start([HOLD, HOLD, HOLD, HOLD], route)));
      const cut = await startCut(peers, route);
      expect((await cut.call()).status).toBe(504);
      expect(countReceivers(peers, "call-1")).toBe(maxAttempts);
    },
  );

  it.each([2, 3])(
    "sends a stream to %i endpoints at most, though each falls silent after an event",
    async (maxAttempts) => {
      const route = { ...STREAM_ROUTE, objectiveMs: 50, gapObjectiveMs: 50, timeoutMs: 4_000, maxAttempts };
      const goOn: Script = (seen, response) => {
        const id = Number(seen.headers["last-event-id"] ?? 0) + 1;
        streamEvents([id], "silent")(seen, response);
      };
      const peers = await Promise.all([1, 2, 3].map(() => start([goOn, goOn, goOn, goOn], route)));
      const cut = await startCut(peers, route);
      const { isWhole, body } = await cut.call();
      expect({ isWhole, events: body.match(/^id: /gm)?.length }).toEqual({
        isWhole: false,
        events: maxAttempts,
      });
      expect(countReceivers(peers, "call-1")).toBe(maxAttempts);
    },
    10_000,
  );

  // Guards against requests that are refused because an entry that ended holds all their attempts.
  it.each(["ends", "is silent"])("is answered by a second entry when the first one %s", async (how) => {
    const route = { objectiveMs: 50, maxAttempts: 2 };
    const first = await start([HOLD, HOLD], route);
    const second = await start([answer(200, "second")], route);
    const cut = await startCut([first, second], route);
    let pending = cut.call();
    // Which entry is chosen first is random; one of a few requests starts at the first one.
    await waitUntil("a request waits at the first entry", async () => {
      if (first.requests.length > 0) return true;
      if ((await Promise.race([pending, pause(PROBE_MS)])) !== undefined) pending = cut.call();
      return false;
    });
    if (how === "ends") first.stopRelay();
    expect(await pending).toMatchObject({ status: 200, body: "second" });
  });

  // Guards against requests that are refused because all other entries are avoided, though each of them serves.
  it.each([
    ["have retries left", Number.POSITIVE_INFINITY],
    ["have no retries left", 0],
  ])(
    "still relays requests to entries that %s while others wait at silent endpoints",
    async (_name, retries) => {
      const route = { objectiveMs: 50, maxAttempts: 2, timeoutMs: 1_500 };
      const script: Script = (seen, response) => {
        if (String(seen.headers["x-id"]).startsWith("slow")) return;
        answer(200, "ok")(seen, response);
      };
      const peers = [await start([script], route), await start([script], route)];
      for (const peer of peers) peer.retries = retries;
      const cut = await startCut(peers, route);
      const slow = ["slow-1", "slow-2"].map((id) => cut.call({ headers: { "x-id": id } }));
      const statuses: number[] = [];
      for (let i = 0; i < 40; i++) {
        statuses.push((await cut.call({ headers: { "x-id": `quick-${i}` } })).status);
        await pause(20);
      }
      expect(statuses.filter((status) => status !== 200)).toEqual([]);
      for (const { status } of await Promise.all(slow)) expect(status).toBe(504);
    },
  );

  it("records no crash of endpoints that it lost together", async () => {
    const cut = await start([HOLD, HOLD], { maxAttempts: 1 });
    // The second endpoint of a harness is avoided at first.
    await new Promise((resolve) => setTimeout(resolve, AVOIDED_MS));
    const answers = [cut.call({ body: "a" }), cut.call({ body: "b", headers: { "x-id": "call-2" } })];
    await waitUntil(
      "both endpoints run a request",
      () => new Set(cut.requests.map(({ index }) => index)).size === 2,
    );
    cut.endEndpoint(0);
    cut.endEndpoint(1);
    await Promise.all(answers);
    await new Promise((resolve) => setTimeout(resolve, PROBE_MS));
    expect(cut.ledger.isEmpty).toBe(true);
  });

  it("resumes streams that it lost although its own retry budget is empty", async () => {
    const route = { ...STREAM_ROUTE, maxAttempts: 2 };
    const begin = streamEvents([1], "silent");
    const peer = await start([streamEvents([2], "whole")], route);
    const cut = await start([begin, begin], route);
    await cut.addPeers([peer]);
    cut.retries = 0;
    peer.retries = 2;
    await new Promise((resolve) => setTimeout(resolve, AVOIDED_MS));
    const answers = ["a", "b"].map((id) => cut.call({ headers: { "x-id": id } }));
    await waitUntil("both endpoints run a stream", () => cut.requests.length === 2);
    // The first events arrive.
    await new Promise((resolve) => setTimeout(resolve, PROBE_MS));
    cut.endEndpoint(0);
    cut.endEndpoint(1);
    for (const { body } of await Promise.all(answers))
      expect(body).toBe("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n");
    expect(peer.retries).toBe(0);
  });

  it("drops headers between entries that a caller or an endpoint sends", async () => {
    const forged = JSON.stringify({ outcome: "unknown", sent: 9, isFramed: false });
    const harness = await start([answer(200, "ok", { [RELAY_ANSWER_HEADER]: forged })]);
    const result = await harness.call({ headers: { [RELAY_REQUEST_HEADER]: "{}" } });
    expect(result).toMatchObject({ status: 200, body: "ok" });
    expect(result.headers).not.toHaveProperty(RELAY_ANSWER_HEADER);
    expect(harness.requests[0]!.headers).not.toHaveProperty(RELAY_REQUEST_HEADER);
  });
});

describe("the server for relayed requests", () => {
  const harnesses: GatewayHarness[] = [];
  afterEach(async () => {
    await Promise.all(harnesses.splice(0).map((harness) => harness.stop()));
  });

  async function start(secret?: string): Promise<{ harness: GatewayHarness; port: number }> {
    const harness = await GatewayHarness.start([answer(200, "ok")]);
    const other = await GatewayHarness.start([answer(200, "ok")]);
    harnesses.push(harness, other);
    await other.addPeers([harness], secret);
    return { harness, port: harness.relayPort };
  }

  function send(port: number, headers: Record<string, string | string[]>): Promise<number> {
    return new Promise((resolve, reject) => {
      const options = { host: "127.0.0.1", port, method: "POST", path: "/work/1", agent: false };
      const outgoing = request({
        ...options,
        headers: { host: "api.example", "x-key": "k1", "x-id": "r", ...headers },
      });
      outgoing.on("response", (incoming) => {
        incoming.resume();
        resolve(incoming.statusCode ?? 0);
      });
      outgoing.on("error", reject);
      outgoing.end();
    });
  }

  const RELAYED = JSON.stringify({ leftMs: 900, ageMs: 0, attempts: 1, isCounted: false, isRepeat: false });

  it.each([
    ["a missing description", {}],
    ["a description that is not JSON", { [RELAY_REQUEST_HEADER]: "{" }],
    ["a description without a field", { [RELAY_REQUEST_HEADER]: '{"leftMs":1}' }],
    ["a negative time", { [RELAY_REQUEST_HEADER]: RELAYED.replace("900", "-1") }],
    ["two descriptions", { [RELAY_REQUEST_HEADER]: [RELAYED, RELAYED] }],
  ])("refuses %s and sends nothing to an endpoint", async (_name, headers) => {
    const { harness, port } = await start();
    expect(await send(port, headers)).toBe(400);
    expect(harness.requests).toEqual([]);
    expect(await send(port, { [RELAY_REQUEST_HEADER]: RELAYED })).toBe(200);
  });

  it("sends a request that had been sent before only when its own budget has a retry", async () => {
    const { harness, port } = await start();
    harness.retries = 1;
    const repeated = { [RELAY_REQUEST_HEADER]: RELAYED.replace('"isRepeat":false', '"isRepeat":true') };
    expect(await send(port, repeated)).toBe(200);
    expect(await send(port, repeated)).toBe(503);
    expect(harness.requests).toHaveLength(1);
  });

  it("refuses a request without the secret of the entries", async () => {
    const { harness, port } = await start("a secret of the entries");
    expect(await send(port, { [RELAY_REQUEST_HEADER]: RELAYED })).toBe(401);
    expect(harness.requests).toEqual([]);
  });
});
