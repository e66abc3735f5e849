import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";

function getMatches(text: string, pattern: RegExp): string[] {
  return [...text.matchAll(pattern)].map((match) => match[1]!).sort();
}

describe("docs", () => {
  it("list exactly the metrics of the source", () => {
    const source = readFileSync("src/metrics/Metrics.ts", "utf8");
    const names = getMatches(source.slice(0, source.indexOf("/** Tags")), /^ {2}\| "([a-z_]+)"/gm);
    expect(names.length).toBeGreaterThan(10);
    expect(
      getMatches(readFileSync("docs/METRICS.md", "utf8").split("Logs are")[0]!, /^\| `([a-z_]+)` \|/gm),
    ).toEqual(names);
  });

  it("list every log event", () => {
    const files = execFileSync("git", ["ls-files", "src"], { encoding: "utf8" }).trim().split("\n");
    const sources = files.filter((file) => file.endsWith(".ts")).map((file) => readFileSync(file, "utf8"));
    const events = new Set(sources.flatMap((source) => getMatches(source, /event: "([a-z_]+)"/g)));
    const page = readFileSync("docs/METRICS.md", "utf8");
    expect(events.size).toBeGreaterThan(10);
    expect([...events].filter((event) => !page.includes(`\`${event}\``))).toEqual([]);
  });

  it("give in CAPACITY.md the results computed from the measured figures", () => {
    execFileSync(process.execPath, ["scripts/capacityPage.mjs", "--check"], { stdio: "pipe" });
  });
});
