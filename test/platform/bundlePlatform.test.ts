import { execFileSync } from "node:child_process";
import { closeSync, fstatSync, mkdtempSync, openSync, readdirSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";

const FILES = ["koffi.node", "platform.blob", "platform.cjs"];

describe("the build of the platform program", () => {
  let folder: string;
  const files: number[] = [];
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "bundle-"));
  });
  afterEach(() => {
    for (const file of files.splice(0)) closeSync(file);
    rmSync(folder, { recursive: true });
  });

  function build(): void {
    execFileSync(process.execPath, ["scripts/bundlePlatform.mjs", folder], { stdio: "ignore" });
  }

  // Guards against running processes that end because the native library changes in their memory.
  it("replaces the files of a folder and leaves those that processes have open unchanged", () => {
    build();
    for (const name of FILES) files.push(openSync(join(folder, name), "r"));
    const before = files.map((file) => fstatSync(file));
    build();
    const after = files.map((file) => fstatSync(file));
    expect(after.map(({ nlink }) => nlink)).toEqual(FILES.map(() => 0));
    expect(after.map(({ mtimeMs, size }) => ({ mtimeMs, size }))).toEqual(
      before.map(({ mtimeMs, size }) => ({ mtimeMs, size })),
    );
    expect(readdirSync(folder).sort()).toEqual(FILES);
  });
});
