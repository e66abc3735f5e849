import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { EngineStandin } from "../../standin/EngineStandin";
import { Cluster } from "../support/Cluster";
import { callEntry, createChat, type EntryRequest, parseStream } from "../support/callEntry";
import { createConfiguration } from "../support/configuration";

describe("requests through real processes", () => {
  let cluster: Cluster;

  beforeAll(async () => {
    cluster = await Cluster.start({ services: 1 });
    await cluster.apply(createConfiguration({ limits: "body_bytes = 2000\nmax_tokens = 50" }));
    await cluster.waitForRouting(1);
  });
  afterAll(() => cluster.stop());

  function call(request: EntryRequest) {
    return callEntry(cluster.entryAddresses[0]!, request);
  }

  function getRunCount() {
    return (
      cluster.engines.reduce((sum, engine) => sum + engine.ran.length, 0) + cluster.services[0]!.ran.length
    );
  }

  it("streams a complete answer and names the replica", async () => {
    const answer = await call({ body: createChat("statement of member 7", { maxTokens: 6 }) });
    const stream = parseStream(answer.text);
    expect(stream).toEqual({
      content: EngineStandin.getAnswer("user: statement of member 7", 6),
      hasEndMarker: true,
      error: undefined,
    });
    expect(answer.headers["ploverstage-replica"]).toMatch(/^g-\d+$/);
  });

  it("answers in one body without streaming", async () => {
    const answer = await call({ body: createChat("hello", { stream: false }) });
    const body = JSON.parse(answer.text);
    expect(body.choices[0].message.content).toBe(EngineStandin.getAnswer("user: hello", 5));
    expect(body.usage.completion_tokens).toBe(5);
    expect(answer.headers["ploverstage-outcome"]).toBe("done");
  });

  it("answers a text completion", async () => {
    const body = JSON.stringify({ model: "m/fine", prompt: "once", max_tokens: 3 });
    const answer = await call({ path: "/v1/completions", body });
    expect(JSON.parse(answer.text).choices[0].text).toBe(EngineStandin.getAnswer("once", 3));
  });

  it("forwards a service call with body and query", async () => {
    const answer = await call({ path: "/v1/services/guichet/members?id=7", body: "payload" });
    expect(JSON.parse(answer.text)).toMatchObject({ method: "POST", path: "/members?id=7", body: "payload" });
    expect(answer.headers["ploverstage-outcome"]).toBe("done");
  });

  it("returns the addresses of all entries and their TTL", async () => {
    const answer = await call({ method: "GET", path: "/v1/addresses" });
    const body = JSON.parse(answer.text);
    expect(body.addresses.map((entry: { address: string }) => entry.address).sort()).toEqual(
      [...cluster.entryAddresses].sort(),
    );
    expect(body.ttl_ms).toBe(300);
  });

  describe("bad input", () => {
    async function expectRefusal(request: EntryRequest, status: number, code: string) {
      const before = getRunCount();
      const answer = await call(request);
      expect(answer.status).toBe(status);
      expect(JSON.parse(answer.text).error).toMatchObject({ code, outcome: "not-run" });
      expect(getRunCount()).toBe(before);
    }

    it("refuses a body that is not JSON", () => expectRefusal({ body: "{" }, 400, "malformed_request"));
    it("refuses a body without messages", () =>
      expectRefusal({ body: '{"model":"m"}' }, 400, "malformed_request"));
    it("refuses too many tokens", () =>
      expectRefusal({ body: createChat("a", { maxTokens: 51 }) }, 400, "malformed_request"));
    it("refuses an invalid deadline", () =>
      expectRefusal(
        { body: createChat("a"), headers: { "ploverstage-deadline-ms": "soon" } },
        400,
        "malformed_request",
      ));
    it("refuses a body that is too long", () =>
      expectRefusal({ body: createChat("a".repeat(3_000)) }, 413, "body_too_large"));
    it("refuses an unknown organisation", () =>
      expectRefusal(
        { body: createChat("a"), headers: { "ploverstage-organisation": "gamma" } },
        403,
        "unknown_organisation",
      ));
    it("refuses an unknown model", () =>
      expectRefusal(
        { body: JSON.stringify({ model: "x", messages: [{ role: "user", content: "a" }] }) },
        404,
        "unknown_model",
      ));
    it("refuses an unknown adapter", () =>
      expectRefusal(
        { body: JSON.stringify({ model: "m/x", messages: [{ role: "user", content: "a" }] }) },
        404,
        "unknown_model",
      ));
    it("refuses an unknown service", () =>
      expectRefusal({ path: "/v1/services/nothing/", body: "" }, 404, "unknown_service"));
    it("refuses an unknown path", () => expectRefusal({ path: "/v2/anything", body: "" }, 404, "not_found"));
    it("refuses an unsupported method", () =>
      expectRefusal({ method: "PUT", body: "" }, 405, "method_not_allowed"));
    it("refuses paths of control processes", () =>
      expectRefusal({ path: "/ploverstage.v1.OperatorService/Status", body: "" }, 404, "not_found"));
  });
});
