import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { PlatformDeclarations } from "../../platform/PlatformDeclarations";
import { PlatformDialect } from "../../platform/PlatformDialect";
import { createDeregistration, readHeartbeat, readStatus } from "../../platform/PlatformReports";
import { InvalidDeclaration, InvalidReport } from "../../src/errors";
import { InstanceReportSchema, PlaceState } from "../../src/gen/ploverstage/v1/fleet_pb";
import { checkReport } from "../../src/registration/checkReport";

const CONFIG = {
  version: 7,
  routes: [
    {
      name: "r-1",
      host: "a.example",
      pathPrefix: "/x/",
      routeType: "streaming",
      timeoutMs: 8_000,
      targetLatencyMs: 300,
      priority: 1,
      trafficSplit: [
        { service: "llm", weight: 90 },
        { service: "app", weight: 10 },
      ],
      maxAttempts: 2,
      allowAnonymous: false,
      sticky: true,
      resumable: true,
      targetGapMs: 250,
    },
    {
      name: "r-2",
      host: "a.example",
      pathPrefix: "/y/",
      routeType: "non_idempotent",
      timeoutMs: 600,
      service: "app",
      maxAttempts: 1,
    },
  ],
  services: [
    {
      name: "llm",
      maxConnections: 314,
      engine: {
        slots: 18,
        models: [{ name: "m", size: 4, share: 1, pace: 1, loadS: 16, warmS: 1.6 }],
        loadsPerS: 4.5,
        loads_at_once: 6,
      },
    },
    { name: "app", maxConnections: 110 },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: "t", apiKeys: ["k"], priority: 1 }],
};
const HEARTBEAT = {
  service: "llm",
  address: "10.0.0.1:80",
  zone: "z",
  slots: 18,
  state: "ready",
  seqNo: 4,
  domain: "d1",
  staged: ["m"],
  group: { name: "g", epoch: 3, rank: 0, state: "open" },
};

function encode(value: unknown): Uint8Array {
  return Buffer.from(typeof value === "string" ? value : JSON.stringify(value));
}

describe("PlatformDeclarations", () => {
  const format = new PlatformDeclarations();

  it("reads routes, services, keys and limits", () => {
    const declaration = format.parse(encode(CONFIG));
    expect(declaration.version).toBe(7);
    expect(declaration.routes[0]).toMatchObject({
      kind: "stream",
      isResumable: true,
      gapObjectiveMs: 250,
      callerTimeoutMs: 2_000,
      split: CONFIG.routes[0]!.trafficSplit,
    });
    expect(declaration.routes[1]).toMatchObject({
      kind: "notRepeatable",
      split: [{ service: "app", weight: 1 }],
    });
    expect(declaration.services[0]?.engine?.models[0]).toMatchObject({
      instancesPerReplica: 4,
      loadMs: 16_000,
      warmMs: 1_600,
    });
    expect(declaration.organisations).toEqual([{ name: "t", keys: ["k"], priority: 1 }]);
  });

  it("ignores unknown fields, and reads no organisations if there are no tenants", () => {
    const { tenants: _, ...rest } = CONFIG;
    expect(format.parse(encode({ ...rest, later: { any: 1 } })).organisations).toBeUndefined();
  });

  it.each([
    ["truncated JSON", encode(JSON.stringify(CONFIG).slice(0, -5))],
    ["not valid UTF-8", Uint8Array.from([0xff, 0xfe, 0x7b])],
    ["without a version", encode({ ...CONFIG, version: undefined })],
    ["of version 0", encode({ ...CONFIG, version: 0 })],
    [
      "with a route of an unknown type",
      encode({ ...CONFIG, routes: [{ ...CONFIG.routes[1], routeType: "any" }] }),
    ],
    [
      "with a route without a service",
      encode({ ...CONFIG, routes: [{ ...CONFIG.routes[1], service: undefined }] }),
    ],
  ])("rejects a configuration that is %s", (_name, document) => {
    expect(() => format.parse(document)).toThrowError(InvalidDeclaration);
  });

  it("accepts any input or throws InvalidDeclaration", () => {
    const anyPatch = fc.dictionary(
      fc.constantFrom("version", "routes", "services", "limits", "tenants"),
      fc.jsonValue(),
    );
    const property = fc.property(
      fc.oneof(
        fc.jsonValue(),
        anyPatch.map((patch) => ({ ...CONFIG, ...patch })),
      ),
      (value) => {
        try {
          expect(format.parse(encode(JSON.stringify(value) ?? "")).version).toBeGreaterThan(0);
        } catch (cause) {
          expect(cause).toBeInstanceOf(InvalidDeclaration);
        }
      },
    );
    fc.assert(property, { seed: 20_261_202, numRuns: 2_000 });
  });
});

