import { beforeEach, describe, expect, it } from "vitest";
import { HeartbeatMonitor } from "../../src/registration/HeartbeatMonitor";

const STARTED_AT = 10_000;
const PRESENCE_MS = 3_000;

describe("HeartbeatMonitor", () => {
  let monitor: HeartbeatMonitor;

  beforeEach(() => {
    monitor = new HeartbeatMonitor(STARTED_AT);
  });

  /** Updates the monitor with the state of the relays; returns the observed time. */
  function update(now: number, ...relays: readonly (readonly [answeredAt: number, reportedAt?: number])[]) {
    const contacts = relays.map(([answeredAt, reportedAt]) => ({ answeredAt, reportedAt }));
    monitor.update(now, contacts, PRESENCE_MS);
    return monitor.getObservedMs(now);
  }

  it("counts all the time when every relay reports, or when there is no relay", () => {
    expect(update(14_000, [13_900, 13_500], [13_900, 13_600])).toBe(4_000);
    expect(update(15_000)).toBe(5_000);
  });

  it("excludes the time since the last report of a live relay whose reports don't arrive", () => {
    expect(update(12_000, [11_900, 11_500], [11_900, undefined])).toBe(0);
    expect(update(12_500, [12_400, 12_300], [12_400, 12_400])).toBe(500);
    expect(update(14_000, [13_900, 13_900], [13_900, 12_400])).toBe(400);
    expect(monitor.getMsWithoutHeartbeat(14_000, 12_200)).toBe(200);
  });

  it("excludes the time before the term, when reports were refused for want of a leader", () => {
    expect(monitor.getMsWithoutHeartbeat(12_000, 8_000)).toBe(2_000);
  });

  it("does not treat a relay as delayed when it answers no consensus message either", () => {
    expect(update(14_000, [13_900, 13_900], [12_000, 12_000])).toBe(4_000);
  });

  it("excludes the time in which the leader itself was paused", () => {
    expect(update(14_000, [12_000, 12_000], [12_100, 11_900])).toBe(2_000);
  });

  it("stops waiting for a delayed relay after its instances have switched to another process", () => {
    update(15_900, [15_800, 15_800], [15_800, 10_000]);
    expect(update(20_000, [19_900, 19_900], [19_900, 10_000])).toBe(4_100);
  });

  it("counts the time without a heartbeat before the relay's delay began", () => {
    update(22_000, [21_900, 21_900], [21_900, 18_000]);
    expect(monitor.getMsWithoutHeartbeat(22_000, 11_000)).toBe(7_000);
  });

  it("excludes overlapping gaps only once", () => {
    for (let now = 12_000; now <= 14_000; now += 100) update(now, [now, 11_000], [now, 10_500]);
    expect(monitor.getObservedMs(14_000)).toBe(500);
  });
});
