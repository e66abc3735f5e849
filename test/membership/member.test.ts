import { describe, expect, it } from "vitest";
import { VoterPatience } from "../../src/membership/member";

describe("VoterPatience", () => {
  it("lets a member that does not vote ask at once, and one that votes after an election's time", () => {
    const patience = new VoterPatience();
    expect(patience.isOver(0, false, false)).toBe(true);
    expect(patience.isOver(0, true, false)).toBe(false);
    expect(patience.isOver(2_000, true, false)).toBe(false);
    expect(patience.isOver(2_001, true, false)).toBe(true);
    expect(patience.isOver(2_100, true, true)).toBe(false);
    expect(patience.isOver(2_200, true, false)).toBe(false);
  });
});
