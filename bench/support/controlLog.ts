/** Reads the logs of control processes. */
import { readFileSync } from "node:fs";
import type { ProcessHandle } from "../../test/support/ProcessHandle";

/** Line of a control process's log. Fields that only some events have are optional. */
export interface LogLine {
  readonly event: string;
  readonly time: string;
  readonly replica?: string;
  readonly phase?: string;
  readonly lag_ms?: number;
  readonly term?: number;
  /** Number of refused calls of each kind. */
  readonly watch?: number;
  readonly relay?: number;
  readonly instance?: number;
  readonly declaration?: number;
}

/** Reads the lines that the processes logged since a Unix time in milliseconds, sorted by time. */
export function readControlLogs(controls: readonly ProcessHandle[], since: number): LogLine[] {
  return controls
    .flatMap(readLog)
    .filter((line) => Date.parse(line.time) >= since)
    .sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
}

/** Gets the start times of leaderships, Unix milliseconds. */
export function getLeadershipStarts(lines: readonly LogLine[]): number[] {
  return lines.filter(({ event }) => event === "leadership_began").map(({ time }) => Date.parse(time));
}

/** Gets the longest time in which a process ran no timer, milliseconds. Returns 0 if no stall was logged. */
export function getWorstStallMs(lines: readonly LogLine[]): number {
  const stalls = lines.filter(({ event }) => event === "process_stalled").map((line) => line.lag_ms ?? 0);
  return Math.max(0, ...stalls);
}

function readLog(control: ProcessHandle): LogLine[] {
  return readFileSync(control.logFile, "utf8")
    .split("\n")
    .filter((line) => line.startsWith("{"))
    .map((line) => JSON.parse(line) as LogLine);
}
