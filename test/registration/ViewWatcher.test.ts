import { create } from "@bufbuild/protobuf";
import { afterEach, describe, expect, it } from "vitest";
import { SystemClock } from "../../src/clock";
import { FleetService, ViewUpdateSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { FollowedView } from "../../src/registration";
import { ViewWatcher } from "../../src/registration/ViewWatcher";
import { RpcServer, TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { waitUntil } from "../support/waitUntil";

/** A leader that has just begun answers later than a watcher waits at first. */
const ANSWER_MS = 1_000;

describe("ViewWatcher", () => {
  let server: RpcServer;
  let watcher: ViewWatcher;

  afterEach(async () => {
    watcher.stop();
    await server.stop();
  });

  it("waits longer for the only process that leads, instead of asking it again and again", async () => {
    const [listen] = await getFreeAddresses(1);
    let asked = 0;
    server = await RpcServer.start({
      listen: listen!,
      interceptors: [],
      routes: (router) => {
        router.service(FleetService, {
          async *watch() {
            asked += 1;
            await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
            yield create(ViewUpdateSchema, { term: 1, complete: true });
          },
        });
      },
    });
    const view = new FollowedView();
    watcher = new ViewWatcher({
      watcherId: "w",
      entry: undefined,
      getSeeds: () => [listen!],
      orderCandidates: () => [listen!],
      transports: new TransportPool(undefined),
      view,
      clock: new SystemClock(),
      logger: { info: () => {}, warn: () => {} } as never,
      onChange: () => {},
      onDeclaration: () => {},
    });
    void watcher.run();
    await waitUntil("the leader is found", () => view.term === 1);
    expect(asked).toBe(2);
  });
});
