import { create } from "@bufbuild/protobuf";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { BurnRecorder } from "../../src/burn";
import { ClusterView } from "../../src/entry/ClusterView";
import { LeaseKeeper } from "../../src/entry/LeaseKeeper";
import { UnreachableControl } from "../../src/errors";
import { RenewResponseSchema } from "../../src/gen/ploverstage/v1/control_pb";
import { EntryId } from "../../src/ids";
import type { Logger } from "../../src/metrics";

/** Pause after a successful renewal while there is no configuration. */
const DEFAULT_RENEW_INTERVAL_MS = 500;

describe("LeaseKeeper", () => {
  let answers: ("granted" | "failed")[];
  let calls: number;
  let keeper: LeaseKeeper;

  beforeEach(() => {
    vi.useFakeTimers();
    calls = 0;
    const client = {
      call: () => {
        calls += 1;
        if (answers.shift() === "failed") {
          return Promise.reject(new UnreachableControl({ tried: [], reason: "no control process leads" }));
        }
        return Promise.resolve(create(RenewResponseSchema, { leaseMs: 1_000, term: 1 }));
      },
    };
    keeper = new LeaseKeeper({
      entryId: EntryId("entry-0.1"),
      entryName: "entry-0",
      callerAddress: "127.0.0.1:1",
      failureDomain: "a",
      client: client as never,
      view: new ClusterView(),
      burn: new BurnRecorder(),
      clock: { getMonotonicMs: () => Date.now(), getWallMs: () => Date.now() },
      logger: { info: () => {}, warn: () => {} } as unknown as Logger,
      getReport: () => ({ inFlight: [], queued: 0 }),
      onChange: () => {},
    });
  });

  afterEach(async () => {
    const ended = keeper.end();
    await vi.runAllTimersAsync();
    await ended;
    vi.useRealTimers();
  });

  it("renews again soon after a failed renewal, because the lease is still running out", async () => {
    answers = ["granted", "failed", "failed"];
    keeper.start();
    await vi.advanceTimersByTimeAsync(DEFAULT_RENEW_INTERVAL_MS + 1);
    expect(calls).toBe(2);
    await vi.advanceTimersByTimeAsync(100);
    expect(calls).toBeGreaterThanOrEqual(4);
  });

  it("waits for the default renewal interval after a successful renewal", async () => {
    answers = [];
    keeper.start();
    await vi.advanceTimersByTimeAsync(DEFAULT_RENEW_INTERVAL_MS - 1);
    expect(calls).toBe(1);
    await vi.advanceTimersByTimeAsync(2);
    expect(calls).toBe(2);
  });
});
