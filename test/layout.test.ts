/** Checks the import structure of the source tree. */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { describe, expect, it } from "vitest";

/** Imported files by importing file. */
type Imports = ReadonlyMap<string, readonly string[]>;

function readImports(): Imports {
  const names = readdirSync("src", { recursive: true }) as string[];
  const files = new Set(names.filter((name) => name.endsWith(".ts")).map((name) => join("src", name)));
  const resolve = (file: string, path: string) => {
    const base = normalize(join(dirname(file), path));
    return [`${base}.ts`, join(base, "index.ts")].find((candidate) => files.has(candidate));
  };
  return new Map(
    [...files].map((file) => {
      const paths = [...readFileSync(file, "utf8").matchAll(/from "(\.[^"]+)"/g)].map((match) => match[1]!);
      return [file, paths.flatMap((path) => resolve(file, path) ?? [])];
    }),
  );
}

/** Gets an import path from a file back to itself; `undefined` if there is none. */
function findCycle(imports: Imports, start: string): string[] | undefined {
  const seen = new Set<string>();
  const visit = (file: string, path: readonly string[]): string[] | undefined => {
    for (const next of imports.get(file) ?? []) {
      if (next === start) return [...path, next];
      if (seen.has(next)) continue;
      seen.add(next);
      const cycle = visit(next, [...path, next]);
      if (cycle !== undefined) return cycle;
    }
    return undefined;
  };
  return visit(start, [start]);
}

describe("source tree", () => {
  it("has no import cycles", () => {
    const imports = readImports();
    expect(imports.size).toBeGreaterThan(100);
    const cycles = [...imports.keys()].flatMap((file) => {
      const cycle = findCycle(imports, file);
      return cycle === undefined ? [] : [cycle.join(" > ")];
    });
    expect(cycles).toEqual([]);
  });

  it("detects an import cycle", () => {
    const imports: Imports = new Map([
      ["a", ["b"]],
      ["b", ["c", "d"]],
      ["c", []],
      ["d", ["a"]],
    ]);
    expect(findCycle(imports, "a")).toEqual(["a", "b", "d", "a"]);
    expect(findCycle(imports, "c")).toBeUndefined();
  });
});
