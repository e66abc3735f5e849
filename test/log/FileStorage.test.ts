import {
  appendFileSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  statSync,
  truncateSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { create } from "@bufbuild/protobuf";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createMembership } from "../../src/consensus";
import { DamagedData, ForeignData } from "../../src/errors";
import {
  HardStateSchema,
  type LogEntry,
  LogEntrySchema,
  SnapshotSchema,
} from "../../src/gen/ploverstage/v1/consensus_pb";
import { FileStorage } from "../../src/log";

function createEntry(index: number, term = 1): LogEntry {
  const command = new TextEncoder().encode(`command ${index} of term ${term}`);
  return create(LogEntrySchema, { index, term, body: { case: "command", value: command } });
}

function createSnapshot(index: number, term = 1) {
  const state = new TextEncoder().encode(`state ${index}`);
  return create(SnapshotSchema, { index, term, membership: createMembership([]), state });
}

function createHardState(term: number, vote = "") {
  return create(HardStateSchema, { term, vote });
}

describe("FileStorage", () => {
  let folder: string;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), "ploverstage-storage-"));
    await FileStorage.create(folder, "a.0", undefined);
  });
  afterEach(() => rmSync(folder, { recursive: true }));

  async function write(...batches: { term?: number; entries: LogEntry[] }[]) {
    const { storage } = await FileStorage.open(folder);
    for (const { term, entries } of batches) {
      await storage.writeBatch({
        hardState: term === undefined ? undefined : createHardState(term, "b"),
        entries,
      });
    }
    await storage.close();
  }

  async function read() {
    const { storage, stored } = await FileStorage.open(folder);
    await storage.close();
    return stored;
  }

  function getLogPath() {
    return join(folder, readdirSync(folder).find((name) => name.startsWith("log-"))!);
  }

  describe("open", () => {
    it("reads the batches that were written", async () => {
      await write({ term: 3, entries: [createEntry(1), createEntry(2)] }, { entries: [createEntry(3, 3)] });
      const stored = await read();
      expect(stored.memberId).toBe("a.0");
      expect(stored.hardState).toMatchObject({ term: 3, vote: "b" });
      expect(stored.entries.map((entry) => [entry.index, entry.term])).toEqual([
        [1, 1],
        [2, 1],
        [3, 3],
      ]);
    });

    it("replaces entries that a later batch overwrites", async () => {
      await write(
        { entries: [createEntry(1), createEntry(2), createEntry(3)] },
        { entries: [createEntry(2, 5)] },
      );
      expect((await read()).entries.map((entry) => entry.term)).toEqual([1, 5]);
    });

    it("truncates a last batch that was torn at any length, and appends after the truncation", async () => {
      await write({ entries: [createEntry(1)] });
      const whole = statSync(getLogPath()).size;
      await write({ entries: [createEntry(2)] });
      const bytes = readFileSync(getLogPath());
      for (let length = whole; length < bytes.length; length++) {
        writeFileSync(getLogPath(), bytes.subarray(0, length));
        expect((await read()).entries).toHaveLength(1);
        expect(statSync(getLogPath()).size).toBe(whole);
      }
      await write({ entries: [createEntry(2, 9)] });
      expect((await read()).entries.map((entry) => entry.term)).toEqual([1, 9]);
    });

    it("truncates a last batch whose pages were never written", async () => {
      await write({ entries: [createEntry(1)] });
      appendFileSync(getLogPath(), Buffer.alloc(4_096));
      expect((await read()).entries).toHaveLength(1);
    });

    it("refuses a log with a damaged batch before a good one", async () => {
      await write({ entries: [createEntry(1)] }, { entries: [createEntry(2)] });
      const bytes = readFileSync(getLogPath());
      bytes[20]! ^= 1;
      writeFileSync(getLogPath(), bytes);
      await expect(FileStorage.open(folder)).rejects.toBeInstanceOf(DamagedData);
    });

    it("refuses a damaged snapshot", async () => {
      const { storage } = await FileStorage.open(folder);
      await storage.writeSnapshot(createSnapshot(4), createHardState(1), []);
      await storage.close();
      truncateSync(join(folder, "snapshot-4"), 30);
      await expect(FileStorage.open(folder)).rejects.toBeInstanceOf(DamagedData);
    });

    it("refuses a folder with data but no identity", async () => {
      await write({ entries: [createEntry(1)] });
      rmSync(join(folder, "identity"));
      await expect(FileStorage.open(folder)).rejects.toBeInstanceOf(ForeignData);
    });
  });

  describe("create", () => {
    it("refuses a folder that already belongs to a member", async () => {
      await expect(FileStorage.create(folder, "b.0", undefined)).rejects.toBeInstanceOf(ForeignData);
    });
  });

  describe("writeSnapshot", () => {
    it("retains the tail and the hard state, and deletes the older files", async () => {
      const { storage } = await FileStorage.open(folder);
      await storage.writeBatch({
        hardState: undefined,
        entries: [createEntry(1), createEntry(2), createEntry(3)],
      });
      await storage.writeSnapshot(createSnapshot(2), createHardState(7, "c"), [createEntry(3)]);
      await storage.writeBatch({ hardState: undefined, entries: [createEntry(4)] });
      await storage.close();
      const stored = await read();
      expect(stored.snapshot).toMatchObject({ index: 2, term: 1 });
      expect(stored.hardState).toMatchObject({ term: 7, vote: "c" });
      expect(stored.entries.map((entry) => entry.index)).toEqual([3, 4]);
      expect(readdirSync(folder).sort()).toEqual(["identity", "log-1", "snapshot-2"]);
    });

    it("leaves a readable folder when the process ends between writing the snapshot and the new log", async () => {
      await write({ term: 2, entries: [createEntry(1), createEntry(2), createEntry(3)] });
      const log = readFileSync(getLogPath());
      const { storage } = await FileStorage.open(folder);
      await storage.writeSnapshot(createSnapshot(2), createHardState(2), [createEntry(3)]);
      await storage.close();
      rmSync(join(folder, "log-1"));
      writeFileSync(join(folder, "log-0"), log);
      expect((await read()).entries.map((entry) => entry.index)).toEqual([3]);
    });

    it("drops entries that do not continue a snapshot from another member", async () => {
      await write({ term: 2, entries: [createEntry(1), createEntry(2), createEntry(3)] });
      const log = readFileSync(getLogPath());
      const { storage } = await FileStorage.open(folder);
      await storage.writeSnapshot(createSnapshot(2, 9), createHardState(9), []);
      await storage.close();
      rmSync(join(folder, "log-1"));
      writeFileSync(join(folder, "log-0"), log);
      expect((await read()).entries).toEqual([]);
    });
  });
});
