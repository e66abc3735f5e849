/** Test runner settings. The tests mirror the source tree under `test/`. */
import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["test/**/*.test.ts"],
    globalSetup: ["test/support/buildBinary.ts"],
    testTimeout: 90_000,
    hookTimeout: 90_000,
    // Each system test starts about a dozen processes.
    maxWorkers: 4,
  },
});
