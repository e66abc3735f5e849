/**
 * Bundles the platform's program into a folder, and keeps its heap with all modules loaded beside
 * it: node scripts/bundlePlatform.mjs DIR.
 *
 * A process that starts from the heap needs hardly more processor time than Node alone; from the
 * bundle it takes 0.14 s more (252 and 107 ms until an entry listens, medians of five starts), which is
 * 0.7 s on a fifth of a core, after every start.
 */
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { build } from "esbuild";

/** Node takes a heap only with the options that it was kept with: as in deploy/system.toml. */
const NODE_OPTIONS = ["--max-old-space-size=200", "--min-semi-space-size=4", "--single-threaded-gc"];
/** The library for calls to C, for this kind of machine. */
const KIND = `${process.platform}-${process.arch}`;
const NATIVE_LIBRARY = `node_modules/@koromix/koffi-${KIND}/${KIND.replace("-", "_")}/koffi.node`;
/** Modules of Node 20 that can't be loaded while a heap is made; they are loaded at their first use. */
const LATE_MODULES = ["http", "https", "http2", "dgram", "module", "perf_hooks", "worker_threads"];

const [folder] = process.argv.slice(2);
if (folder === undefined) throw new Error("usage: bundlePlatform.mjs DIR");
mkdirSync(folder, { recursive: true });
const bundle = join(folder, "platform.cjs");
await build({
  entryPoints: ["platform/main.ts"],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outfile: bundle,
  logLevel: "warning",
  legalComments: "none",
  inject: ["src/rpc/bundledHeaders.ts"],
  plugins: [{ name: "late-modules", setup: addLateModules }],
});
// Native code can't be bundled: it is opened at its first use from beside the program.
copyFileSync(NATIVE_LIBRARY, join(folder, "koffi.node"));
const blob = join(folder, "platform.blob");
execFileSync(process.execPath, [...NODE_OPTIONS, "--snapshot-blob", blob, "--build-snapshot", bundle], {
  stdio: "inherit",
});

/** Replaces late modules by objects whose members load the real one. */
function addLateModules(context) {
  const filter = new RegExp(`^(node:)?(${LATE_MODULES.join("|")})$`);
  context.onResolve({ filter }, ({ path }) => ({ path: path.replace(/^node:/, ""), namespace: "late" }));
  context.onLoad({ filter: /.*/, namespace: "late" }, ({ path }) => ({ contents: createLateModule(path) }));
}

function createLateModule(name) {
  const members = Object.keys(createRequire(import.meta.url)(`node:${name}`));
  const getters = members.map(
    (member) => `  get ${JSON.stringify(member)}() { return load()[${JSON.stringify(member)}]; },`,
  );
  return [
    `const load = () => process.getBuiltinModule("node:${name}");`,
    "module.exports = {",
    ...getters,
    "};",
  ].join("\n");
}