describe("readHeartbeat", () => {
  it("reads an instance and its place in a replica", () => {
    expect(readHeartbeat("i-1", JSON.stringify(HEARTBEAT))).toMatchObject({
      instanceId: "i-1",
      sequence: 4,
      fabricDomain: "d1",
      leaving: false,
      stagedModels: ["m"],
      place: { replicaId: "g", epoch: 3, state: PlaceState.OPEN },
    });
    expect(
      readHeartbeat("i-1", JSON.stringify({ ...HEARTBEAT, state: "draining", group: null })).leaving,
    ).toBe(true);
  });

  it("accepts any input or throws InvalidReport", () => {
    const anyPatch = fc.dictionary(fc.constantFrom(...Object.keys(HEARTBEAT)), fc.jsonValue());
    const property = fc.property(
      fc.oneof(
        fc.string(),
        anyPatch.map((patch) => JSON.stringify({ ...HEARTBEAT, ...patch })),
      ),
      (text) => {
        try {
          const report = readHeartbeat("i", text);
          expect(report.instanceId).toBe("i");
          checkReport(report);
          // Every accepted report can be encoded for other processes without a change.
          expect(fromBinary(InstanceReportSchema, toBinary(InstanceReportSchema, report))).toEqual(report);
        } catch (cause) {
          expect(cause).toBeInstanceOf(InvalidReport);
        }
      },
    );
    fc.assert(property, { seed: 20_261_202, numRuns: 5_000 });
  });

  it("rejects invalid values in fields that it does not use", () => {
    const odd = [
      { state: "sleeping" },
      { state: "" },
      { born: "yesterday" },
      { version: 1 },
      { coldRemainingMs: "soon" },
      { stage: 7 },
      { group: { ...HEARTBEAT.group, state: "dancing" } },
      { models: [{ name: "m", version: "1" }] },
    ];
    for (const change of odd) {
      expect(() => readHeartbeat("i", JSON.stringify({ ...HEARTBEAT, ...change }))).toThrow(InvalidReport);
    }
  });

  it("reads the start time from heartbeats, deregistrations and reports", () => {
    const born = 1_786_000_000_123;
    expect(readHeartbeat("i", JSON.stringify({ ...HEARTBEAT, born })).born).toBe(born);
    expect(readHeartbeat("i", JSON.stringify(HEARTBEAT)).born).toBe(0);
    expect(createDeregistration("i", JSON.stringify({ born }))).toMatchObject({ born, deregistered: true });
    expect(createDeregistration("i", "").born).toBe(0);
    expect(readStatus({ seqNo: 1, born })).toEqual({ born, orderCount: 1, place: undefined });
    expect(readStatus({ born: 1.5 })).toBeUndefined();
    expect(readStatus("no report")).toBeUndefined();
  });
});

