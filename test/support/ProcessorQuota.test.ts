import { readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, it } from "vitest";
import { ProcessHandle } from "./ProcessHandle";
import { ProcessorQuota } from "./ProcessorQuota";

const SHARE = 0.2;
const MEASURE_MS = 3_000;
const MS_PER_TICK = 10;

it("a busy process uses its quota of a core and not more", async () => {
  const handle = new ProcessHandle("busy", ["-e", "for (;;);"], join(tmpdir(), "processor-quota.log"));
  const quota = new ProcessorQuota([handle], SHARE);
  handle.start();
  quota.start();
  try {
    await new Promise((resolve) => setTimeout(resolve, MEASURE_MS));
    const fields = readFileSync(`/proc/${handle.pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    const usedMs = (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
    expect(usedMs / MEASURE_MS).toBeLessThan(SHARE * 1.1);
    expect(usedMs / MEASURE_MS).toBeGreaterThan(SHARE * 0.8);
  } finally {
    quota.stop();
    await handle.kill();
  }
});
