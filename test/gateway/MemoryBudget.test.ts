import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { BodyReservation } from "../../src/gateway/BodyReservation";
import { MemoryBudget } from "../../src/gateway/MemoryBudget";

const MB = 1_000_000;
const LIMIT_BYTES = 350 * MB;
const OWN_BYTES = 100 * MB;
const OWNER = { organisation: "atlas", isRepeatable: false };

function createBudget(): MemoryBudget {
  return new MemoryBudget({ limitBytes: LIMIT_BYTES, getOwnBytes: () => OWN_BYTES, onEvicted: () => {} });
}

/** Reserves a body that has been sent whole and may be evicted. */
function addSentBody(
  budget: MemoryBudget,
  bytes: number,
  isRepeatable = false,
  onEvict = () => {},
): BodyReservation {
  const body = budget.open({ ...OWNER, isRepeatable });
  expect(body.reserve(bytes)).toBe(true);
  body.setOnEvict(onEvict);
  body.startSending()();
  return body;
}

describe("MemoryBudget", () => {
  it("leaves room for the process itself below nine tenths of its limit", () => {
    const budget = createBudget();
    expect(budget.maxBytes + OWN_BYTES).toBeLessThan(LIMIT_BYTES * 0.9);
    expect(budget.maxBytes).toBeGreaterThan(100 * MB);
  });

  it("keeps bodies that are read or sent, and refuses further ones without room", () => {
    const budget = createBudget();
    const reading = budget.open(OWNER);
    expect(reading.reserve(budget.maxBytes * 0.7)).toBe(true);
    const endSending = reading.startSending();
    expect(budget.open(OWNER).reserve(budget.maxBytes * 0.1)).toBe(false);
    expect(reading.isOpen).toBe(true);
    endSending();
  });

  it("evicts bodies that were sent whole, the oldest and those that can't be repeated first", () => {
    const budget = createBudget();
    const evicted: string[] = [];
    const share = budget.maxBytes * 0.2;
    addSentBody(budget, share, true, () => evicted.push("repeatable"));
    addSentBody(budget, share, false, () => evicted.push("first"));
    addSentBody(budget, share, false, () => evicted.push("second"));
    const body = budget.open(OWNER);
    for (const expected of [["first"], ["first", "second"], ["first", "second", "repeatable"]]) {
      expect(body.reserve(share)).toBe(true);
      expect(evicted).toEqual(expected);
    }
  });

  it("keeps a body while any attempt is sending it", () => {
    const budget = createBudget();
    const body = addSentBody(budget, budget.maxBytes * 0.7);
    const endFirst = body.startSending();
    const endHedge = body.startSending();
    endFirst();
    endFirst();
    expect(budget.open(OWNER).reserve(budget.maxBytes * 0.1)).toBe(false);
    endHedge();
    expect(budget.open(OWNER).reserve(budget.maxBytes * 0.1)).toBe(true);
    expect(body.isOpen).toBe(false);
  });

  it("keeps room for other organisations when one takes all that it may", () => {
    const budget = createBudget();
    const large = budget.open(OWNER);
    while (large.reserve(MB));
    const small = budget.open({ ...OWNER, organisation: "other" });
    expect(small.reserve(budget.maxBytes * 0.1)).toBe(true);
  });

  it("evicts bodies when answers need their room", () => {
    const budget = createBudget();
    const body = addSentBody(budget, budget.maxBytes * 0.7);
    budget.addAnswerBytes(budget.maxBytes * 0.4);
    expect(body.isOpen).toBe(false);
    expect(budget.isExceeded).toBe(false);
  });

  it("tells a later time when bodies end more slowly", () => {
    const budget = createBudget();
    expect(budget.getRetryAfterMs(0, MB)).toBe(3_000);
    addSentBody(budget, 10 * MB).release(0);
    const soon = budget.getRetryAfterMs(0, 2 * MB);
    expect(soon).toBeLessThan(1_000);
    expect(budget.getRetryAfterMs(4_000, 2 * MB)).toBeGreaterThan(soon);
  });

  // Guards against bytes that stay counted, or stop being counted, while the process holds them.
  it("counts the bytes of held bodies, and none after all have ended in any order", () => {
    const step = fc.record({
      body: fc.nat(4),
      kind: fc.constantFrom("reserve", "startSending", "endSending", "release"),
      bytes: fc.nat(80 * MB),
      isRepeatable: fc.boolean(),
      organisation: fc.constantFrom(undefined, "a", "b"),
    });
    const property = fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const budget = createBudget();
      const slots: { body: BodyReservation; ends: (() => void)[] }[] = [];
      for (const { body: index, kind, bytes, ...owner } of steps) {
        slots[index] ??= { body: budget.open(owner), ends: [] };
        const { body, ends } = slots[index];
        body.setOnEvict(() => expect(ends).toEqual([]));
        if (kind === "reserve") body.reserve(bytes);
        else if (kind === "startSending") ends.push(body.startSending());
        else if (kind === "endSending") ends.shift()?.();
        else {
          body.release(0);
          delete slots[index];
        }
        const sum = Object.values(slots).reduce((total, slot) => total + slot.body.bytes, 0);
        expect(budget.bodyBytes).toBe(sum);
        expect(sum).toBeLessThanOrEqual(budget.maxBytes);
      }
      for (const { body } of Object.values(slots)) body.release(0);
      expect(budget.bytes).toBe(0);
    });
    fc.assert(property, { seed: 20_261_204 });
  });
});
