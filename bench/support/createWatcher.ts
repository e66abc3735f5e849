import { create } from "@bufbuild/protobuf";
import { SystemClock } from "../../src/clock";
import { EntryEndpointSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { FollowedView, orderByAffinity, ViewWatcher } from "../../src/registration";
import { TransportPool } from "../../src/rpc";

const SILENT_LOGGER = { info: () => {}, warn: () => {}, error: () => {} } as never;

/** Creates a watcher that control treats as a separate entry. */
export function createWatcher(index: number, seeds: readonly string[]): ViewWatcher {
  return new ViewWatcher({
    watcherId: `bench-${index}`,
    getEntry: () =>
      create(EntryEndpointSchema, { address: `127.0.0.1:${index + 1}`, failureDomain: "zone-a" }),
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
