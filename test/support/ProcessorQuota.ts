/**
 * Gives processes only a part of a core by what they use, by stopping each that has used up its quota.
 *
 * A process that rests keeps a little for later; one that used more than it had waits until it is made
 * up for. What a process can do doesn't depend on how full the machine is, as long as that gives it its part.
 */
import { readFileSync } from "node:fs";
import type { ProcessHandle } from "./ProcessHandle";

const CHECK_MS = 5;
/** A process that rested may use so much at once, milliseconds of processor time. */
const BURST_MS = 20;
/** Kernel clock ticks are 10 ms wherever Linux runs today. */
const MS_PER_TICK = 10;
const UTIME_FIELD = 11;

/** What a process may use still. */
interface Account {
  readonly handle: ProcessHandle;
  pid: number;
  usedMs: number;
  leftMs: number;
  isFrozen: boolean;
}

/** Quotas of some processes. */
export class ProcessorQuota {
  private readonly _accounts: readonly Account[];
  private readonly _share: number;
  private _timer: NodeJS.Timeout | undefined;
  private _checkedAt = 0;

  /**
   * @param share - Part of a core, above 0 and up to 1.
   */
  constructor(handles: readonly ProcessHandle[], share: number) {
    this._accounts = handles.map((handle) => ({ handle, pid: 0, usedMs: 0, leftMs: 0, isFrozen: false }));
    this._share = share;
  }

  /** Begins; a process that is started again has its quota from its start. */
  start(): void {
    this._checkedAt = performance.now();
    this._timer = setInterval(() => this._check(), CHECK_MS);
  }

  /** Lets all of them run freely again. */
  stop(): void {
    clearInterval(this._timer);
    for (const { handle } of this._accounts) handle.thaw();
  }

  private _check(): void {
    const now = performance.now();
    const givenMs = (now - this._checkedAt) * this._share;
    this._checkedAt = now;
    for (const account of this._accounts) {
      if (account.handle.isRunning) checkAccount(account, givenMs);
    }
  }
}

function checkAccount(account: Account, givenMs: number): void {
  const { handle } = account;
  if (account.pid !== handle.pid)
    Object.assign(account, { pid: handle.pid, usedMs: 0, leftMs: 0, isFrozen: false });
  const usedMs = getUsedMs(account.pid) ?? account.usedMs;
  account.leftMs = Math.min(BURST_MS, account.leftMs + givenMs) - (usedMs - account.usedMs);
  account.usedMs = usedMs;
  const isOver = account.leftMs < 0;
  if (isOver === account.isFrozen) return;
  account.isFrozen = isOver;
  if (isOver) handle.freeze();
  else handle.thaw();
}

/** Gets the processor time of all of a process's threads; `undefined` once it is gone. */
function getUsedMs(pid: number): number | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1])) * MS_PER_TICK;
  } catch {
    // It ended since it was last seen to run; there is nothing to stop.
    return undefined;
  }
}
