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

/** Sends a request to the process that counts as the leader. */
type LeaderCall = (leader: object) => Promise<unknown>;

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
  let findLeader: (call: LeaderCall) => Promise<unknown>;

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
      async *relay(requestStream: AsyncIterable<ReportRequest>) {
        calls += 1;
        for await (const request of requestStream) {
          requests.push(request);
          onRequest(request);
          await onAnswer();
          if (answer === undefined)
            throw new UnreachableControl({ tried: [], reason: "the leader is partitioned" });
          yield answer;
        }
      },
    };
    findLeader = (call) => call(leader);
    sender = new ReportSender({
      relay,
      entries,
      suspicions,
      client: { call: (call: LeaderCall) => findLeader(call) } as never,
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

  it("sends the entries once, again when they change, and again to a new leader", async () => {
    entries.addEntry("e", ENTRY);
    await sender.sendNow();
    await sender.sendNow();
    entries.removeEntry("e");
    await sender.sendNow();
    answer = { term: 2, unknownInstanceIds: [] };
    await sender.sendNow();
    await sender.sendNow();
    const sentEntries = requests.map((request) => request.entries?.entries.map((entry) => entry.address));
    expect(sentEntries).toEqual([["127.0.0.1:1"], undefined, [], undefined, []]);
  });

  it("drops only the report that can't be encoded, and sends the others", async () => {
    const usualAnswer = answer;
    const encode = (request: ReportRequest) => {
      for (const report of request.reports) toBinary(InstanceReportSchema, report);
    };
    onRequest = encode;
    relay.addReport(0, create(InstanceReportSchema, { instanceId: "odd", sequence: 1, slots: 1.5 }));
    addReport(1);
    await sender.sendNow();
    expect(dropped).toEqual(["odd"]);
    answer = usualAnswer;
    await sender.sendNow();
    expect(requests.at(-1)?.reports.map(({ instanceId }) => instanceId)).toEqual(["i"]);
  });

  it("sends reports again after a failure, logs consecutive failures once, and rejects no waiting caller", async () => {
    answer = undefined;
    addReport(1);
    await Promise.all([sender.sendNow(), sender.sendNow(), sender.sendNow()]);
    expect(warnings).toBe(1);
    answer = { term: 1, unknownInstanceIds: [] };
    await sender.sendNow();
    expect(requests.at(-1)?.reports.map((report) => report.instanceId)).toEqual(["i"]);
  });

  it("sends suspicions with the next request, and again when that request was lost", async () => {
    suspicions.add(performance.now(), create(SuspicionSchema, { targetId: "t" }));
    answer = undefined;
    await sender.sendNow();
    answer = { term: 1, unknownInstanceIds: [] };
    await sender.sendNow();
    await sender.sendNow();
    const sentTargets = requests.map((request) => request.suspicions.map(({ targetId }) => targetId));
    expect(sentTargets).toEqual([["t"], ["t"], []]);
  });

  it("sends all requests over one call, and opens another one after it has failed", async () => {
    for (let i = 0; i < 3; i++) await sender.sendNow();
    expect(calls).toBe(1);
    const usualAnswer = answer;
    answer = undefined;
    await sender.sendNow();
    answer = usualAnswer;
    for (let i = 0; i < 3; i++) await sender.sendNow();
    expect(calls).toBe(2);
    expect(requests).toHaveLength(7);
  });

  it("continues over the call to a new leader when the call to the old leader ends", async () => {
    const relayAddresses: string[] = [];
    let callsToNewLeader = 0;
    const oldLeader = {
      async *relay(_: unknown, { signal }: { signal: AbortSignal }) {
        yield* [];
        await new Promise((_resolve, reject) =>
          signal.addEventListener("abort", () => reject(signal.reason)),
        );
      },
    };
    const newLeader = {
      async *relay(requests: AsyncIterable<ReportRequest>) {
        callsToNewLeader += 1;
        for await (const request of requests) {
          relayAddresses.push(request.relayAddress);
          yield { term: 2, unknownInstanceIds: [] };
        }
      },
    };
    // Models a client that learns of a new leader before the old one has answered.
    let isFirst = true;
    findLeader = async (call) => {
      if (isFirst) call(oldLeader).catch(() => {});
      isFirst = false;
      await new Promise((resolve) => setImmediate(resolve));
      return call(newLeader);
    };
    for (let i = 0; i < 3; i++) await sender.sendNow();
    expect(relayAddresses).toHaveLength(3);
    expect(callsToNewLeader).toBe(1);
  });

  it("counts the leader as failing while its answer is late, and no longer once the answer arrives", async () => {
    let answerNow: () => void = () => {};
    onAnswer = () =>
      new Promise((resolve) => {
        answerNow = resolve;
      });
    const sending = sender.sendNow();
    await waitUntil("the leader receives the request", () => requests.length === 1);
    const now = performance.now();
    expect(sender.getFailingMs(now)).toBe(0);
    expect(sender.getFailingMs(now + 1_500)).toBeGreaterThan(800);
    answerNow();
    await sending;
    expect(sender.getFailingMs(now + 1_500)).toBe(0);
  });

  it("sends one request for several calls of sendSoon", async () => {
    addReport(1);
    sender.sendSoon();
    sender.sendSoon();
    await waitUntil("the request is sent", () => requests.length === 1);
    expect(requests[0]?.reports).toHaveLength(1);
  });
});
