import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { create } from "@bufbuild/protobuf";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EntryEndpointSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { KnownEntries } from "../../src/registration/KnownEntries";
import { waitUntil } from "../support/waitUntil";

const ENTRY = create(EntryEndpointSchema, { address: "127.0.0.1:1", failureDomain: "a" });

describe("KnownEntries", () => {
  let folder: string;
  let events: string[];
  const logger = { warn: ({ event }: { event: string }) => events.push(event) } as never;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "entries-"));
    events = [];
  });
  afterEach(() => rmSync(folder, { recursive: true, force: true }));

  it("gives after a restart what was known last, and keeps it while nothing is known", async () => {
    const known = await KnownEntries.open(folder, logger);
    expect(known.entries).toEqual([]);
    let entries = [ENTRY];
    known.start(() => entries);
    await waitUntil(
      "they are kept",
      async () => (await KnownEntries.open(folder, logger)).entries.length === 1,
    );
    entries = [];
    known.stop();
    expect((await KnownEntries.open(folder, logger)).entries).toEqual([ENTRY]);
  });

  it("takes a damaged file for none, and goes on when it can't be written", async () => {
    for (const text of ["", "[{", '[{"address":1}]', "{}"]) {
      writeFileSync(join(folder, "entries.json"), text);
      expect((await KnownEntries.open(folder, logger)).entries).toEqual([]);
    }
    rmSync(folder, { recursive: true });
    const known = await KnownEntries.open(folder, logger);
    known.start(() => [ENTRY]);
    await waitUntil("it is told", () => events.includes("entries_not_kept"));
    expect(known.entries).toEqual([ENTRY]);
    known.stop();
  });
});
