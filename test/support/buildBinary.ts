/** Bundles the program once before the tests that run it as processes. */
import { build } from "esbuild";

/** Bundles into `dist/test`. */
export default async function setup(): Promise<void> {
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
