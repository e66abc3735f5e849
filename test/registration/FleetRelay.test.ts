/**
 * Guards against a partitioned control process that keeps its entries for too long. A connected entry must receive
 * an acknowledged change within 3 s after a partition begins. If the partitioned process publishes its view for all
 * of these 3 s, or counts them from the end of its leadership instead of the last answer of a majority, the entry
 * has no time left to switch to another process.
 *
 * Without the shorter times an entry stays with a partitioned leader for 3.5 s and finds another control process
 * 0.4 s later, which sends it sixteen versions at once. In two runs of two an entry refused with 404, 3 s after the
 * partition began, a route of a version that had been acknowledged 2.3 s before.
 */
import { create } from "@bufbuild/protobuf";
import { beforeEach, describe, expect, it, vi } from "vitest";
import {
  EntryEndpointSchema,
  EntryListSchema,
  SuspicionSchema,
  ViewUpdateSchema,
} from "../../src/gen/ploverstage/v1/fleet_pb";
import { FleetRelay } from "../../src/registration/FleetRelay";
import { FleetView } from "../../src/registration/FleetView";
import { TransportPool } from "../../src/rpc";
import { StateMachine } from "../../src/state";

/**
 * Time after a partition begins within which connected entries must receive an acknowledged change,
 * milliseconds.
 */
const CONTACT_MS = 3_000;
/** Maximum interval at which a watch call checks whether the process may still publish a view. */
const WATCH_HEARTBEAT_MS = 300;
/** An entry that searches may call one more partitioned process before it receives all changes. */
const SEARCH_MS = 700;
/** Maximum time for which a process may publish the view of a leader from which it receives nothing. */
const PARTITIONED_MS = CONTACT_MS - WATCH_HEARTBEAT_MS - SEARCH_MS;
/** Time after which a leader without answers steps down. */
const STEP_DOWN_MS = 1_000;
/** Longer than an election among members that answer. */
const ELECTION_MS = 1_400;

/** The view that the process published before it started; its entry may have been removed. */
const recovered = create(ViewUpdateSchema, {
  entries: create(EntryListSchema, { entries: [create(EntryEndpointSchema, { address: "127.0.0.1:3" })] }),
});

describe("FleetRelay without contact with a leader", () => {
  let now: number;
  let isLeading: boolean;
  let isElecting: boolean;
  let leaderId: string;
  let quorumContactAt: number;
  let consensusContactAt: number | undefined;
  let relay: FleetRelay;

  beforeEach(() => {
    now = 10_000;
    isLeading = true;
    isElecting = false;
    leaderId = "this";
    quorumContactAt = now;
    consensusContactAt = undefined;
    const node = {
      id: "this",
      term: 3,
      get leaderId() {
        return leaderId;
      },
      isElecting: () => isElecting,
      getQuorumContactAt: () => quorumContactAt,
    };
    const leadership = { term: 3, view: new FleetView() };
    relay = new FleetRelay({
      driver: {
        node,
        isLeader: () => isLeading,
        getLeaderAddress: () => "",
        getCaughtUpContactAt: () => consensusContactAt,
        machine: new StateMachine(),
      } as never,
      getLeadership: () => (isLeading ? (leadership as never) : undefined),
      getSeeds: () => [],
      listen: "127.0.0.1:1",
      publicAddress: "127.0.0.1:2",
      transports: new TransportPool(undefined),
      recovered,
      isFirstStart: true,
      clock: { getMonotonicMs: () => now, getWallMs: () => now },
      logger: { info: () => {}, warn: () => {} } as never,
      getReportTimeoutMs: () => 300,
    });
  });

  function publishesView(at: number): boolean {
    now = at;
    return relay.hub.getSource() !== undefined;
  }

  it("stops publishing early enough for its entries to find another process, counted from the last answer of a majority when it led before", () => {
    const partitionedAt = now;
    // It leads until it detects that the majority is missing, and publishes its view meanwhile.
    for (let at = partitionedAt; at < partitionedAt + STEP_DOWN_MS; at += WATCH_HEARTBEAT_MS) {
      expect(publishesView(at)).toBe(true);
    }
    isLeading = false;
    leaderId = "";
    expect(publishesView(partitionedAt + STEP_DOWN_MS)).toBe(true);
    expect(publishesView(partitionedAt + PARTITIONED_MS)).toBe(false);
  });

  it("keeps its entries during an election and until the new leader's view arrives", () => {
    const failedAt = now;
    expect(publishesView(failedAt)).toBe(true);
    isLeading = false;
    leaderId = "";
    isElecting = true;
    for (let at = failedAt; at <= failedAt + ELECTION_MS; at += WATCH_HEARTBEAT_MS) {
      expect(publishesView(at)).toBe(true);
    }
    isElecting = false;
    leaderId = "other";
    expect(publishesView(failedAt + ELECTION_MS + WATCH_HEARTBEAT_MS)).toBe(true);
  });

  it("stops publishing early enough for its entries to find another process when there is a leader from which it receives nothing", () => {
    const contactAt = now;
    expect(publishesView(contactAt)).toBe(true);
    isLeading = false;
    leaderId = "other";
    expect(publishesView(contactAt + CONTACT_MS - WATCH_HEARTBEAT_MS)).toBe(false);
  });

  it("keeps its entries while it follows a leader in consensus without receiving a view", () => {
    const contactAt = now;
    isLeading = false;
    leaderId = "other";
    for (let at = contactAt; at <= contactAt + 3 * CONTACT_MS; at += WATCH_HEARTBEAT_MS) {
      consensusContactAt = at;
      expect(publishesView(at)).toBe(true);
    }
    expect(publishesView(contactAt + 3 * CONTACT_MS + CONTACT_MS - WATCH_HEARTBEAT_MS)).toBe(false);
  });

  it("lists no recovered entry while it follows a leader in consensus without receiving a view", () => {
    isLeading = false;
    leaderId = "other";
    expect(relay.getEntries()).toHaveLength(1);
    for (const after of [6_000, 20_000]) {
      now = 10_000 + after;
      consensusContactAt = now;
      expect(relay.hub.getSource(1)).toBeDefined();
      expect(relay.getEntries()).toEqual([]);
    }
  });

  it("reports newly suspected targets to the leader at once, and the others with the next report", () => {
    const sendSoon = vi.spyOn(relay.sender, "sendSoon").mockImplementation(() => {});
    const suspect = (...ids: string[]) =>
      relay.reportSuspicions(ids.map((targetId) => create(SuspicionSchema, { targetId })));
    suspect("a", "b");
    for (let entry = 0; entry < 64; entry++) suspect("b", "a");
    expect(sendSoon).toHaveBeenCalledTimes(1);
    suspect("a", "c");
    expect(sendSoon).toHaveBeenCalledTimes(2);
  });

  it("accepts reports for a leader that it follows, unless forwarding them has failed for too long", () => {
    isLeading = false;
    leaderId = "other";
    now = 20_000;
    consensusContactAt = now;
    expect(relay.acceptsReports()).toBe(true);
    const failing = vi.spyOn(relay.sender, "getFailingMs").mockReturnValue(3_000);
    expect(relay.acceptsReports()).toBe(true);
    failing.mockReturnValue(4_500);
    expect(relay.acceptsReports()).toBe(false);
    consensusContactAt = undefined;
    failing.mockReturnValue(0);
    now += 1_000;
    expect(relay.acceptsReports()).toBe(false);
  });
});
