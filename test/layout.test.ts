/** How the source tree hangs together. */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { describe, expect, it } from "vitest";

/** Files that each file imports. */
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

/** Gets a path from a file back to itself, if there is one. */
function findCircle(imports: Imports, start: string): string[] | undefined {
  const seen = new Set<string>();
  const visit = (file: string, path: readonly string[]): string[] | undefined => {
    for (const next of imports.get(file) ?? []) {
      if (next === start) return [...path, next];
      if (seen.has(next)) continue;
      seen.add(next);
      const circle = visit(next, [...path, next]);
      if (circle !== undefined) return circle;
    }
    return undefined;
  };
  return visit(start, [start]);
}

describe("the source tree", () => {
  it("has no import circle between files", () => {
    const imports = readImports();
    expect(imports.size).toBeGreaterThan(100);
    const circles = [...imports.keys()].flatMap((file) => {
      const circle = findCircle(imports, file);
      return circle === undefined ? [] : [circle.join(" > ")];
    });
    expect(circles).toEqual([]);
  });

  it("finds a circle where there is one", () => {
    const imports: Imports = new Map([
      ["a", ["b"]],
      ["b", ["c", "d"]],
      ["c", []],
      ["d", ["a"]],
    ]);
    expect(findCircle(imports, "a")).toEqual(["a", "b", "d", "a"]);
    expect(findCircle(imports, "c")).toBeUndefined();
  });
});
