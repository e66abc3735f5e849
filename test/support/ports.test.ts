import { createServer } from "node:net";
import { describe, expect, it } from "vitest";
import { getEphemeralRangeStart, getFreeAddresses } from "./ports";

describe("getFreeAddresses", () => {
  it("returns distinct ports outside the ephemeral range", async () => {
    const addresses = [...(await getFreeAddresses(20)), ...(await getFreeAddresses(20))];
    expect(new Set(addresses).size).toBe(40);
    for (const address of addresses)
      expect(Number(address.split(":")[1])).toBeLessThan(getEphemeralRangeStart());
  });

  it("skips a port that is in use", async () => {
    const [last] = await getFreeAddresses(1);
    const taken = Number(last!.split(":")[1]) + 1;
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(taken, "127.0.0.1", resolve));
    expect(await getFreeAddresses(3)).not.toContain(`127.0.0.1:${taken}`);
    await new Promise((resolve) => server.close(resolve));
  });
});
