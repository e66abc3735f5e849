import { beforeEach, describe, expect, it } from "vitest";
import { ElectionTimeout } from "../../src/consensus/ElectionTimeout";

const TIMING = { heartbeatMs: 100, electionMinMs: 500, electionMaxMs: 1_000 };

describe("ElectionTimeout", () => {
  let timeout: ElectionTimeout;

  beforeEach(() => {
    timeout = new ElectionTimeout(0, TIMING);
  });

  it("doubles with each failed campaign, up to a limit", () => {
    const found = [1_000, 2_000, 3_000, 4_000].map((now) => {
      timeout.addCampaign(now);
      return timeout.minMs;
    });
    expect(found).toEqual([500, 1_000, 2_000, 2_000]);
    expect(timeout.maxMs).toBe(4_000);
  });

  it("doubles when messages from the same leader resume after a long gap", () => {
    timeout.addContact(399, 1);
    expect(timeout.minMs).toBe(500);
    timeout.addContact(900, 1);
    expect(timeout.minMs).toBe(1_000);
  });

  it("is halved while messages from the leader arrive regularly", () => {
    for (const now of [1_000, 2_000, 3_000]) timeout.addCampaign(now);
    for (let now = 3_000; now <= 12_000; now += 100) timeout.addContact(now, 1);
    expect(timeout.minMs).toBe(500);
  });

  it("does not double with the first campaign after a message from a leader", () => {
    timeout.addCampaign(0);
    timeout.addContact(100, 1);
    timeout.addCampaign(1_000);
    expect(timeout.minMs).toBe(500);
  });

  function addRegularContact(from: number, to: number, term: number): void {
    for (let now = from; now <= to; now += 100) timeout.addContact(now, term);
  }

  it("does not change when a stable leader fails and another one follows", () => {
    addRegularContact(100, 1_100, 1);
    timeout.addContact(2_000, 2);
    expect(timeout.minMs).toBe(500);
    addRegularContact(2_100, 2_600, 2);
    timeout.addContact(3_500, 3);
    expect(timeout.minMs).toBe(500);
  });

  it("doubles when a leader stops sending soon after its start and another one follows", () => {
    addRegularContact(100, 1_100, 1);
    addRegularContact(1_200, 1_400, 2);
    timeout.addContact(2_300, 3);
    expect(timeout.minMs).toBe(1_000);
  });

  it("does not change when the first leader fails soon after a member has started", () => {
    timeout.addContact(900, 7);
    timeout.addContact(1_000, 7);
    timeout.addContact(1_900, 8);
    expect(timeout.minMs).toBe(500);
  });

  it("doubles when messages from a stable leader resume after a long gap", () => {
    addRegularContact(100, 1_100, 1);
    timeout.addContact(2_000, 1);
    expect(timeout.minMs).toBe(1_000);
  });
});
