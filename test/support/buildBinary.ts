/** Bundles the programs once, before the tests that run them as processes. */
import { execFileSync } from "node:child_process";
import { build } from "esbuild";

export default async function setup(): Promise<void> {
  execFileSync(process.execPath, ["scripts/bundlePlatform.mjs", "dist/test"], { stdio: "inherit" });
  await build({
    entryPoints: ["src/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: "dist/test/ploverstage.cjs",
    logLevel: "warning",
  });
}
