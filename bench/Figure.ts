/** What benches give: figures, each printed as one JSON line and held to a bound. */
import { readFileSync } from "node:fs";

/** One measured figure. */
export interface Figure {
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
}

/** A bench by name. */
export interface Bench {
  readonly name: string;
  /** Measures; figures may be given as they come. */
  run(): Promise<readonly Figure[]>;
}

/** A bound as the bounds file gives it. */
interface Bound {
  readonly max?: number;
  readonly min?: number;
}

type Bounds = Readonly<Record<string, Readonly<Record<string, Bound>>>>;

const DIGITS = 4;

/** Prints the figures of a bench; gives whether all bounds hold. */
export function printFigures(bench: string, figures: readonly Figure[]): boolean {
  const bounds = (JSON.parse(readFileSync("bench/bounds.json", "utf8")) as Bounds)[bench] ?? {};
  const missing = Object.keys(bounds).filter((name) => !figures.some((figure) => figure.figure === name));
  for (const name of missing) console.log(JSON.stringify({ bench, figure: name, value: null, ok: false }));
  const results = figures.map(({ figure, value, unit }) => {
    const bound = bounds[figure];
    const ok = isWithin(value, bound);
    const rounded = Number(value.toPrecision(DIGITS));
    console.log(JSON.stringify({ bench, figure, value: rounded, unit, bound: bound ?? null, ok }));
    return ok;
  });
  return missing.length === 0 && results.every((ok) => ok);
}

function isWithin(value: number, bound: Bound | undefined): boolean {
  if (bound === undefined) return true;
  if (!Number.isFinite(value)) return false;
  return value <= (bound.max ?? Number.POSITIVE_INFINITY) && value >= (bound.min ?? Number.NEGATIVE_INFINITY);
}
