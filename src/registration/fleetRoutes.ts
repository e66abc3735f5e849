/** Serves the fleet service to entries and other control processes. */
import type { ConnectRouter } from "@connectrpc/connect";
import { type Clock, TurnQueue } from "../clock";
import type { ConsensusDriver } from "../consensus";
import {
  FleetService,
  type ReportCrashesRequest,
  type ReportRequest,
  type Suspicion,
  type WatchRequest,
} from "../gen/ploverstage/v1/fleet_pb";
import type { LeaderGuard } from "../membership";
import type { WorkMeter } from "../metrics";
import { createLeaderRefusal } from "../rpc";
import type { ControlCallCounter } from "./ControlCallCounter";
import type { FleetLeadership } from "./FleetLeadership";
import type { ViewHub } from "./ViewHub";
import { watchView } from "./watchView";

export interface FleetRouteOptions {
  readonly driver: ConsensusDriver;
  readonly guard: LeaderGuard<FleetLeadership>;
  readonly clock: Clock;
  readonly hub: ViewHub;
  readonly calls: ControlCallCounter;
  readonly meter: WorkMeter;
  /** Gets the leadership while this process leads. */
  readonly getLeadership: () => FleetLeadership | undefined;
  /** Forwards an entry's suspicions of targets to the leader. */
  readonly relaySuspicions: (suspicions: readonly Suspicion[]) => void;
  /** Forwards an entry's reports of requests during which instances ended to the leader. */
  readonly relayCrashes: (crashes: ReportCrashesRequest) => Promise<void>;
  /** Reports the entries that watch this process to the leader; resolves once the leader is notified. */
  readonly relayEntries: () => Promise<void>;
}

/** Control processes whose reports are applied in one turn of the event loop. */
const RELAYS_PER_TURN = 1;

/**
 * Adds the RPCs for watching the view, for relaying reports, suspicions and crashes to the leader, and for
 * putting and getting the declaration.
 */
export function addFleetRoutes(router: ConnectRouter, options: FleetRouteOptions): void {
  const { driver, guard, clock, hub, calls, meter, getLeadership } = options;
  const relayTurns = new TurnQueue(RELAYS_PER_TURN);
  const addReport = (request: ReportRequest) => {
    const answer = guard.propose(async (leadership) => {
      await relayTurns.waitForTurn();
      const unknownInstanceIds = await leadership.addRelayedReports(request);
      return { term: leadership.term, unknownInstanceIds };
    });
    return calls.track("relay", answer);
  };
  router.service(FleetService, {
    async *watch(request, context) {
      if (request.stopping) {
        hub.removeEntry(request.watcherId);
        await options.relayEntries();
        return;
      }
      yield* watchView(hub, getSourceOrThrow(options, request), request, {
        clock,
        meter,
        signal: context.signal,
      });
    },
    updateEntry({ watcherId, entry }) {
      if (entry !== undefined) hub.updateEntry(watcherId, entry);
      return {};
    },
    report: (request) => addReport(request),
    async *relay(requests) {
      for await (const request of requests) yield await addReport(request);
    },
    putDeclaration(request) {
      // An outdated or repeated declaration changes nothing and is not proposed again.
      const currentVersion = driver.machine.getDeclaration()?.version ?? 0;
      if (request.version <= currentVersion)
        return calls.track(
          "declaration",
          guard.run(() => ({})),
        );
      const answer = guard.propose(async (leadership) => {
        await driver.propose({
          case: "putDeclaration",
          value: {
            $typeName: "ploverstage.v1.PutDeclaration",
            version: request.version,
            document: request.document,
            atMs: clock.getWallMs(),
          },
        });
        leadership.publish();
        return {};
      });
      return calls.track("declaration", answer);
    },
    getDeclaration() {
      const answer = guard.run(() => ({ declaration: driver.machine.getDeclaration() }));
      return calls.track("declaration", answer);
    },
    suspect({ suspicions }) {
      const leadership = getLeadership();
      if (leadership === undefined) options.relaySuspicions(suspicions);
      else leadership.addSuspicions(suspicions);
      return {};
    },
    async reportCrashes(request) {
      if (getLeadership() === undefined && !request.relayed) await options.relayCrashes(request);
      else await guard.propose((leadership) => leadership.addCrashes(request.records));
      return {};
    },
  });
}

/**
 * Gets the source of a watcher's view. Control processes follow the leader itself, so that no view is relayed
 * twice.
 * @throws ConnectError - When this process has no view for the watcher; it names the leader.
 */
function getSourceOrThrow({ driver, hub, calls, getLeadership }: FleetRouteOptions, request: WatchRequest) {
  const getSource = request.entry === undefined ? getLeadership : () => hub.getSource(request.knownVersion);
  if (getSource() === undefined) {
    calls.addRefused("watch");
    throw createLeaderRefusal(driver.getLeaderAddress());
  }
  calls.addServed("watch");
  return getSource;
}
