import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { FrameReader } from "../../src/engine";
import { ForeignAnswer, LostAnswer, MalformedAnswer } from "../../src/errors";
import { GENERATION } from "./generation";

function createLine(offset: number, change: object = {}): string {
  const frame = { request_id: "r", epoch: 3, offset, tokens: 1, text: `t${offset} `, ...change };
  return `${JSON.stringify(frame)}\n`;
}

const LAST = { finish_reason: "stop" };

async function read(chunks: readonly string[], offset = 0) {
  const stream = new PassThrough();
  for (const chunk of chunks) stream.write(chunk);
  stream.end();
  let text = "";
  let failure: unknown;
  try {
    const reader = new FrameReader(stream as unknown as IncomingMessage, "a:1", GENERATION, offset);
    for await (const frames of reader) text += frames.map((frame) => frame.text).join("");
  } catch (cause) {
    failure = cause;
  }
  return { text, failure };
}

describe("FrameReader", () => {
  async function doTest(
    chunks: readonly string[],
    text: string,
    failure?: new (...args: never[]) => unknown,
    offset = 0,
  ) {
    const result = await read(chunks, offset);
    expect(result.text).toBe(text);
    if (failure === undefined) expect(result.failure).toBeUndefined();
    else expect(result.failure).toBeInstanceOf(failure);
  }

  it("reads a complete answer", () => doTest([createLine(0), createLine(1, LAST)], "t0 t1 "));
  it("reads an answer from an offset", () =>
    doTest([createLine(4), createLine(5, LAST)], "t4 t5 ", undefined, 4));
  it("drops duplicate frames", () => doTest([createLine(0), createLine(0), createLine(1, LAST)], "t0 t1 "));
  it("drops frames before its offset", () =>
    doTest([createLine(0), createLine(1, LAST)], "t1 ", undefined, 1));
  it("fails on a gap", () => doTest([createLine(0), createLine(2, LAST)], "t0 ", ForeignAnswer));
  it("fails on a frame of another request", () =>
    doTest([createLine(0), createLine(1, { request_id: "other", ...LAST })], "t0 ", ForeignAnswer));
  it("fails on a frame of another epoch", () => doTest([createLine(0, { epoch: 2 })], "", ForeignAnswer));
  it("fails if the answer ends without a last frame", () =>
    doTest([createLine(0), createLine(1)], "t0 t1 ", LostAnswer));
  it("fails if the last frame is truncated", () =>
    doTest([createLine(0), createLine(1, LAST).slice(0, -5)], "t0 ", LostAnswer));
  it("fails on a line that is not valid JSON", () =>
    doTest([createLine(0), "nonsense\n"], "t0 ", MalformedAnswer));
  it("fails on a frame without text", () =>
    doTest([createLine(0, { text: undefined })], "", MalformedAnswer));
  it("ignores frames after the last one", () => doTest([createLine(0, LAST), createLine(1, LAST)], "t0 "));

  it("returns the same text for any division into chunks", async () => {
    const whole = createLine(0) + createLine(1) + createLine(1) + createLine(2, LAST);
    const cuts = fc.uniqueArray(fc.integer({ min: 1, max: whole.length - 1 }), { maxLength: 6 });
    const property = fc.asyncProperty(cuts, async (points) => {
      const sorted = [0, ...points.sort((a, b) => a - b), whole.length];
      const chunks = sorted.slice(1).map((end, i) => whole.slice(sorted[i], end));
      expect(await read(chunks)).toEqual({ text: "t0 t1 t2 ", failure: undefined });
    });
    await fc.assert(property, { seed: 1, numRuns: 100 });
  });
});
