import fc from "fast-check";
import { describe, expect, it, vi } from "vitest";
import { EventSplitter } from "../../src/gateway/EventSplitter";

function split(
  text: string,
  cuts: readonly number[],
): { events: string[]; ids: (string | undefined)[]; remainder: string } {
  const splitter = new EventSplitter();
  const bytes = Buffer.from(text);
  const bounds = [0, ...[...cuts].sort((a, b) => a - b).map((cut) => cut % (bytes.length + 1)), bytes.length];
  bounds.sort((a, b) => a - b);
  const found = bounds.slice(1).flatMap((end, i) => splitter.addBytes(bytes.subarray(bounds[i]!, end)));
  return {
    events: found.map((event) => event.bytes.toString()),
    ids: found.map((event) => event.id),
    remainder: splitter.takeRemainder().toString(),
  };
}

const line = fc.stringMatching(/^[a-z:0-9 ]{1,12}$/);
const CHUNK_COUNT = 4_000;
const newline = fc.constantFrom("\n", "\r\n");

describe("EventSplitter", () => {
  it("returns the same events however the bytes are split", () => {
    const anyStream = fc.tuple(
      newline,
      fc.array(fc.array(line, { minLength: 1, maxLength: 3 }), { maxLength: 6 }),
      line,
    );
    const property = fc.property(
      anyStream,
      fc.array(fc.nat(500), { maxLength: 20 }),
      ([end, blocks, remainder], cuts) => {
        const events = blocks.map((block) => block.join(end) + end + end);
        const found = split(events.join("") + remainder, cuts);
        expect(found.events).toEqual(events);
        expect(found.remainder).toBe(remainder);
      },
    );
    fc.assert(property, { seed: 20_261_202, numRuns: 500 });
  });

  it("reads the id from any line of an event", () => {
    expect(split("data: x\nid: 7\n\nid:8\ndata: id: 9\n\ndata: no\n\n", []).ids).toEqual([
      "7",
      "8",
      undefined,
    ]);
  });

  it("buffers an endless event without copying it again for each chunk", () => {
    const allocate = vi.spyOn(Buffer, "allocUnsafe");
    const concat = vi.spyOn(Buffer, "concat");
    const splitter = new EventSplitter();
    const chunk = Buffer.alloc(64, "x");
    for (let i = 0; i < CHUNK_COUNT; i++) expect(splitter.addBytes(chunk)).toEqual([]);
    const length = CHUNK_COUNT * chunk.length;
    expect(splitter.remainderLength).toBe(length);
    const allocated = allocate.mock.calls.reduce((sum, [bytes]) => sum + bytes, 0);
    // Doubling the capacity allocates less than four times the stored length in total.
    expect(allocated).toBeLessThan(4 * length);
    expect(concat).not.toHaveBeenCalled();
    vi.restoreAllMocks();
  });

  it("retains an incomplete event", () => {
    const splitter = new EventSplitter();
    expect(splitter.addBytes(Buffer.from("data: a\n"))).toEqual([]);
    expect(splitter.remainderLength).toBe(8);
    expect(splitter.addBytes(Buffer.from("\n")).length).toBe(1);
  });
});
