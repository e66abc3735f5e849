/** Bundles the program once before the tests that run it as processes. */
import { build } from "esbuild";

/** Programs by the name of their bundle in `dist/test`. */
const PROGRAMS = { ploverstage: "src/main.ts", platform: "platform/main.ts" };

/** Bundles into `dist/test`. */
export default async function setup(): Promise<void> {
  await Promise.all(Object.entries(PROGRAMS).map(([name, source]) => bundle(name, source)));
}

async function bundle(name: string, source: string): Promise<void> {
  await build({
    entryPoints: [source],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: `dist/test/${name}.cjs`,
    logLevel: "warning",
  });
}
