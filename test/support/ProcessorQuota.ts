/**
 * Limits processes to a share of a core by pausing each process that has used up its quota.
 *
 * An idle process accumulates a small credit. A process that has overdrawn its quota is paused until the
 * quota is positive again. The computing power of a process then doesn't depend on the load of the machine,
 * as long as the machine can give the process its share.
 */
import { readFileSync } from "node:fs";
import type { ProcessHandle } from "./ProcessHandle";

const CHECK_MS = 5;
/** Largest credit of an idle process, milliseconds of processor time. */
const BURST_MS = 20;
/** Kernel clock ticks are 10 ms on all common Linux builds. */
const MS_PER_TICK = 10;
const UTIME_FIELD = 11;

/** The remaining quota of one process. */
interface Account {
  readonly handle: ProcessHandle;
  pid: number;
  usedMs: number;
  remainingMs: number;
  isPaused: boolean;
}

/** Processor quotas of a set of processes. */
export class ProcessorQuota {
  private readonly _accounts: readonly Account[];
  private readonly _share: number;
  private _timer: NodeJS.Timeout | undefined;
  private _checkedAt = 0;

  /** @param share - Share of a core, above 0 and up to 1. */
  constructor(handles: readonly ProcessHandle[], share: number) {
    this._accounts = handles.map((handle) => ({
      handle,
      pid: 0,
      usedMs: 0,
      remainingMs: 0,
      isPaused: false,
    }));
    this._share = share;
  }

  /** Starts to enforce the quotas. A restarted process has its quota from its start. */
  start(): void {
    this._checkedAt = performance.now();
    this._timer = setInterval(() => this._check(), CHECK_MS);
  }

  /** Removes the quotas and resumes all processes. */
  stop(): void {
    clearInterval(this._timer);
    for (const { handle } of this._accounts) handle.resume();
  }

  private _check(): void {
    const now = performance.now();
    const addedMs = (now - this._checkedAt) * this._share;
    this._checkedAt = now;
    for (const account of this._accounts) {
      if (account.handle.isRunning) checkAccount(account, addedMs);
    }
  }
}

function checkAccount(account: Account, addedMs: number): void {
  const { handle } = account;
  if (account.pid !== handle.pid)
    Object.assign(account, { pid: handle.pid, usedMs: 0, remainingMs: 0, isPaused: false });
  const usedMs = getUsedMs(account.pid) ?? account.usedMs;
  account.remainingMs = Math.min(BURST_MS, account.remainingMs + addedMs) - (usedMs - account.usedMs);
  account.usedMs = usedMs;
  const isOverdrawn = account.remainingMs < 0;
  if (isOverdrawn === account.isPaused) return;
  account.isPaused = isOverdrawn;
  if (isOverdrawn) handle.pause();
  else handle.resume();
}

/**
 * Gets the processor time of all threads of a process, milliseconds; `undefined` once the process has ended.
 */
function getUsedMs(pid: number): number | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1])) * MS_PER_TICK;
  } catch {
    // The process ended after the check that it was running, so there is nothing to pause.
    return undefined;
  }
}
