import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { pino } from "pino";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { LiveSettings, readGatewaySettings } from "../../src/settings";
import { waitUntil } from "../support/waitUntil";

function createText(seeds: readonly string[]): string {
  const list = seeds.map((seed) => `"${seed}"`).join(", ");
  return `[process]\nname = "entry"\nfailure_domain = "d"\n[gateway]\nlisten = "127.0.0.1:1"\nseeds = [${list}]\n`;
}

describe("LiveSettings", () => {
  let folder: string;
  let file: string;
  let live: LiveSettings<Awaited<ReturnType<typeof readGatewaySettings>>>;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "settings-"));
    file = join(folder, "settings.toml");
    await writeFile(file, createText(["127.0.0.1:2"]));
    const logger = pino({ level: "silent" });
    live = new LiveSettings({ file, read: readGatewaySettings, logger }, await readGatewaySettings(file));
    live.start();
  });

  afterEach(async () => {
    live.stop();
    await rm(folder, { recursive: true });
  });

  it("reloads the file on SIGHUP, which does not end the process", async () => {
    await writeFile(file, createText(["127.0.0.1:3"]));
    process.kill(process.pid, "SIGHUP");
    await waitUntil("the seeds change", () => live.current.gateway.seeds[0] === "127.0.0.1:3");
  });

  it("reloads a changed file without a signal", async () => {
    await waitUntil("the seeds change", async () => {
      await writeFile(file, createText(["127.0.0.1:4", "127.0.0.1:5"]));
      return live.current.gateway.seeds.length === 2;
    });
  });

  it("keeps the current settings if the file is invalid", async () => {
    await writeFile(file, "[gateway");
    await live.reload("signal");
    expect(live.current.gateway.seeds).toEqual(["127.0.0.1:2"]);
  });
});
