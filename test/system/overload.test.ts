import { expect, it } from "vitest";
import { ACKNOWLEDGEMENT_MS, CONTACT_MS, runPowerLosses } from "../platform/runPowerLosses";

/**
 * Share of a core. It is less than on the smallest machines for control, because the test has fewer workers
 * and watchers.
 */
const SHARE = 0.14;

it("a configuration change sent after the second of two power losses is acknowledged and read back in time", async () => {
  const { before, after } = await runPowerLosses(SHARE);
  expect(before.readBackMs).toBeLessThan(ACKNOWLEDGEMENT_MS);
  const details = JSON.stringify(after);
  expect(after[0]!.acknowledgedMs, details).toBeLessThan(CONTACT_MS + ACKNOWLEDGEMENT_MS);
  expect(after[0]!.readBackMs, details).toBeLessThan(CONTACT_MS + ACKNOWLEDGEMENT_MS);
});
