import { beforeEach, describe, expect, it } from "vitest";
import { HeartbeatMonitor } from "../../src/registration/HeartbeatMonitor";

const STARTED_AT = 10_000;
const PRESENCE_MS = 3_000;

describe("Hearing", () => {
  let hearing: HeartbeatMonitor;

  beforeEach(() => {
    hearing = new HeartbeatMonitor(STARTED_AT);
  });

  /** Looks at other processes; gives how long the leader has listened. */
  function look(now: number, ...relays: readonly (readonly [answeredAt: number, reportedAt?: number])[]) {
    const contacts = relays.map(([answeredAt, reportedAt]) => ({ answeredAt, reportedAt }));
    hearing.update(now, contacts, PRESENCE_MS);
    return hearing.getObservedMs(now);
  }

  it("counts all silence where everyone is heard, or there is nobody else", () => {
    expect(look(14_000, [13_900, 13_500], [13_900, 13_600])).toBe(4_000);
    expect(look(15_000)).toBe(5_000);
  });

  it("counts no time since a process that is alive got no reports through", () => {
    expect(look(12_000, [11_900, 11_500], [11_900, undefined])).toBe(0);
    expect(look(12_500, [12_400, 12_300], [12_400, 12_400])).toBe(500);
    expect(look(14_000, [13_900, 13_900], [13_900, 12_400])).toBe(400);
    expect(hearing.getMsWithoutHeartbeat(14_000, 12_200)).toBe(200);
  });

  it("counts no time before the term: without a leader reports were refused", () => {
    expect(hearing.getMsWithoutHeartbeat(12_000, 8_000)).toBe(2_000);
  });

  it("takes no process for held up that does not answer at all", () => {
    expect(look(14_000, [13_900, 13_900], [12_000, 12_000])).toBe(4_000);
  });

  it("counts no time in which it stood still itself", () => {
    expect(look(14_000, [12_000, 12_000], [12_100, 11_900])).toBe(2_000);
  });

  it("gives up on a process whose instances have turned elsewhere", () => {
    look(15_900, [15_800, 15_800], [15_800, 10_000]);
    expect(look(20_000, [19_900, 19_900], [19_900, 10_000])).toBe(4_100);
  });

  it("leaves an instance absent that was silent for long before", () => {
    look(22_000, [21_900, 21_900], [21_900, 18_000]);
    expect(hearing.getMsWithoutHeartbeat(22_000, 11_000)).toBe(7_000);
  });

  it("counts no time twice", () => {
    for (let now = 12_000; now <= 14_000; now += 100) look(now, [now, 11_000], [now, 10_500]);
    expect(hearing.getObservedMs(14_000)).toBe(500);
  });
});
