import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { getFreeAddresses } from "../support/ports";

const STARTS = 5;
/**
 * Medians of five starts were 252 ms of processor time until the entry listened from the bundle and 107 ms
 * from the snapshot.
 */
const MAX_SHARE_OF_BUNDLE = 0.75;
/** The same options as in the deploy file. */
const OPTIONS = ["--max-old-space-size=200", "--min-semi-space-size=4", "--single-threaded-gc"];
const SNAPSHOT = [...OPTIONS, "--snapshot-blob", "dist/test/platform.blob", "ploverstage"];
const BUNDLE = [...OPTIONS, "dist/test/platform.cjs"];

describe("start from the heap snapshot", () => {
  const folder = mkdtempSync(join(tmpdir(), "startup-"));
  const settings = join(folder, "entry.toml");
  beforeAll(async () => {
    const [listen, seed] = await getFreeAddresses(2);
    const lines = [
      "[process]",
      'name = "entry"',
      'failure_domain = "a"',
      "[gateway]",
      `listen = "${listen}"`,
      `seeds = ["${seed}"]`,
      "stop_s = 1",
      "retry_ratio = 0.2",
      "retry_extra = 10",
      "retry_window_s = 10",
    ];
    writeFileSync(settings, lines.join("\n"));
  });
  afterAll(() => rmSync(folder, { recursive: true, force: true }));

  /** Gets the processor time that an entry reports as used until it listened, milliseconds. */
  async function measureStart(program: readonly string[]): Promise<number> {
    const child = spawn(process.execPath, [...program, "entry", settings], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    try {
      for await (const line of createInterface({ input: child.stdout })) {
        const { event, cpu_ms: cpuMs } = JSON.parse(line) as { event: string; cpu_ms: number };
        if (event === "gateway_started") return cpuMs;
      }
      throw new Error("the entry ended before it listened");
    } finally {
      child.kill("SIGKILL");
    }
  }

  async function measureMedian(program: readonly string[]): Promise<number> {
    const measured: number[] = [];
    for (let i = 0; i < STARTS; i++) measured.push(await measureStart(program));
    return measured.sort((a, b) => a - b)[Math.floor(STARTS / 2)]!;
  }

  it("uses much less processor time than a start from the bundle", async () => {
    const bundleMs = await measureMedian(BUNDLE);
    const heapMs = await measureMedian(SNAPSHOT);
    console.info(JSON.stringify({ bundleMs, heapMs }));
    expect(heapMs).toBeLessThan(bundleMs * MAX_SHARE_OF_BUNDLE);
  });
});
