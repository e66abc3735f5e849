/** Measures the processor time of processes over a span, including their restarts. */
import type { ProcessHandle } from "../../test/support/ProcessHandle";
import { getCpuMs } from "./processes";

const INTERVAL_MS = 100;
const MS_PER_S = 1_000;

/** Processor time that a process had used at a Unix time in milliseconds. */
interface Sample {
  readonly at: number;
  readonly pid: number;
  readonly cpuMs: number;
}

/** Samples the processor time of processes every 100 ms. */
export class CpuSampler {
  private readonly _samples: readonly { handle: ProcessHandle; samples: Sample[] }[];
  private _timer: NodeJS.Timeout | undefined;

  constructor(handles: readonly ProcessHandle[]) {
    this._samples = handles.map((handle) => ({ handle, samples: [] }));
  }

  start(): void {
    this._timer = setInterval(() => this._sample(), INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this._timer);
  }

  /**
   * Gets the processor time of each process per second of a span, milliseconds. `from` and `to` are Unix
   * milliseconds.
   */
  getRates(from: number, to: number): number[] {
    return this._samples.map(({ samples }) => {
      const span = samples.filter(({ at }) => at >= from && at <= to);
      const usedMs = span.reduce((sum, sample, i) => sum + getUsedMs(span[i - 1], sample), 0);
      return (usedMs / (to - from)) * MS_PER_S;
    });
  }

  private _sample(): void {
    const at = Date.now();
    for (const { handle, samples } of this._samples) {
      if (!handle.isRunning) continue;
      const { pid } = handle;
      samples.push({ at, pid, cpuMs: getCpuMs(pid) });
    }
  }
}

/**
 * Gets the processor time between two samples, milliseconds. A process that restarted between them has used
 * all of its time since the first.
 */
function getUsedMs(before: Sample | undefined, { pid, cpuMs }: Sample): number {
  if (before === undefined) return 0;
  return before.pid === pid ? cpuMs - before.cpuMs : cpuMs;
}
