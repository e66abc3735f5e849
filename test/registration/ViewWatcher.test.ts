import { create } from "@bufbuild/protobuf";
import { afterEach, describe, expect, it } from "vitest";
import { SystemClock } from "../../src/clock";
import { FleetService, ViewUpdateSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { FollowedView } from "../../src/registration";
import { ViewWatcher } from "../../src/registration/ViewWatcher";
import { RpcServer, TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { waitUntil } from "../support/waitUntil";

/** A leader that has just started answers later than the first response timeout. */
const ANSWER_MS = 1_000;

describe("ViewWatcher", () => {
  let server: RpcServer | undefined;
  let watcher: ViewWatcher;

  afterEach(async () => {
    watcher.stop();
    await server?.stop();
    server = undefined;
  });

  function createWatcher(address: string, view: FollowedView): ViewWatcher {
    return new ViewWatcher({
      watcherId: "w",
      getEntry: () => undefined,
      getSeeds: () => [address],
      orderCandidates: () => [address],
      transports: new TransportPool(undefined),
      view,
      clock: new SystemClock(),
      logger: { info: () => {}, warn: () => {} } as never,
      onChange: () => {},
      onDeclaration: () => {},
    });
  }

  it("stops cleanly before it has called any process", async () => {
    const [listen] = await getFreeAddresses(1);
    watcher = createWatcher(listen!, new FollowedView());
    await watcher.announceStop();
    await watcher.run();
    expect(watcher.isConnected).toBe(false);
  });

  it("doubles the timeout for the only candidate instead of calling it repeatedly", async () => {
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
    watcher = createWatcher(listen!, view);
    void watcher.run();
    await waitUntil("the leader is found", () => view.term === 1);
    expect(asked).toBe(2);
  });
});
