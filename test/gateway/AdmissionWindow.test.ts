import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { AdmissionWindow } from "../../src/gateway/AdmissionWindow";

describe("AdmissionWindow", () => {
  it("admits all streams while first events arrive well within their objective", () => {
    const window = new AdmissionWindow(32);
    for (let now = 0; now < 10_000; now += 10) {
      expect(window.hasCapacity()).toBe(true);
      window.addWaiting();
      window.addFirstEvent(now, 0.4);
      window.removeWaiting();
    }
    expect(window.size).toBeGreaterThan(32);
  });

  it("starts with the given size, clamped to its bounds, and grows from there", () => {
    expect([0, 10, 500].map((size) => new AdmissionWindow(size).size)).toEqual([3, 10, 64]);
    const window = new AdmissionWindow(8);
    for (let i = 0; i < 8; i++) window.addWaiting();
    expect(window.hasCapacity()).toBe(false);
    for (let i = 0; i < 100; i++) window.addFirstEvent(i, 0.4);
    expect(window.size).toBeGreaterThan(15);
  });

  it("does not shrink after a single slow first event", () => {
    const window = new AdmissionWindow(32);
    for (let i = 0; i < 9; i++) window.addWaiting();
    window.addFirstEvent(1_000, 3);
    expect(window.size).toBeGreaterThan(30);
  });

  it("shrinks from the number of waiting streams while first events are late, at most once per interval, and grows again", () => {
    const window = new AdmissionWindow(32);
    for (let i = 0; i < 9; i++) window.addWaiting();
    for (let i = 0; i < 10; i++) window.addFirstEvent(1_000, 1.5);
    expect(window.size).toBe(8);
    window.addFirstEvent(1_100, 1.5);
    expect(window.size).toBeCloseTo(6.4);
    expect(window.hasCapacity()).toBe(false);
    for (let i = 0; i < 50; i++) window.addFirstEvent(2_000 + 100 * i, 1.5);
    expect(window.size).toBe(3);
    for (let i = 0; i < 100; i++) window.addFirstEvent(9_000, 0.1);
    expect(window.size).toBeGreaterThan(12);
  });

  it("always admits a stream when none is waiting", () => {
    const event = fc.record({ afterMs: fc.nat(500), share: fc.double({ min: 0, max: 20, noNaN: true }) });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 200 }), (events) => {
        const window = new AdmissionWindow(32);
        let now = 0;
        for (const { afterMs, share } of events) {
          now += afterMs;
          window.addWaiting();
          window.addFirstEvent(now, share);
          window.removeWaiting();
        }
        return window.hasCapacity() && window.size <= 64;
      }),
    );
  });
});
