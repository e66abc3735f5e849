import { describe, expect, it } from "vitest";
import { Simulation } from "./Simulation";

describe("Simulation", () => {
  it("runs due events in order, including events scheduled by other events, and skips cancelled ones", () => {
    const simulation = new Simulation();
    const ran: string[] = [];
    const add = (afterMs: number, name: string) =>
      simulation.schedule(afterMs, () => ran.push(`${name} ${simulation.now}`));
    add(20, "second");
    add(10, "first");
    add(20, "third");
    simulation.schedule(15, () => add(1, "between"));
    add(18, "called off").isCancelled = true;
    add(31, "later");
    simulation.runUntil(30);
    expect(ran).toEqual(["first 10", "between 16", "second 20", "third 20"]);
    expect(simulation.now).toBe(30);
  });
});
