import { describe, expect, it } from "vitest";
import { type SeenCall, SoakLedger } from "./SoakLedger";

function createCall(change: Partial<SeenCall> = {}): SeenCall {
  return { id: "a", kind: "once", status: 200, body: "whole", expectedBody: "whole", ...change };
}

/** Each check of the soak has to be able to fail. */
describe("SoakLedger", () => {
  it("finds nothing where everything was kept", () => {
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

  it("finds a request that ran twice, and one that ran though it was told as not run", () => {
    const ledger = new SoakLedger();
    ledger.addCall(createCall());
    ledger.addCall(createCall({ id: "b", status: 503, body: "" }));
    expect(ledger.getViolations(["a", "a", "b"])).toEqual([
      "a ran 2 times",
      "b was told as not run (503), and ran",
    ]);
  });

  it("finds a success that is not whole, an older configuration, and what workers saw", () => {
    const ledger = new SoakLedger();
    ledger.addCall(createCall({ body: "who" }));
    ledger.addRead(6, 7);
    ledger.addViolation("w joined g2 while g1 was open");
    expect(ledger.getViolations(["a"]).length).toBe(3);
  });
});
