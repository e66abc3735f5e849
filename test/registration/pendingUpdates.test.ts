import { create } from "@bufbuild/protobuf";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { SystemClock } from "../../src/clock";
import {
  EntryEndpointSchema,
  FleetService,
  TargetSchema,
  type ViewUpdate,
  ViewUpdateSchema,
} from "../../src/gen/ploverstage/v1/fleet_pb";
import { type Declaration, DeclarationSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { FollowedView } from "../../src/registration";
import { RelayedView } from "../../src/registration/RelayedView";
import { ViewHub } from "../../src/registration/ViewHub";
import { ViewWatcher } from "../../src/registration/ViewWatcher";
import { watchView } from "../../src/registration/watchView";
import { RpcServer, TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { waitUntil } from "../support/waitUntil";

/** Control processes of the smallest deployments. */
const CONTROLS = 3;
/** An election on small machines takes as long. */
const LEADERLESS_MS = 1_500;

function createDeclaration(version: number): Declaration {
  return create(DeclarationSchema, { version, document: new Uint8Array([version]) });
}

function createUpdate(term: number, version: number, ids: readonly string[]): ViewUpdate {
  return create(ViewUpdateSchema, {
    term,
    complete: term > 0,
    targets: ids.map((id) => create(TargetSchema, { id, model: "m", instanceId: id })),
    declaration: createDeclaration(version),
  });
}

/** A control process that shows what it kept on disk until a leader shows it its view. */
class RecoveredControl {
  readonly followed = new FollowedView();
  readonly hub: ViewHub;
  calls = 0;
  agreedVersion = 0;
  readonly ended = new Set<string>();
  private readonly _relayed: RelayedView;

  constructor(recovered: ViewUpdate) {
    this.followed.apply(recovered);
    const agreed = {
      getDeclaration: () => (this.agreedVersion === 0 ? undefined : createDeclaration(this.agreedVersion)),
      hasEnded: ({ id }: { id: string }) => this.ended.has(id),
    };
    this._relayed = new RelayedView(this.followed, {
      get declaration() {
        return agreed.getDeclaration();
      },
      hasEnded: agreed.hasEnded,
      getEndedTargetIds: () => [...this.ended],
    } as never);
    this.hub = new ViewHub({
      clock: new SystemClock(),
      getOwn: () => undefined,
      relayed: this._relayed,
      isInTouch: () => true,
      isFirstStart: false,
      onEntriesChanged: () => {},
    });
  }

  agree(version: number, ended: readonly string[]): void {
    this.agreedVersion = version;
    for (const id of ended) this.ended.add(id);
    this._relayed.updateAgreed();
    this.hub.notify();
  }

  showLeader(update: ViewUpdate): void {
    this.followed.apply(update);
    this._relayed.addUpdate(update);
    this.hub.notify();
  }

  start(listen: string): Promise<RpcServer> {
    const clock = new SystemClock();
    const meter = { measure: (_work: string, _items: number, action: () => unknown) => action() } as never;
    return RpcServer.start({
      listen,
      interceptors: [],
      routes: (router) => {
        router.service(FleetService, {
          watch: (request, { signal }) => {
            this.calls += 1;
            const getSource = () => this.hub.getSource(request.knownVersion);
            return watchView(this.hub, getSource, request, { clock, meter, signal });
          },
        });
      },
    });
  }
}

describe("an entry that goes by a leader's view", () => {
  let controls: RecoveredControl[];
  let servers: RpcServer[];
  let watcher: ViewWatcher;
  let view: FollowedView;

  beforeEach(async () => {
    const addresses = await getFreeAddresses(CONTROLS);
    controls = addresses.map(() => new RecoveredControl(createUpdate(0, 6, ["kept", "left"])));
    servers = await Promise.all(controls.map((control, index) => control.start(addresses[index]!)));
    view = new FollowedView();
    view.apply(createUpdate(3, 7, ["kept", "left"]));
    watcher = new ViewWatcher({
      watcherId: "entry",
      entry: create(EntryEndpointSchema, { address: "127.0.0.1:1", failureDomain: "a" }),
      getSeeds: () => addresses,
      orderCandidates: (known) => [...known],
      transports: new TransportPool(undefined),
      view,
      clock: new SystemClock(),
      logger: { info: () => {}, warn: () => {} } as never,
      onChange: () => {},
      onDeclaration: () => {},
    });
    void watcher.run();
  });

  afterEach(async () => {
    watcher.stop();
    await Promise.all(servers.map((server) => server.stop()));
  });

  const getCalls = () => controls.reduce((sum, { calls }) => sum + calls, 0);

  it("asks no control process after the other while none of them has been shown a newer one", async () => {
    await waitUntil("it is held", () => watcher.isConnected);
    const calls = getCalls();
    await new Promise((resolve) => setTimeout(resolve, LEADERLESS_MS));
    expect(getCalls()).toBe(calls);
    expect(view.term).toBe(3);
    expect(view.getTargets().map(({ id }) => id)).toEqual(["kept", "left"]);
  });

  it("is told there what is agreed on, and the next leader's view once it has come", async () => {
    await waitUntil("it is held", () => watcher.isConnected);
    const calls = getCalls();
    for (const control of controls) control.agree(8, ["left"]);
    await waitUntil("it has the declaration", () => view.declaration?.version === 8);
    expect(view.getTargets().map(({ id }) => id)).toEqual(["kept"]);
    for (const control of controls) control.showLeader(createUpdate(4, 8, ["kept", "new"]));
    await waitUntil("it has the view", () => view.term === 4);
    expect(view.getTargets().map(({ id }) => id)).toEqual(["kept", "new"]);
    expect(watcher.isCurrent).toBe(true);
    expect(getCalls()).toBe(calls);
  });

  it("loses a target that is agreed to be over, whether its control process ever held it or not, and no other", async () => {
    await waitUntil("it is held", () => watcher.isConnected);
    view.apply(createUpdate(3, 7, ["kept", "left", "elsewhere"]));
    for (const control of controls) {
      // In an older term it was closed for a moment.
      control.showLeader(createUpdate(2, 7, ["kept", "left"]));
      control.showLeader(create(ViewUpdateSchema, { term: 2, removedTargetIds: ["kept"] }));
      control.agree(8, ["elsewhere"]);
    }
    await waitUntil("it has the declaration", () => view.declaration?.version === 8);
    expect(view.getTargets().map(({ id }) => id)).toEqual(["kept", "left"]);
  });
});
