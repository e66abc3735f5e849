import { describe, expect, it } from "vitest";
import { checkDeclaration, type Declaration, type Route, RouteTable } from "../../src/declaration";
import { InvalidDeclaration } from "../../src/errors";

const route: Route = {
  name: "drafts",
  host: "api.example",
  pathPrefix: "/drafts/",
  kind: "stream",
  isResumable: true,
  timeoutMs: 8_000,
  objectiveMs: 300,
  gapObjectiveMs: 300,
  priority: 1,
  split: [{ service: "model", weight: 1 }],
  maxAttempts: 2,
  allowsAnonymous: false,
};

function createDeclaration(changes: Partial<Declaration> = {}): Declaration {
  return {
    version: 1,
    routes: [route],
    services: [{ name: "model", maxConnections: 10, engine: undefined }],
    organisations: [{ name: "atlas", keys: ["k1", "k2"], priority: 0 }],
    limits: { headerBytes: 16_384, bodyBytes: 1_000, headerMs: 3_000, idleMs: 15_000 },
    ...changes,
  };
}

describe("checkDeclaration", () => {
  function expectRefused(changes: Partial<Declaration>, path: string) {
    expect(() => checkDeclaration(createDeclaration(changes))).toThrowError(InvalidDeclaration);
    try {
      checkDeclaration(createDeclaration(changes));
    } catch (cause) {
      expect((cause as InvalidDeclaration).path).toBe(path);
    }
  }

  it("accepts a valid declaration", () => {
    expect(checkDeclaration(createDeclaration()).version).toBe(1);
  });

  it("rejects a route to an unknown service", () => {
    expectRefused(
      { routes: [{ ...route, split: [{ service: "other", weight: 1 }] }] },
      "routes.drafts.split",
    );
  });

  it("rejects two routes with the same prefix and host, regardless of the case and port of the host", () => {
    expectRefused({ routes: [route, { ...route, name: "again", host: "API.example" }] }, "routes.again");
    expectRefused({ routes: [route, { ...route, name: "again", host: "api.example:80" }] }, "routes.again");
  });

  it("rejects weights with a sum of 0, and a timeout of 0", () => {
    expectRefused(
      { routes: [{ ...route, split: [{ service: "model", weight: 0 }] }] },
      "routes.drafts.split",
    );
    expectRefused({ routes: [{ ...route, timeoutMs: 0 }] }, "routes.drafts.timeoutMs");
  });

  // Guards against an invalid declaration that is acknowledged and comes into force.
  it("rejects a key that two organisations of the same name share", () => {
    const organisation = { name: "atlas", keys: ["k"], priority: 0 };
    expectRefused({ organisations: [organisation, { ...organisation }] }, "organisations.atlas");
  });

  it("rejects a key that two organisations share", () => {
    const organisations = [
      { name: "atlas", keys: ["k1"], priority: 0 },
      { name: "dasol", keys: ["k1"], priority: 0 },
    ];
    expectRefused({ organisations }, "organisations.dasol");
  });
});

describe("RouteTable", () => {
  const table = new RouteTable(
    createDeclaration({ routes: [route, { ...route, name: "letters", pathPrefix: "/drafts/letters/" }] }),
  );

  it("finds the longest prefix, regardless of query, port and case of the host", () => {
    expect(table.getRoute("api.example", "/drafts/letters/1?x=/drafts/")?.name).toBe("letters");
    expect(table.getRoute("API.example:80", "/drafts/1")?.name).toBe("drafts");
  });

  it("returns undefined for an unknown host or path", () => {
    expect(table.getRoute("other.example", "/drafts/1")).toBeUndefined();
    expect(table.getRoute("api.example", "/drafts")).toBeUndefined();
    expect(table.getRoute("api.example", "/?/drafts/")).toBeUndefined();
  });

  it("finds an organisation by each of its keys", () => {
    expect(table.getOrganisation("k2")?.name).toBe("atlas");
    expect(table.getOrganisation("k3")).toBeUndefined();
  });
});
