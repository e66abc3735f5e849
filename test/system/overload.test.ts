import { expect, it } from "vitest";
import { ACKNOWLEDGEMENT_MS, CONTACT_MS, runPowerLosses } from "../platform/runPowerLosses";

/** Of a core: less than the smallest machines for control, as there are fewer workers and watchers. */
const SHARE = 0.14;

it("an order sent after the second of two losses of power is acknowledged and read back in calm", async () => {
  const { before, after } = await runPowerLosses(SHARE);
  expect(before.readBackMs).toBeLessThan(ACKNOWLEDGEMENT_MS);
  const told = JSON.stringify(after);
  expect(after[0]!.acknowledgedMs, told).toBeLessThan(CONTACT_MS + ACKNOWLEDGEMENT_MS);
  expect(after[0]!.readBackMs, told).toBeLessThan(CONTACT_MS + ACKNOWLEDGEMENT_MS);
});
