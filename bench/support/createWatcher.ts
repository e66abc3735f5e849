import { SystemClock } from "../../src/clock";
import { FollowedView, orderByAffinity, ViewWatcher } from "../../src/registration";
import { TransportPool } from "../../src/rpc";

const SILENT_LOGGER = { info: () => {}, warn: () => {}, error: () => {} } as never;

/** Creates a watcher that control treats as a separate entry. */
export function createWatcher(index: number, seeds: readonly string[]): ViewWatcher {
  return new ViewWatcher({
    watcherId: `bench-${index}`,
    entry: {
      $typeName: "ploverstage.v1.EntryEndpoint",
      address: `127.0.0.1:${index + 1}`,
      failureDomain: "zone-a",
    },
    getSeeds: () => seeds,
    orderCandidates: (addresses) => orderByAffinity(`bench-${index}`, addresses),
    transports: new TransportPool(undefined),
    view: new FollowedView(),
    clock: new SystemClock(),
    logger: SILENT_LOGGER,
    onChange: () => {},
    onDeclaration: () => {},
  });
}
