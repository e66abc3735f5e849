import { beforeEach, describe, expect, it } from "vitest";
import { ALL_MACHINES, ConfigurationLedger } from "./ConfigurationLedger";

const BOUNDS = { applyMs: 2_500, contactMs: 4_000, revertMs: 250, timeoutMs: 5_000 };
/** A time at which a version that was acknowledged at 0 is in force everywhere. */
const APPLIED_AT = 2_501;

describe("ConfigurationLedger", () => {
  let ledger: ConfigurationLedger;
  beforeEach(() => {
    ledger = new ConfigurationLedger(BOUNDS);
    addVersion(1, -10_000);
    addVersion(2, 0);
  });

  function addVersion(version: number, at: number): void {
    ledger.addSent(version, `content ${version}`, at);
    ledger.addAnswer(version, 200, at);
  }

  function addRequest(version: number, sentAt: number, status: number | undefined, machine = "e1"): void {
    ledger.addRequest({ machine, life: 0, version, sentAt, endedAt: sentAt + 10, status });
  }

  function addRead(version: number | undefined, sentAt: number, content = `content ${version}`): void {
    ledger.addRead({ machine: "c1", sentAt, version, content });
  }

  it("finds nothing in a run without defects", () => {
    addRequest(1, 100, 200);
    addRequest(2, 200, 404);
    addRequest(2, APPLIED_AT, 200);
    addRequest(1, APPLIED_AT, 404);
    addRead(2, APPLIED_AT);
    ledger.addFinalRead({ machine: "c1", sentAt: 9_000, version: 2, content: "content 2" });
    expect(ledger.getViolations()).toEqual([]);
  });

  it("finds a read that returns an older version, whatever happened to the machine", () => {
    ledger.addDisturbance("c1", APPLIED_AT);
    addRead(1, 2_500);
    expect(ledger.getViolations()).toEqual([]);
    addRead(1, APPLIED_AT);
    expect(ledger.getViolations().join()).toContain("returned version 1 after 2");
  });

  it("finds a dropped route that is served, by machines in contact alone", () => {
    ledger.addDisturbance("e1", APPLIED_AT - BOUNDS.contactMs + 1);
    ledger.addDisturbance(ALL_MACHINES, 20_000);
    addRequest(1, APPLIED_AT, 200);
    addRequest(1, 20_100, 200);
    expect(ledger.getViolations()).toEqual([]);
    addRequest(1, 24_000, 200);
    expect(ledger.getViolations().join()).toContain("served the route of version 1");
  });

  it("finds an added route that is refused, unless a newer version may be in force", () => {
    addRequest(2, 2_500, 404);
    expect(ledger.getViolations()).toEqual([]);
    addRequest(2, APPLIED_AT, 401);
    expect(ledger.getViolations()).toHaveLength(1);
    ledger.addSent(3, "content 3", 5_000);
    addRequest(2, 5_000, 404);
    expect(ledger.getViolations()).toHaveLength(1);
  });

  it("finds a machine that goes back within one start of its process", () => {
    addRequest(2, 300, 200);
    addRequest(1, 550, 200);
    expect(ledger.getViolations()).toEqual([]);
    addRequest(1, 561, 200);
    expect(ledger.getViolations()).toEqual(["e1 went back from version 2 to 1"]);
    addRequest(1, 561, 200, "e2");
    expect(ledger.getViolations()).toHaveLength(1);
  });

  it("finds invalid versions that are acknowledged, read or served", () => {
    ledger.addSent(3, "content 3", 100);
    ledger.addInvalid(3, 400, 110);
    addRequest(3, 200, 404);
    expect(ledger.getViolations()).toEqual([]);
    addRequest(3, 200, 200);
    addRead(3, 200);
    expect(ledger.getViolations()).toHaveLength(2);
    ledger.addSent(4, "content 4", 300);
    ledger.addInvalid(4, 200, 310);
    expect(ledger.getViolations().join()).toContain("version 4 was acknowledged, although it is invalid");
  });

  it("finds an acknowledged version that is refused when it arrives again", () => {
    ledger.addAnswer(2, 400, 500);
    expect(ledger.getViolations().join()).toContain("was refused when it arrived again");
  });

  it("finds other content under the version that is held", () => {
    addRead(2, 100, "other content");
    expect(ledger.getViolations()).toEqual(["c1 returned other content under version 2"]);
  });

  it("finds a configuration that is not read after the last fault, or lost", () => {
    ledger.addFinalRead({ machine: "c1", sentAt: 9_000, version: undefined });
    expect(ledger.getViolations()).toEqual(["no read was answered after the last fault"]);
    ledger.addFinalRead({ machine: "c1", sentAt: 9_000, version: 1 });
    expect(ledger.getViolations().join()).toContain("version 2 was acknowledged and is lost");
  });

  it("finds requests that have no answer half a second after their time", () => {
    const add = (tookMs: number, status: number | undefined) =>
      ledger.addRequest({ machine: "e1", life: 0, version: 0, sentAt: 0, endedAt: tookMs, status });
    for (let i = 0; i < 7; i++) add(5_600, undefined);
    expect(ledger.getViolations()).toEqual([]);
    add(5_600, undefined);
    expect(ledger.getViolations().join()).toContain("8 of 8 late requests had no answer in time");
    for (let i = 0; i < 24; i++) add(5_100, 504);
    expect(ledger.getViolations()).toEqual([]);
  });

  it("finds added routes that are served far less often than the first ones", () => {
    for (let i = 0; i < 40; i++) {
      addRequest(0, APPLIED_AT + i, 200);
      addRequest(2, APPLIED_AT + i, i < 10 ? 200 : 503);
    }
    expect(ledger.getViolations()).toEqual([]);
    addRequest(2, APPLIED_AT, 503);
    expect(ledger.getViolations().join()).toContain("added routes were served");
  });
});
