/** Serves entries and control followers. */
import type { ConnectRouter } from "@connectrpc/connect";
import type { Clock } from "../clock";
import type { ConsensusDriver } from "../consensus";
import type { LeaderGuard } from "../control";
import { FleetService } from "../gen/ploverstage/v1/fleet_pb";
import type { FleetLeadership } from "./FleetLeadership";
import { watchView } from "./watchers";

/** What the routes work with. */
export interface FleetRouteOptions {
  readonly driver: ConsensusDriver;
  readonly guard: LeaderGuard<FleetLeadership>;
  readonly clock: Clock;
  /** Where instances and operators reach this process. */
  readonly publicAddress: string;
}

/** Adds the fleet service to a router. */
export function addFleetRoutes(router: ConnectRouter, options: FleetRouteOptions): void {
  const { driver, guard, clock, publicAddress } = options;
  router.service(FleetService, {
    async *watch(request, context) {
      const leadership = await guard.propose((present) => present);
      if (request.stopping) {
        leadership.removeEntry(request.watcherId);
        return;
      }
      yield* watchView(leadership, request, clock, context.signal);
    },
    report(request) {
      return guard.propose(async (leadership) => {
        await leadership.addReports(request.reports);
        return { leaderAddress: publicAddress };
      });
    },
    putDeclaration(request) {
      return guard.propose(async (leadership) => {
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
    },
    getDeclaration() {
      return guard.run(() => ({ declaration: driver.machine.getDeclaration() }));
    },
    suspect(request) {
      return guard.propose((leadership) => {
        leadership.addSuspicion(request);
        return {};
      });
    },
  });
}
