/**
 * A control process that is cut off must let its entries go while they can still keep what entries in touch promise.
 *
 * What was seen: the leader was cut off while changes went on at the others; an entry refused a route of a version that had
 * been acknowledged 2.3 s before, with 404, 3 s after the cut had begun.
 * What happened: the entry stayed for 3.5 s with a control process that had lost the leader, and found another one 0.4 s
 * later, which told it of sixteen versions at once.
 * Cause: a process that heard no leader any more spoke for it for 3 s, as long as all that entries in touch have, and one that
 * had led counted them from the end of its leadership and not from the last answer of a majority.
 * Evidence: in the entry's log the last version before the cut, the end of the call 3.5 s after it, and the versions that
 * it was told of once it had found another process; two plays of two broke the promise.
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

/** What entries in touch have to be told of an acknowledged change after a cut, milliseconds. */
const CONTACT_MS = 3_000;
/** A watcher's call looks at least so often whether there is anybody to speak for. */
const WATCH_HEARTBEAT_MS = 300;
/** An entry that searches may meet one more process that is cut off before it is told everything. */
const SEARCH_MS = 700;
/** What a process may go on speaking for a leader that it doesn't hear. */
const ISOLATED_MS = CONTACT_MS - WATCH_HEARTBEAT_MS - SEARCH_MS;
/** A leader without answers leads on for so long. */
const STEP_DOWN_MS = 1_000;
/** Longer than an election between members that answer. */
const ELECTION_MS = 1_400;

/** What it showed before it was started: an entry that may be gone. */
const recovered = create(ViewUpdateSchema, {
  entries: create(EntryListSchema, { entries: [create(EntryEndpointSchema, { address: "127.0.0.1:3" })] }),
});

describe("a control process that no longer hears a leader", () => {
  let now: number;
  let leads: boolean;
  let isElecting: boolean;
  let leaderId: string;
  let quorumContactAt: number;
  let agreedContactAt: number | undefined;
  let relay: FleetRelay;

  beforeEach(() => {
    now = 10_000;
    leads = true;
    isElecting = false;
    leaderId = "this";
    quorumContactAt = now;
    agreedContactAt = undefined;
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
        isLeader: () => leads,
        getLeaderAddress: () => "",
        getCaughtUpContactAt: () => agreedContactAt,
        machine: new StateMachine(),
      } as never,
      getLeadership: () => (leads ? (leadership as never) : undefined),
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

  function isSpokenFor(at: number): boolean {
    now = at;
    return relay.hub.getSource() !== undefined;
  }

  it("lets entries go in time, counted from the last answer of a majority, if it led", () => {
    const cutAt = now;
    // It leads on until it misses the majority, and entries are shown its view meanwhile.
    for (let at = cutAt; at < cutAt + STEP_DOWN_MS; at += WATCH_HEARTBEAT_MS) {
      expect(isSpokenFor(at)).toBe(true);
    }
    leads = false;
    leaderId = "";
    expect(isSpokenFor(cutAt + STEP_DOWN_MS)).toBe(true);
    expect(isSpokenFor(cutAt + ISOLATED_MS)).toBe(false);
  });

  it("keeps them while a majority elects, and until the new leader's view has come", () => {
    const diedAt = now;
    expect(isSpokenFor(diedAt)).toBe(true);
    leads = false;
    leaderId = "";
    isElecting = true;
    for (let at = diedAt; at <= diedAt + ELECTION_MS; at += WATCH_HEARTBEAT_MS) {
      expect(isSpokenFor(at)).toBe(true);
    }
    isElecting = false;
    leaderId = "other";
    expect(isSpokenFor(diedAt + ELECTION_MS + WATCH_HEARTBEAT_MS)).toBe(true);
  });

  it("lets them go in time as well where it hears of a leader, but is shown nothing", () => {
    const heardAt = now;
    expect(isSpokenFor(heardAt)).toBe(true);
    leads = false;
    leaderId = "other";
    expect(isSpokenFor(heardAt + CONTACT_MS - WATCH_HEARTBEAT_MS)).toBe(false);
  });

  it("keeps them for as long as it follows a leader in the agreement, though it is shown nothing", () => {
    const heardAt = now;
    leads = false;
    leaderId = "other";
    for (let at = heardAt; at <= heardAt + 3 * CONTACT_MS; at += WATCH_HEARTBEAT_MS) {
      agreedContactAt = at;
      expect(isSpokenFor(at)).toBe(true);
    }
    expect(isSpokenFor(heardAt + 3 * CONTACT_MS + CONTACT_MS - WATCH_HEARTBEAT_MS)).toBe(false);
  });

  it("names no entry that no leader has shown it, though it follows one in the agreement", () => {
    leads = false;
    leaderId = "other";
    expect(relay.getEntries()).toHaveLength(1);
    for (const after of [6_000, 20_000]) {
      now = 10_000 + after;
      agreedContactAt = now;
      expect(relay.hub.getSource(1)).toBeDefined();
      expect(relay.getEntries()).toEqual([]);
    }
  });

  it("tells the leader at once of targets that it was not told of, and of the others with what else it is told", () => {
    const sendSoon = vi.spyOn(relay.sender, "sendSoon").mockImplementation(() => {});
    const see = (...ids: string[]) =>
      relay.reportSuspicions(ids.map((targetId) => create(SuspicionSchema, { targetId })));
    see("a", "b");
    for (let entry = 0; entry < 64; entry++) see("b", "a");
    expect(sendSoon).toHaveBeenCalledTimes(1);
    see("a", "c");
    expect(sendSoon).toHaveBeenCalledTimes(2);
  });

  it("takes reports for a leader that it follows, unless it could tell it of none for long", () => {
    leads = false;
    leaderId = "other";
    now = 20_000;
    agreedContactAt = now;
    expect(relay.takesReports()).toBe(true);
    const failing = vi.spyOn(relay.sender, "getFailingMs").mockReturnValue(3_000);
    expect(relay.takesReports()).toBe(true);
    failing.mockReturnValue(4_500);
    expect(relay.takesReports()).toBe(false);
    agreedContactAt = undefined;
    failing.mockReturnValue(0);
    now += 1_000;
    expect(relay.takesReports()).toBe(false);
  });
});
