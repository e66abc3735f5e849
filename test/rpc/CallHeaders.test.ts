import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { CallHeaders } from "../../src/rpc/CallHeaders";

const NAMES = ["accept", "Accept", "content-type", "Content-Type", "x-a"];

/** Random sequences of operations on headers. */
const steps = fc.array(
  fc.tuple(
    fc.constantFrom("append" as const, "set" as const, "delete" as const),
    fc.constantFrom(...NAMES),
    fc.constantFrom("a", "b", "text/plain"),
  ),
);

function apply(headers: CallHeaders | Headers, taken: readonly (readonly [string, string, string])[]): void {
  for (const [action, name, value] of taken) {
    if (action === "append") headers.append(name, value);
    else if (action === "set") headers.set(name, value);
    else headers.delete(name);
  }
}

function getSorted(headers: Iterable<[string, string]>): [string, string][] {
  return [...headers].sort(([a], [b]) => (a < b ? -1 : 1));
}

describe("CallHeaders", () => {
  it("have the same values as the web platform's headers after any operations", () => {
    fc.assert(
      fc.property(steps, (taken) => {
        const own = new CallHeaders();
        const web = new Headers();
        apply(own, taken);
        apply(web, taken);
        expect(getSorted(own)).toEqual(getSorted(web));
        for (const name of NAMES)
          expect([own.get(name), own.has(name)]).toEqual([web.get(name), web.has(name)]);
      }),
    );
  });

  it("can be created from other headers, from pairs and from objects", () => {
    const pairs: [string, string][] = [
      ["a", "1"],
      ["b", "2"],
    ];
    for (const source of [new CallHeaders(pairs), pairs, { a: "1", b: "2" }, new Headers(pairs)]) {
      expect([...new CallHeaders(source as never)]).toEqual(pairs);
    }
  });

  it("pass each header to a callback", () => {
    const given: string[] = [];
    new CallHeaders({ a: "1" }).forEach((value, name) => {
      given.push(name, value);
    });
    expect(given).toEqual(["a", "1"]);
  });
});
