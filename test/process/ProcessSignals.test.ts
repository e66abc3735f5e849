import { EventEmitter } from "node:events";
import fc from "fast-check";
import { pino } from "pino";
import { describe, expect, it } from "vitest";
import { ProcessSignals } from "../../src/process";

const SIGNALS = ["SIGTERM", "SIGINT", "SIGHUP"] as const;

describe("ProcessSignals", () => {
  it("has the first stop signal decide and tells the others, whatever series comes", async () => {
    const property = fc.asyncProperty(fc.array(fc.constantFrom(...SIGNALS)), async (series) => {
      const source = new EventEmitter();
      const lines: string[] = [];
      const signals = ProcessSignals.install(source);
      signals.setLogger(pino({ level: "info" }, { write: (line: string) => lines.push(line) }));
      for (const signal of series) expect(source.emit(signal)).toBe(true);
      const stops = series.filter((signal) => signal !== "SIGHUP");
      expect(signals.isStopping).toBe(stops.length > 0);
      expect(signals.reloadCount).toBe(series.length - stops.length);
      if (stops.length > 0) expect(await signals.firstStop).toBe(stops[0]);
      expect(lines.length).toBe(Math.max(0, stops.length - 1));
    });
    await fc.assert(property, { seed: 20_261_204 });
  });

  it("never leaves a signal to its own effect, however often it came", () => {
    const source = new EventEmitter();
    ProcessSignals.install(source);
    for (let i = 0; i < 3; i++) for (const signal of SIGNALS) expect(source.emit(signal)).toBe(true);
  });
});