describe("PlatformDialect", () => {
  const dialect = new PlatformDialect();

  it("forwards neither API keys nor forged system headers to a worker", () => {
    const raw = [
      "Api-Key",
      "k",
      "X-Ploverstage-Tenant",
      "forged",
      "X-Ploverstage-Expect-Instance",
      "i-0",
      "X-Ploverstage-Model",
      "m",
    ];
    const headers = dialect.createHeaders(raw, {
      leftMs: 99.7,
      instanceId: "i-1",
      organisation: "t",
      lastEventId: undefined,
      canMeetObjective: true,
    });
    const text = headers.join("\n").toLowerCase();
    expect(text).not.toContain("api-key");
    expect(text).not.toContain("forged");
    expect(text).not.toContain("i-0");
    expect(text).toContain("x-ploverstage-model\nm");
    expect(text).toContain("x-ploverstage-deadline-ms\n99");
  });

  it.each([
    ["5c1e07a2:800,91bd3f06:410,e4402b7d:250", ["5c1e07a2", "91bd3f06", "e4402b7d"]],
    ["5c1e07a2:800, 5c1e07a2:800, aa:1", ["5c1e07a2", "5c1e07a2", "aa"]],
    ["5c1e07a2:800", ["5c1e07a2"]],
    ["", []],
    ["5c1e07a2:800,xyz:1,aa:2", []],
    ["5c1e07a2:800,,aa:2", []],
    [`${"f".repeat(65)}:1,aa:2`, []],
  ])("reads the parts of a prompt, and none of a list that can't be read: %.40s", (text, parts) => {
    expect(dialect.readCall({ "x-ploverstage-prompt-prefix": text }).promptParts).toEqual(parts);
  });

  it("treats unreadable headers as missing", () => {
    const call = dialect.readCall({
      "x-ploverstage-deadline-ms": "soon",
      "x-ploverstage-token-count": "a,b",
    });
    expect(call).toMatchObject({ waitMs: undefined, promptTokens: 0, answerTokens: 0, model: "" });
  });

  it("accepts a success only with the worker's seal, the request's id and no content encoding", () => {
    const call = dialect.readCall({ "x-ploverstage-request-id": "r" });
    const sealed = { "x-ploverstage-response-seal": "s", "x-ploverstage-request-id": "r" };
    const read = (status: number, headers: object) =>
      dialect.readAnswer(call, { status, headers: { ...headers } });
    expect(read(200, sealed)).toEqual({ matchesRequest: true, wasNotRun: false, isGenuine: true });
    expect(read(200, {}).isGenuine).toBe(false);
    expect(read(200, { ...sealed, "content-encoding": "gzip" }).isGenuine).toBe(false);
    expect(read(200, { ...sealed, "x-ploverstage-request-id": "other" }).matchesRequest).toBe(false);
    expect(read(503, { "x-ploverstage-not-executed": "1" }).wasNotRun).toBe(true);
    expect(read(421, {}).wasNotRun).toBe(true);
    expect(read(500, {}).wasNotRun).toBe(false);
  });
});

describe("the platform folder", () => {
  it("contains all names of the platform's protocol", () => {
    const files = execFileSync("git", ["ls-files", "--", "src", "standin", "bench"], { encoding: "utf8" })
      .trim()
      .split("\n");
    const pattern =
      /x-ploverstage|\/-\/|pathPrefix"|trafficSplit|beatTarget|allowAnonymous|apiKeys|Instances\.Heartbeat|Config\.Put/i;
    const naming = files.filter((file) => pattern.test(readFileSync(file, "utf8")));
    expect(naming).toEqual([]);
  });

  it("has fewer than 700 lines in total", () => {
    const files = execFileSync("git", ["ls-files", "--", "platform"], { encoding: "utf8" })
      .trim()
      .split("\n");
    const lines = files
      .filter((file) => file.endsWith(".ts"))
      .map((file) => readFileSync(file, "utf8").split("\n").length);
    expect(lines.length).toBeGreaterThan(4);
    expect(lines.reduce((sum, count) => sum + count, 0)).toBeLessThan(700);
  });
});
