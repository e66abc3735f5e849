/** Resource usage of processes that a bench started, as counted by the kernel. */
import { readFileSync } from "node:fs";

/** A kernel clock tick is 10 ms on all current Linux systems. */
const MS_PER_TICK = 10;
const UTIME_FIELD = 11;
const BYTES_PER_KB = 1_024;
const BYTES_PER_MB = 1_048_576;

/** Gets the processor time that a process has used, milliseconds. */
export function getCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1])) * MS_PER_TICK;
}

/** Gets the resident memory of a process, megabytes. */
export function getResidentMb(pid: number): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
  return (Number(line?.[1]) * BYTES_PER_KB) / BYTES_PER_MB;
}

/**
 * Measures the processor time that a process uses during an action, and the duration of the action, both in
 * milliseconds.
 */
export async function measureCpu(
  pid: number,
  action: () => Promise<unknown>,
): Promise<{ cpuMs: number; ms: number }> {
  const before = getCpuMs(pid);
  const startedAt = performance.now();
  await action();
  return { cpuMs: getCpuMs(pid) - before, ms: performance.now() - startedAt };
}
