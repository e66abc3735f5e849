/**
 * Bundles the platform program into a folder and creates its startup snapshot, a V8 heap with all modules
 * loaded, next to it. Usage: node scripts/bundlePlatform.mjs DIR.
 *
 * A process that starts from the snapshot needs hardly more processor time than Node alone. Starting from the
 * bundle takes 0.14 s more (252 against 107 ms until an entry listens, medians of five starts), which is 0.7
 * s on a fifth of a core, at every start.
 *
 * Each file is written under another name first, then renamed: processes that run from the folder have the native
 * library mapped into memory, and would end if it changed there.
 */
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, renameSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { build } from "esbuild";

/**
 * Node loads a snapshot only with the options that it was created with, which are those of
 * deploy/system.toml.
 */
const SNAPSHOT_OPTIONS = ["--max-old-space-size=200", "--min-semi-space-size=4", "--single-threaded-gc"];
/**
 * Operating system and processor architecture, as in the package names of koffi, the library for calls to C.
 */
const PLATFORM_ARCH = `${process.platform}-${process.arch}`;
const NATIVE_LIBRARY = `node_modules/@koromix/koffi-${PLATFORM_ARCH}/${PLATFORM_ARCH.replace("-", "_")}/koffi.node`;
/** Modules that Node 20 cannot load while it creates a snapshot; they are loaded on first use. */
const DEFERRED_MODULES = ["http", "https", "http2", "dgram", "module", "perf_hooks", "worker_threads"];

const [folder] = process.argv.slice(2);
if (folder === undefined) throw new Error("usage: bundlePlatform.mjs DIR");
mkdirSync(folder, { recursive: true });
/** Gets the path of a file while it is being written. */
const getUnfinished = (name) => join(folder, `${name}.${process.pid}`);
const bundle = getUnfinished("platform.cjs");
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
  plugins: [{ name: "late-modules", setup: addDeferredModules }],
});
// Native code cannot be bundled: the program loads it on first use from its own folder.
copyFileSync(NATIVE_LIBRARY, getUnfinished("koffi.node"));
const snapshot = getUnfinished("platform.blob");
execFileSync(process.execPath, [...SNAPSHOT_OPTIONS, "--snapshot-blob", snapshot, "--build-snapshot", bundle], {
  stdio: "inherit",
});
for (const name of ["koffi.node", "platform.cjs", "platform.blob"])
  renameSync(getUnfinished(name), join(folder, name));

/** Replaces deferred modules by objects whose members load the real module. */
function addDeferredModules(context) {
  const filter = new RegExp(`^(node:)?(${DEFERRED_MODULES.join("|")})$`);
  context.onResolve({ filter }, ({ path }) => ({ path: path.replace(/^node:/, ""), namespace: "late" }));
  context.onLoad({ filter: /.*/, namespace: "late" }, ({ path }) => ({ contents: createDeferredModule(path) }));
}

function createDeferredModule(name) {
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
