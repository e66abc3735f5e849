import { beforeEach, describe, expect, it } from "vitest";
import { ElectionPatience } from "../../src/consensus/ElectionTimeout";

const TIMING = { heartbeatMs: 100, electionMinMs: 500, electionMaxMs: 1_000 };

describe("ElectionPatience", () => {
  let patience: ElectionPatience;

  beforeEach(() => {
    patience = new ElectionPatience(0, TIMING);
  });

  it("doubles with each campaign that came to nothing, up to a bound", () => {
    const found = [1_000, 2_000, 3_000, 4_000].map((now) => {
      patience.addCampaign(now);
      return patience.minMs;
    });
    expect(found).toEqual([500, 1_000, 2_000, 2_000]);
    expect(patience.maxMs).toBe(4_000);
  });

  it("doubles after a long silence of a leader that is heard again", () => {
    patience.addContact(399, 1);
    expect(patience.minMs).toBe(500);
    patience.addContact(900, 1);
    expect(patience.minMs).toBe(1_000);
  });

  it("is halved while a leader is heard regularly", () => {
    for (const now of [1_000, 2_000, 3_000]) patience.addCampaign(now);
    for (let now = 3_000; now <= 12_000; now += 100) patience.addContact(now, 1);
    expect(patience.minMs).toBe(500);
  });

  it("begins anew with the first campaign after a leader was heard", () => {
    patience.addCampaign(0);
    patience.addContact(100, 1);
    patience.addCampaign(1_000);
    expect(patience.minMs).toBe(500);
  });

  function hearRegularly(from: number, to: number, term: number): void {
    for (let now = from; now <= to; now += 100) patience.addContact(now, term);
  }

  it("stays when another leader is heard after the silence of one that had kept up: it had died", () => {
    hearRegularly(100, 1_100, 1);
    patience.addContact(2_000, 2);
    expect(patience.minMs).toBe(500);
    hearRegularly(2_100, 2_600, 2);
    patience.addContact(3_500, 3);
    expect(patience.minMs).toBe(500);
  });

  it("doubles when another leader is heard after one that fell silent soon: it was slow", () => {
    hearRegularly(100, 1_100, 1);
    hearRegularly(1_200, 1_400, 2);
    patience.addContact(2_300, 3);
    expect(patience.minMs).toBe(1_000);
  });

  it("stays when the first leader that a new member finds dies soon: it may have led for long", () => {
    patience.addContact(900, 7);
    patience.addContact(1_000, 7);
    patience.addContact(1_900, 8);
    expect(patience.minMs).toBe(500);
  });

  it("doubles when a leader that had kept up is heard again itself", () => {
    hearRegularly(100, 1_100, 1);
    patience.addContact(2_000, 1);
    expect(patience.minMs).toBe(1_000);
  });
});
