/** Queues that decide in which order a process executes its work and which work it refuses or drops. */

/** Kinds of work, for ordering and for usage counts. */
export type WorkKind =
  | "agreement"
  | "answer"
  | "declaration"
  | "read"
  | "watch"
  | "update"
  | "relay"
  | "report"
  | "plan";

/** Work for one process. */
export interface Work {
  readonly kind: WorkKind;
  /** Gets the processor time in milliseconds. Called when the work starts, because a refusal costs less. */
  readonly getCostMs: () => number;
  /** Checks whether the caller still waits. */
  readonly isWanted: () => boolean;
  readonly run: () => void;
  /** Notifies the caller that the process does not execute the work. */
  readonly refuse: () => void;
}

/** Queues work until the processor takes it. */
export interface WorkQueue {
  /**
   * Adds work. Returns the work that the queue refuses: the work itself, or queued work that it displaced.
   */
  add(work: Work): readonly Work[];
  /** Removes the next work from the queue; `undefined` if there is none. */
  take(): Work | undefined;
  /** Removes all work, because the process has ended. */
  clear(): void;
}

/** Returns work in the order of arrival and never drops any, even if its caller no longer waits. */
export class FifoQueue implements WorkQueue {
  private _queue: Work[] = [];
  private _next = 0;

  add(work: Work): readonly Work[] {
    this._queue.push(work);
    return [];
  }

  take(): Work | undefined {
    const work = this._queue[this._next];
    if (work === undefined) {
      this.clear();
      return undefined;
    }
    this._next += 1;
    return work;
  }

  clear(): void {
    this._queue = [];
    this._next = 0;
  }
}

/** Kinds of work with the same priority, and the maximum number of them in the queue. */
export interface WorkClass {
  readonly kinds: readonly WorkKind[];
  readonly limit: number;
}

/**
 * The classes by descending priority. Callers that wait too long abandon their calls, so these limits suffice
 * for all callers at size 5.
 */
const WORK_CLASSES: readonly WorkClass[] = [
  { kinds: ["agreement", "answer"], limit: 1_000 },
  { kinds: ["declaration", "read"], limit: 50 },
  { kinds: ["plan", "relay"], limit: 50 },
  { kinds: ["watch", "update"], limit: 1_000 },
  { kinds: ["report"], limit: 2_000 },
];

/**
 * Returns work of higher priority first, drops work whose caller no longer waits, and limits the queue length
 * of each class.
 */
export class PriorityQueue implements WorkQueue {
  private readonly _classes: readonly WorkClass[];
  private readonly _queues: Work[][];

  constructor(classes = WORK_CLASSES) {
    this._classes = classes;
    this._queues = classes.map(() => []);
  }

  add(work: Work): readonly Work[] {
    const index = this._classes.findIndex(({ kinds }) => kinds.includes(work.kind));
    const queue = this._queues[index]!;
    if (queue.length >= this._classes[index]!.limit) return [work];
    queue.push(work);
    return [];
  }

  take(): Work | undefined {
    for (const queue of this._queues) {
      for (;;) {
        const work = queue.shift();
        if (work === undefined) break;
        if (work.isWanted()) return work;
      }
    }
    return undefined;
  }

  clear(): void {
    for (const queue of this._queues) queue.length = 0;
  }
}
