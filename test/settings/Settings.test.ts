import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { InvalidFile } from "../../src/errors";
import { readControlSettings, readEntrySettings, readSecret } from "../../src/settings";

describe("settings", () => {
  let folder: string;

  beforeAll(() => {
    folder = mkdtempSync(join(tmpdir(), "ploverstage-settings-"));
  });
  afterAll(() => rmSync(folder, { recursive: true }));

  function write(text: string): string {
    const file = join(folder, "file");
    writeFileSync(file, text);
    return file;
  }

  it("are what the examples say", async () => {
    const control = await readControlSettings("examples/settings/control.toml");
    expect(control.control.peers).toHaveLength(3);
    const entry = await readEntrySettings("examples/settings/entry.toml");
    expect(entry.entry.controls).toHaveLength(3);
    expect(entry.log.level).toBe("info");
  });

  it("refuse an address that is no number", async () => {
    const file = write("[process]\nname = 'e'\nfailure_domain = 'd'\n[entry]\nlisten = 'localhost:1'\n");
    const failure = await readEntrySettings(file).catch((cause: unknown) => cause);
    expect(failure).toBeInstanceOf(InvalidFile);
    expect((failure as InvalidFile).message).toContain(`${file}:5: entry.listen`);
  });

  it("refuse a secret that is too short to be one", async () => {
    await expect(readSecret(write("short\n"))).rejects.toBeInstanceOf(InvalidFile);
    expect(await readSecret(write("long enough to be one\n"))).toBe("long enough to be one");
  });

  it("tell of a file that is not there", async () => {
    await expect(readControlSettings(join(folder, "missing"))).rejects.toBeInstanceOf(InvalidFile);
  });
});
