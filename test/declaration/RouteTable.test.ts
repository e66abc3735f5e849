import { afterEach, describe, expect, it, vi } from "vitest";
import { type Declaration, type Route, RouteTable } from "../../src/declaration";

/** Number of routes in the largest declarations. */
const ROUTES = 1_650;

function createRoute(i: number): Route {
  return {
    name: `r-${i}`,
    host: "api.example",
    // Prefixes of many lengths, unsorted.
    pathPrefix: `/${"x".repeat((i * 7_919) % 97)}/${i}/`,
    kind: "repeatable",
    isResumable: false,
    timeoutMs: 1_000,
    objectiveMs: 100,
    gapObjectiveMs: undefined,
    priority: 0,
    split: [{ service: "app", weight: 1 }],
    maxAttempts: 1,
    allowsAnonymous: true,
  };
}

describe("RouteTable", () => {
  afterEach(() => vi.restoreAllMocks());

  it("sorts the routes of a host only once, so that a large declaration does not block the process", () => {
    const sort = vi.spyOn(Array.prototype, "sort");
    const routes = Array.from({ length: ROUTES }, (_, i) => createRoute(i));
    const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 };
    const declaration: Declaration = { version: 1, routes, services: [], organisations: undefined, limits };
    const table = new RouteTable(declaration);
    expect(sort).toHaveBeenCalledTimes(1);
    for (const route of routes) expect(table.getRoute("api.example", `${route.pathPrefix}q`)).toBe(route);
  });
});
