/** Output functions and exit codes of the commands. */
import Table from "cli-table3";

/** Exit codes of all commands. */
export const EXIT = { ok: 0, failure: 1, usage: 2 } as const;

/** Prints a line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints a line to standard error. */
export function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Prints a value as one line of JSON. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value));
}

/** Prints a table without borders. */
export function printTable(head: readonly string[], rows: readonly (readonly string[])[]): void {
  const table = new Table({
    head: [...head],
    chars: BORDERLESS,
    style: { head: [], border: [], compact: true },
  });
  for (const row of rows) table.push([...row]);
  printLine(table.toString());
}

const BORDERLESS = {
  top: "",
  "top-mid": "",
  "top-left": "",
  "top-right": "",
  bottom: "",
  "bottom-mid": "",
  "bottom-left": "",
  "bottom-right": "",
  left: "",
  "left-mid": "",
  mid: "",
  "mid-mid": "",
  right: "",
  "right-mid": "",
  middle: " ",
};
