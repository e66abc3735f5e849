import { describe, expect, it } from "vitest";
import { type Declaration, type Route, RouteTable } from "../../src/declaration";
import { getOrganisation, isAllowedAlike } from "../../src/gateway/permissions";
import { BASE_ROUTE } from "./GatewayHarness";

const OPEN: Route = { ...BASE_ROUTE, name: "open", pathPrefix: "/open/", allowsAnonymous: true };
const CLOSED: Route = { ...OPEN, name: "closed", pathPrefix: "/closed/", allowsAnonymous: false };
const ATLAS = { name: "atlas", keys: ["k1"], priority: 0 };

function createTable(changes: Partial<Declaration> = {}): RouteTable {
  return new RouteTable({
    version: 1,
    routes: [OPEN, CLOSED],
    services: [{ name: "service", maxConnections: 10, engine: undefined }],
    organisations: [ATLAS],
    limits: { headerBytes: 16_384, bodyBytes: 100_000, headerMs: 300, idleMs: 15_000 },
    ...changes,
  });
}

describe("getOrganisation", () => {
  // Guards against requests that run with a key that was taken away.
  it.each([
    ["a held key", OPEN, "k1", ATLAS],
    ["a held key", CLOSED, "k1", ATLAS],
    ["a key that is not held", OPEN, "k2", "unknown"],
    ["a key that is not held", CLOSED, "k2", "unknown"],
    ["no key", OPEN, undefined, undefined],
    ["no key", CLOSED, undefined, "unknown"],
    ["an empty key", OPEN, "", undefined],
    ["an empty key", CLOSED, "", "unknown"],
  ] as const)("decides on %s: %#", (_name, route, key, organisation) => {
    expect(getOrganisation(createTable(), route, key)).toEqual(organisation);
  });

  it("ignores keys where the declaration has no organisations", () => {
    const table = createTable({ organisations: undefined });
    for (const route of [OPEN, CLOSED]) expect(getOrganisation(table, route, "k2")).toBeUndefined();
  });
});

describe("isAllowedAlike", () => {
  const request = { headers: { host: "api.example" }, url: "/open/x" };
  const anonymous = { route: OPEN, organisation: undefined };

  it("allows a request without a key under a declaration with other keys", () => {
    const other = createTable({ version: 2, organisations: [{ ...ATLAS, keys: ["k2"] }] });
    expect(isAllowedAlike(other, request, undefined, anonymous)).toBe(true);
  });

  it("allows no request whose key the other declaration does not hold", () => {
    const other = createTable({ version: 2, organisations: [{ ...ATLAS, keys: ["k2"] }] });
    expect(isAllowedAlike(other, request, "k1", { route: OPEN, organisation: ATLAS })).toBe(false);
  });

  it("allows no request whose key begins to be needed", () => {
    const held = createTable({ organisations: undefined });
    const organisation = getOrganisation(held, OPEN, "k2");
    expect(organisation).toBeUndefined();
    expect(isAllowedAlike(createTable({ version: 2 }), request, "k2", anonymous)).toBe(false);
  });
});
