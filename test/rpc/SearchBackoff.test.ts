import { describe, expect, it } from "vitest";
import { SearchBackoff } from "../../src/rpc/SearchBackoff";

const PROCESSES = 5;

/** Asks in vain for some time; gives how often. */
function search(pause: SearchBackoff, milliseconds: number): number {
  let asked = 0;
  for (let passed = 0; passed < milliseconds; asked++) passed += pause.addFailure(PROCESSES);
  return asked;
}

describe("SearchPause", () => {
  it("asks all at once first, then less and less often the longer there is no leader", () => {
    const pause = new SearchBackoff();
    expect(search(pause, 40)).toBe(4);
    search(pause, 2_500);
    const early = search(new SearchBackoff(), 1_000);
    search(pause, 2_000);
    expect(search(pause, 5_000) / 5).toBeLessThan(early / 3);
    pause.reset();
    expect(search(pause, 1_000)).toBe(early);
  });
});
