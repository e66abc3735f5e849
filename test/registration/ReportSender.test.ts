import { create, toBinary } from "@bufbuild/protobuf";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { UnreachableControl } from "../../src/errors";
import {
  type EntryEndpoint,
  EntryEndpointSchema,
  InstanceReportSchema,
  type ReportRequest,
  SuspicionSchema,
} from "../../src/gen/ploverstage/v1/fleet_pb";
import { EntryRoster } from "../../src/registration/EntryRoster";
import { ReportRelay } from "../../src/registration/ReportRelay";
import { ReportSender } from "../../src/registration/ReportSender";
import { SuspicionQueue } from "../../src/registration/SuspicionQueue";
import { waitUntil } from "../support/waitUntil";

const ENTRY: EntryEndpoint = create(EntryEndpointSchema, { address: "127.0.0.1:1", failureDomain: "a" });

/** Tells whoever is taken for the leader. */
type LeaderTelling = (leader: object) => Promise<unknown>;

describe("ReportSender", () => {
  let requests: ReportRequest[];
  let answer: { term: number; unknownInstanceIds: string[] } | undefined;
  let relay: ReportRelay;
  let entries: EntryRoster;
  let suspicions: SuspicionQueue;
  let sender: ReportSender;
  let warnings: number;
  let calls: number;
  let dropped: string[];
  let onRequest: (request: ReportRequest) => void;
  let onAnswer: () => Promise<void>;
  let findLeader: (call: LeaderTelling) => Promise<unknown>;

  beforeEach(() => {
    requests = [];
    warnings = 0;
    dropped = [];
    onRequest = () => {};
    onAnswer = () => Promise.resolve();
    answer = { term: 1, unknownInstanceIds: [] };
    relay = new ReportRelay();
    entries = new EntryRoster();
    suspicions = new SuspicionQueue(500);
    calls = 0;
    const leader = {
      async *relay(told: AsyncIterable<ReportRequest>) {
        calls += 1;
        for await (const request of told) {
          requests.push(request);
          onRequest(request);
          await onAnswer();
          if (answer === undefined) throw new UnreachableControl({ tried: [], reason: "it is cut off" });
          yield answer;
        }
      },
    };
    findLeader = (call) => call(leader);
    sender = new ReportSender({
      relay,
      entries,
      suspicions,
      client: { call: (call: LeaderTelling) => findLeader(call) } as never,
      getLeadership: () => undefined,
      isLeaderKnown: () => true,
      publicAddress: "127.0.0.9:1",
      clock: { getMonotonicMs: () => performance.now(), getWallMs: () => Date.now() },
      logger: {
        warn: () => warnings++,
        error: ({ instance }: { instance: string }) => dropped.push(instance),
      } as never,
    });
  });

  afterEach(() => sender.stop());

  function addReport(sequence: number): void {
    relay.addReport(performance.now(), create(InstanceReportSchema, { instanceId: "i", sequence }));
  }

  it("tells entries once, again when they change, and again to another leader", async () => {
    entries.addEntry("e", ENTRY);
    await sender.sendNow();
    await sender.sendNow();
    entries.removeEntry("e");
    await sender.sendNow();
    answer = { term: 2, unknownInstanceIds: [] };
    await sender.sendNow();
    await sender.sendNow();
    const told = requests.map((request) => request.entries?.entries.map((entry) => entry.address));
    expect(told).toEqual([["127.0.0.1:1"], undefined, [], undefined, []]);
  });

  it("drops just the report that can't be told, and tells the others", async () => {
    const tell = answer;
    const encode = (request: ReportRequest) => {
      for (const report of request.reports) toBinary(InstanceReportSchema, report);
    };
    onRequest = encode;
    relay.addReport(0, create(InstanceReportSchema, { instanceId: "odd", sequence: 1, slots: 1.5 }));
    addReport(1);
    await sender.sendNow();
    expect(dropped).toEqual(["odd"]);
    answer = tell;
    await sender.sendNow();
    expect(requests.at(-1)?.reports.map(({ instanceId }) => instanceId)).toEqual(["i"]);
  });

  it("keeps what could not be told, logs the loss once, and rejects nobody who waits", async () => {
    answer = undefined;
    addReport(1);
    await Promise.all([sender.sendNow(), sender.sendNow(), sender.sendNow()]);
    expect(warnings).toBe(1);
    answer = { term: 1, unknownInstanceIds: [] };
    await sender.sendNow();
    expect(requests.at(-1)?.reports.map((report) => report.instanceId)).toEqual(["i"]);
  });

  it("tells what entries saw of targets with the next report, and again when that was lost", async () => {
    suspicions.add(performance.now(), create(SuspicionSchema, { targetId: "t" }));
    answer = undefined;
    await sender.sendNow();
    answer = { term: 1, unknownInstanceIds: [] };
    await sender.sendNow();
    await sender.sendNow();
    const told = requests.map((request) => request.suspicions.map(({ targetId }) => targetId));
    expect(told).toEqual([["t"], ["t"], []]);
  });

  it("tells the leader over one call for as long as that lasts, and over another one after it has failed", async () => {
    for (let i = 0; i < 3; i++) await sender.sendNow();
    expect(calls).toBe(1);
    const tell = answer;
    answer = undefined;
    await sender.sendNow();
    answer = tell;
    for (let i = 0; i < 3; i++) await sender.sendNow();
    expect(calls).toBe(2);
    expect(requests).toHaveLength(7);
  });

  it("goes on over the call to a new leader when the one to the old leader ends", async () => {
    const told: string[] = [];
    let callsToNew = 0;
    const old = {
      async *relay(_: unknown, { signal }: { signal: AbortSignal }) {
        yield* [];
        await new Promise((_resolve, reject) =>
          signal.addEventListener("abort", () => reject(signal.reason)),
        );
      },
    };
    const next = {
      async *relay(requests: AsyncIterable<ReportRequest>) {
        callsToNew += 1;
        for await (const request of requests) {
          told.push(request.relayAddress);
          yield { term: 2, unknownInstanceIds: [] };
        }
      },
    };
    // As a client does that learns of a new leader while the old one has not answered.
    let isFirst = true;
    findLeader = async (call) => {
      if (isFirst) call(old).catch(() => {});
      isFirst = false;
      await new Promise((resolve) => setImmediate(resolve));
      return call(next);
    };
    for (let i = 0; i < 3; i++) await sender.sendNow();
    expect(told).toHaveLength(3);
    expect(callsToNew).toBe(1);
  });

  it("counts a leader as not told while its answer is late, and no more once it came", async () => {
    let answerNow: () => void = () => {};
    onAnswer = () =>
      new Promise((resolve) => {
        answerNow = resolve;
      });
    const sending = sender.sendNow();
    await waitUntil("the leader is told", () => requests.length === 1);
    const now = performance.now();
    expect(sender.getFailingMs(now)).toBe(0);
    expect(sender.getFailingMs(now + 1_500)).toBeGreaterThan(800);
    answerNow();
    await sending;
    expect(sender.getFailingMs(now + 1_500)).toBe(0);
  });

  it("tells what is new without being asked twice", async () => {
    addReport(1);
    sender.sendSoon();
    sender.sendSoon();
    await waitUntil("it is told", () => requests.length === 1);
    expect(requests[0]?.reports).toHaveLength(1);
  });
});
