import { create } from "@bufbuild/protobuf";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type AnswerSource, AttemptRace } from "../../src/gateway/AttemptRace";
import { TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";

const EVENTS = 3;
const IDLE_TIMEOUT_MS = 200;
const MAX_PAUSE_MS = 1_000;

/** Behaviour of an endpoint: its pause before each event and before the end. */
interface Script {
  readonly pausesMs: readonly number[];
  /** Index of the pause after which the endpoint breaks off; 0 refuses, `undefined` completes. */
  readonly breaksAt: number | undefined;
}

/** Behaviour of endpoints, caller and retry budget in one run. */
interface Scenario {
  readonly scripts: readonly Script[];
  readonly retries: number;
  /** Time that the caller takes to process each part. */
  readonly processingMs: number;
}

/** A part: the number of an event, or the end. */
type Part = number | "end";

/** One attempt at a scripted endpoint. */
class ScriptedSource implements AnswerSource<Part> {
  readonly target = create(TargetSchema);
  lastActivityAt: number;
  /** How the attempt ended; `undefined` while it is in progress. */
  end: "left" | "broke off" | "whole" | undefined;
  /** When the attempt was abandoned. */
  abandonedAt: number | undefined;
  /** When the attempt returned parts. */
  readonly returnedAt: number[] = [];
  private readonly _script: Script;
  private _last: number;
  private _isReading = false;

  constructor(script: Script, last: number) {
    this._script = script;
    this._last = last;
    this.lastActivityAt = performance.now();
  }

  async next(): Promise<Part | undefined> {
    // The race must not call `next` concurrently, since a connection has only one reader.
    expect(this._isReading).toBe(false);
    this._isReading = true;
    const step = this._last;
    await new Promise((resolve) => setTimeout(resolve, this._script.pausesMs[step]));
    this._isReading = false;
    if (this.end === "left") return undefined;
    if (this._script.breaksAt !== undefined && step >= this._script.breaksAt) {
      this.end = "broke off";
      return undefined;
    }
    this.lastActivityAt = performance.now();
    this.returnedAt.push(this.lastActivityAt);
    if (step === EVENTS) {
      this.end = "whole";
      return "end";
    }
    this._last += 1;
    return this._last;
  }

  abandon(): void {
    this.end = "left";
    this.abandonedAt = performance.now();
  }
}

/** Runs a request against scripted endpoints. */
async function runScenario({ scripts, retries, processingMs }: Scenario) {
  const sources: ScriptedSource[] = [];
  const events: number[] = [];
  let retriesLeft = retries;
  const open = () => {
    const script = scripts[sources.length];
    if (script === undefined) return undefined;
    const source = new ScriptedSource(script, events.at(-1) ?? 0);
    sources.push(source);
    return source;
  };
  const takeRetry = () => retriesLeft-- > 0;
  const race = new AttemptRace<Part>({
    getNow: () => performance.now(),
    openNext: async () => (sources.length === 0 || takeRetry() ? open() : undefined),
    openHedge: (_idle, idleMs) => (idleMs > IDLE_TIMEOUT_MS && takeRetry() ? open() : undefined),
  });
  let isWhole = false;
  for (let part = await race.next(); part !== undefined; part = await race.next()) {
    if (part === "end") {
      isWhole = true;
      break;
    }
    events.push(part);
    await new Promise((resolve) => setTimeout(resolve, processingMs));
  }
  race.close();
  return { sources, events, isWhole };
}

const pauseMs = fc.integer({ min: 0, max: MAX_PAUSE_MS });
const script: fc.Arbitrary<Script> = fc.record({
  pausesMs: fc.array(pauseMs, { minLength: EVENTS + 1, maxLength: EVENTS + 1 }),
  breaksAt: fc.option(fc.integer({ min: 0, max: EVENTS }), { nil: undefined }),
});
const anyScenario: fc.Arbitrary<Scenario> = fc.record({
  scripts: fc.array(script, { minLength: 1, maxLength: 3 }),
  retries: fc.integer({ min: 0, max: 2 }),
  processingMs: fc.constantFrom(0, MAX_PAUSE_MS),
});

describe("AttemptRace", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  async function run(scripted: Scenario) {
    const running = runScenario(scripted);
    await vi.runAllTimersAsync();
    return running;
  }

  it("loses no answer that an endpoint would have completed and returns each event once, for any timing", async () => {
    const property = fc.asyncProperty(anyScenario, async (scripted) => {
      const { sources, events, isWhole } = await run(scripted);
      expect(events).toEqual(Array.from({ length: events.length }, (_, i) => i + 1));
      if (isWhole) expect(events.length).toBe(EVENTS);
      // When the answer is incomplete, every attempt that was not abandoned broke off.
      const last = sources.filter(({ end }) => end !== "left");
      if (!isWhole) expect(last.every(({ end }) => end === "broke off")).toBe(true);
      // An attempt is only abandoned when another one has just produced output.
      for (const { abandonedAt } of sources.filter(({ end }) => end === "left")) {
        expect(sources.some(({ returnedAt }) => returnedAt.includes(abandonedAt!))).toBe(true);
      }
      expect(sources.filter(({ end }) => end === undefined)).toEqual([]);
      expect(sources.length).toBeLessThanOrEqual(1 + scripted.retries);
    });
    await fc.assert(property, { seed: 20_261_204, numRuns: 2_000 });
  });

  it("waits for an idle endpoint when no retry is left", async () => {
    const idle = { pausesMs: [10, MAX_PAUSE_MS, 10, 10], breaksAt: undefined };
    const { isWhole, sources } = await run({ scripts: [idle, idle], retries: 0, processingMs: 0 });
    expect(isWhole).toBe(true);
    expect(sources.length).toBe(1);
  });

  it("continues with an idle endpoint when the hedge fails", async () => {
    const idle = { pausesMs: [10, MAX_PAUSE_MS, 10, 10], breaksAt: undefined };
    const refusing = { pausesMs: [10, 10, 10, 10], breaksAt: 0 };
    const { isWhole, sources } = await run({ scripts: [idle, refusing], retries: 1, processingMs: 0 });
    expect(isWhole).toBe(true);
    expect(sources.map(({ end }) => end)).toEqual(["whole", "broke off"]);
  });

  it("abandons an idle attempt when the hedge produces output, and the hedge when the primary attempt resumes", async () => {
    const idle = { pausesMs: [10, MAX_PAUSE_MS, 10, 10], breaksAt: undefined };
    const quick = { pausesMs: [10, 10, 10, 10], breaksAt: undefined };
    const replaced = await run({ scripts: [idle, quick], retries: 1, processingMs: 0 });
    expect(replaced.sources.map(({ end }) => end)).toEqual(["left", "whole"]);
    const late = { pausesMs: [10, MAX_PAUSE_MS, 10, 10], breaksAt: undefined };
    const continued = await run({ scripts: [idle, late], retries: 1, processingMs: 0 });
    expect(continued.sources.map(({ end }) => end)).toEqual(["whole", "left"]);
  });

  it("does not count the time in which the caller processes a part as idle", async () => {
    const steady = { pausesMs: [10, 10, 10, 10], breaksAt: undefined };
    const { sources } = await run({ scripts: [steady, steady], retries: 1, processingMs: MAX_PAUSE_MS });
    expect(sources.length).toBe(1);
  });
});
