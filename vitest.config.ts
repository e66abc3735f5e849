/** Test runner settings. The tests mirror the source tree under `test/`. */
import { defineConfig } from "vitest/config";

const CLIENTS = "test/clients/**/*.test.ts";
const TIMEOUTS = { testTimeout: 90_000, hookTimeout: 90_000 };

export default defineConfig({
  test: {
    globalSetup: ["test/support/buildBinary.ts"],
    projects: [
      {
        test: {
          ...TIMEOUTS,
          name: "all",
          include: ["test/**/*.test.ts"],
          exclude: [CLIENTS],
          // Each system test starts about a dozen processes.
          maxWorkers: 4,
          sequence: { groupOrder: 0 },
        },
      },
      {
        // The memory of processes is checked, so these tests run one at a time after all others.
        test: {
          ...TIMEOUTS,
          name: "clients",
          include: [CLIENTS],
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
