/** Benches return figures. Each figure is printed as one JSON line and checked against its bound. */
import { readFileSync } from "node:fs";

/** One measured figure. */
export interface Figure {
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
}

export interface Bench {
  readonly name: string;
  /** Runs the bench and returns its figures. */
  run(): Promise<readonly Figure[]>;
}

/** Inclusive limits of a figure in `bench/bounds.json`. */
interface Bound {
  readonly max?: number;
  readonly min?: number;
}

type Bounds = Readonly<Record<string, Readonly<Record<string, Bound>>>>;

const SIGNIFICANT_DIGITS = 4;

/**
 * Prints the figures of a bench, and a failing line for each bound without a figure. Returns whether all
 * bounds are met.
 */
export function printFigures(bench: string, figures: readonly Figure[]): boolean {
  const bounds = (JSON.parse(readFileSync("bench/bounds.json", "utf8")) as Bounds)[bench] ?? {};
  const missing = Object.keys(bounds).filter((name) => !figures.some((figure) => figure.figure === name));
  for (const name of missing) console.log(JSON.stringify({ bench, figure: name, value: null, ok: false }));
  const results = figures.map(({ figure, value, unit }) => {
    const bound = bounds[figure];
    const ok = isWithinBound(value, bound);
    const rounded = Number(value.toPrecision(SIGNIFICANT_DIGITS));
    console.log(JSON.stringify({ bench, figure, value: rounded, unit, bound: bound ?? null, ok }));
    return ok;
  });
  return missing.length === 0 && results.every((ok) => ok);
}

function isWithinBound(value: number, bound: Bound | undefined): boolean {
  if (bound === undefined) return true;
  if (!Number.isFinite(value)) return false;
  return value <= (bound.max ?? Number.POSITIVE_INFINITY) && value >= (bound.min ?? Number.NEGATIVE_INFINITY);
}
