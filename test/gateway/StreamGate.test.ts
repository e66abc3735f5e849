import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type AdmissionRequest, type StreamAdmission, StreamGate } from "../../src/gateway/StreamGate";

const OBJECTIVE_MS = 200;
const TIME_MS = 5_000;

describe("StreamGate", () => {
  let gate: StreamGate;
  let order: string[];

  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
    gate = new StreamGate({ getMonotonicMs: () => Date.now(), getWallMs: () => Date.now() }, () => 32);
    order = [];
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function createRequest(model = "m"): AdmissionRequest {
    const now = Date.now();
    return {
      service: "s",
      model,
      arrivedAt: now,
      objectiveMs: OBJECTIVE_MS,
      deadlineAt: now + TIME_MS,
      callerTimeoutMs: TIME_MS,
    };
  }

  async function enter(
    name: string,
    signal = new AbortController().signal,
  ): Promise<StreamAdmission | undefined> {
    const admission = await gate.enter(createRequest(), signal);
    order.push(admission === undefined ? `${name} refused` : name);
    return admission;
  }

  /** Reduces the window to three streams and fills it. */
  async function fillWindow(): Promise<StreamAdmission> {
    for (let i = 0; i < 30; i++) {
      const admission = await gate.enter(createRequest(), new AbortController().signal);
      await vi.advanceTimersByTimeAsync(OBJECTIVE_MS * 2);
      admission!.addFirstEvent();
    }
    const admissions = [];
    for (let i = 0; i < 3; i++)
      admissions.push((await gate.enter(createRequest(), new AbortController().signal))!);
    return admissions[0]!;
  }

  it("admits streams that can meet their objective first, the oldest before the others, then the late ones", async () => {
    const first = await fillWindow();
    const admissions = [enter("late")];
    await vi.advanceTimersByTimeAsync(OBJECTIVE_MS);
    admissions.push(enter("fresh 1"));
    await vi.advanceTimersByTimeAsync(20);
    admissions.push(enter("fresh 2"));
    await vi.advanceTimersByTimeAsync(20);
    expect(gate.waitingCount).toBe(3);
    first.end();
    first.end();
    await vi.advanceTimersByTimeAsync(0);
    expect(order).toEqual(["fresh 1"]);
    (await admissions[1])!.end();
    (await admissions[2])!.end();
    await admissions[0];
    expect(order).toEqual(["fresh 1", "fresh 2", "late"]);
  });

  it("refuses a stream that waited for too long, whose caller disconnected, or that is queued when the entry stops", async () => {
    await fillWindow();
    const caller = new AbortController();
    const waiting = [enter("too long"), enter("left", caller.signal)];
    caller.abort();
    await waiting[1];
    await vi.advanceTimersByTimeAsync(TIME_MS / 2);
    expect(order).toEqual(["left refused", "too long refused"]);
    const stopped = enter("stopped");
    gate.refuseAll();
    await stopped;
    expect(order.at(-1)).toBe("stopped refused");
    expect(gate.waitingCount).toBe(0);
  });

  it("does not delay a stream because another model's window is full", async () => {
    await fillWindow();
    const admission = await gate.enter(createRequest("other"), new AbortController().signal);
    expect(admission).toBeDefined();
  });
});
