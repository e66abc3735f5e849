/** Test runner settings: tests mirror the source tree under `test/`. */
import { defineConfig } from "vitest/config";

export default defineConfig({
  test: { include: ["test/**/*.test.ts"], testTimeout: 60_000, hookTimeout: 60_000 },
});
