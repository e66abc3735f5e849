/** In which order a process does what it is asked for, and what it does not begin. */

/** Kinds of work, for the order in which it is done and for counting. */
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

/** Something to be done by one process. */
export interface Work {
  readonly kind: WorkKind;
  /** Processor time, milliseconds; asked for when it is begun, since a refusal costs less. */
  readonly getCostMs: () => number;
  /** Checks whether whoever asked still waits. */
  readonly isWanted: () => boolean;
  readonly run: () => void;
  /** Tells whoever asked that it is not done. */
  readonly refuse: () => void;
}

/** Holds work until the process takes it. */
export interface Discipline {
  /** Takes work over; what it returns is not done, and refused: the work itself, or what gave way to it. */
  add(work: Work): readonly Work[];
  /** Takes what is to be done next. */
  take(): Work | undefined;
  /** Forgets everything: the process has ended. */
  clear(): void;
}

/** First come, first served; everything is done, however late. */
export class ArrivalOrder implements Discipline {
  private _waiting: Work[] = [];
  private _next = 0;

  add(work: Work): readonly Work[] {
    this._waiting.push(work);
    return [];
  }

  take(): Work | undefined {
    const work = this._waiting[this._next];
    if (work === undefined) {
      this.clear();
      return undefined;
    }
    this._next += 1;
    return work;
  }

  clear(): void {
    this._waiting = [];
    this._next = 0;
  }
}

/** Kinds of work of one worth, and how much of it may wait. */
export interface WorkClass {
  readonly kinds: readonly WorkKind[];
  readonly limit: number;
}

/** In the order of their worth; whoever waits too long has gone, so that there is room for all who ask at size 5. */
const CLASSES: readonly WorkClass[] = [
  { kinds: ["agreement", "answer"], limit: 1_000 },
  { kinds: ["declaration", "read"], limit: 50 },
  { kinds: ["plan", "relay"], limit: 50 },
  { kinds: ["watch", "update"], limit: 1_000 },
  { kinds: ["report"], limit: 2_000 },
];

/** Worth goes first; what nobody waits for any more is not begun; of each class a bounded number waits. */
export class WorthOrder implements Discipline {
  private readonly _classes: readonly WorkClass[];
  private readonly _waiting: Work[][];

  constructor(classes = CLASSES) {
    this._classes = classes;
    this._waiting = classes.map(() => []);
  }

  add(work: Work): readonly Work[] {
    const index = this._classes.findIndex(({ kinds }) => kinds.includes(work.kind));
    const waiting = this._waiting[index]!;
    if (waiting.length >= this._classes[index]!.limit) return [work];
    waiting.push(work);
    return [];
  }

  take(): Work | undefined {
    for (const waiting of this._waiting) {
      for (;;) {
        const work = waiting.shift();
        if (work === undefined) break;
        if (work.isWanted()) return work;
      }
    }
    return undefined;
  }

  clear(): void {
    for (const waiting of this._waiting) waiting.length = 0;
  }
}
