import { create } from "@bufbuild/protobuf";
import { afterEach, describe, expect, it } from "vitest";
import { SystemClock } from "../../src/clock";
import { EntryEndpointSchema, FleetService, ViewUpdateSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { FollowedView } from "../../src/registration";
import { RECOVERED_TERM } from "../../src/registration/FollowedView";
import { ViewWatcher } from "../../src/registration/ViewWatcher";
import { RpcServer } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { waitUntil } from "../support/waitUntil";

/** A leader that has just begun answers later than a watcher waits at first. */
const ANSWER_MS = 1_000;
/** Control processes that restarted together hear no leader for longer than this. */
const LEADERLESS_MS = 1_000;
const ENTRY = { address: "127.0.0.1:1", failureDomain: "a" };

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
      secret: undefined,
      view,
      clock: new SystemClock(),
      logger: { info: () => {}, warn: () => {} } as never,
      onChange: () => {},
    });
    void watcher.run();
    await waitUntil("the leader is found", () => view.term === 1);
    expect(asked).toBe(2);
  });

  it("asks processes that restarted and can only show an older view once each, until one hears a leader", async () => {
    const addresses = await getFreeAddresses(3);
    let asked = 0;
    const servers = await Promise.all(
      addresses.map((listen) =>
        RpcServer.start({
          listen,
          interceptors: [],
          routes: (router) => {
            router.service(FleetService, {
              async *watch(_, { signal }) {
                asked += 1;
                yield create(ViewUpdateSchema, { term: RECOVERED_TERM });
                await new Promise((resolve) => signal.addEventListener("abort", resolve));
              },
            });
          },
        }),
      ),
    );
    [server] = servers as [RpcServer];
    const view = new FollowedView();
    view.apply(create(ViewUpdateSchema, { term: 1, complete: true }));
    watcher = new ViewWatcher({
      watcherId: "e",
      entry: create(EntryEndpointSchema, ENTRY),
      getSeeds: () => addresses,
      orderCandidates: (known) => known,
      secret: undefined,
      view,
      clock: new SystemClock(),
      logger: { info: () => {}, warn: () => {} } as never,
      onChange: () => {},
    });
    void watcher.run();
    await new Promise((resolve) => setTimeout(resolve, LEADERLESS_MS));
    await Promise.all(servers.slice(1).map((started) => started.stop()));
    expect(asked).toBeLessThanOrEqual(addresses.length);
  });
});
