import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { InvalidFile } from "../../src/errors";
import { readControlSettings, readEntrySettings, readSecret } from "../../src/settings";

describe("Settings", () => {
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

  it("are read from the example files", async () => {
    const control = await readControlSettings("examples/settings/control.toml");
    expect(control.control.peers).toHaveLength(3);
    const entry = await readEntrySettings("examples/settings/entry.toml");
    expect(entry.entry.controls).toHaveLength(3);
    expect(entry.log.level).toBe("info");
  });

  it("reject an address with a host name instead of an IP address", async () => {
    const file = write("[process]\nname = 'e'\nfailure_domain = 'd'\n[entry]\nlisten = 'localhost:1'\n");
    const failure = await readEntrySettings(file).catch((cause: unknown) => cause);
    expect(failure).toBeInstanceOf(InvalidFile);
    expect((failure as InvalidFile).message).toContain(`${file}:5: entry.listen`);
  });

  it("reject a secret that is shorter than the minimum", async () => {
    await expect(readSecret(write("short\n"))).rejects.toBeInstanceOf(InvalidFile);
    expect(await readSecret(write("long enough to be one\n"))).toBe("long enough to be one");
  });

  it("reject a missing file", async () => {
    await expect(readControlSettings(join(folder, "missing"))).rejects.toBeInstanceOf(InvalidFile);
  });
});
