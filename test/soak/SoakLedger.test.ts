import { describe, expect, it } from "vitest";
import { type CallResult, SoakLedger } from "./SoakLedger";

function createCall(change: Partial<CallResult> = {}): CallResult {
  return { id: "a", kind: "once", status: 200, body: "whole", expectedBody: "whole", ...change };
}

/** Every check of the soak has to be able to fail. */
describe("SoakLedger", () => {
  it("finds no violation if all guarantees hold", () => {
    const ledger = new SoakLedger();
    ledger.addCall(createCall());
    ledger.addCall(createCall({ id: "b", status: 503, body: "" }));
    ledger.addCall(createCall({ id: "c", status: undefined, body: "" }));
    ledger.addCall(createCall({ id: "d", kind: "repeatable" }));
    ledger.addAcknowledged(7);
    ledger.addRead(8, 7);
    expect(ledger.getViolations(["a", "c", "d", "d"])).toEqual([]);
    expect([ledger.servedCount, ledger.callCount, ledger.acknowledgedVersion]).toEqual([2, 4, 7]);
  });

  it("finds a request that ran twice and one that ran after its refusal promised that it did not", () => {
    const ledger = new SoakLedger();
    ledger.addCall(createCall());
    ledger.addCall(createCall({ id: "b", status: 503, body: "" }));
    expect(ledger.getViolations(["a", "a", "b"])).toEqual([
      "a ran 2 times",
      "b ran although its refusal (503) promised that it did not",
    ]);
  });

  it("finds an incomplete success, a read of an older configuration and a violation that a worker reported", () => {
    const ledger = new SoakLedger();
    ledger.addCall(createCall({ body: "who" }));
    ledger.addRead(6, 7);
    ledger.addViolation("w joined g2 while g1 was open");
    expect(ledger.getViolations(["a"]).length).toBe(3);
  });
});
