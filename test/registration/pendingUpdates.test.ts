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

/** Control processes of the smallest deployment. */
const CONTROLS = 3;
/** Duration of an election on small machines, milliseconds. */
const ELECTION_MS = 1_500;

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

/** A control process that publishes its recovered view until it receives a leader's view. */
class RecoveredControl {
  readonly followed = new FollowedView();
  readonly hub: ViewHub;
  calls = 0;
  committedVersion = 0;
  readonly ended = new Set<string>();
  private readonly _relayed: RelayedView;

  constructor(recovered: ViewUpdate) {
    this.followed.apply(recovered);
    const committed = {
      getDeclaration: () =>
        this.committedVersion === 0 ? undefined : createDeclaration(this.committedVersion),
      hasEnded: ({ id }: { id: string }) => this.ended.has(id),
    };
    this._relayed = new RelayedView(this.followed, {
      get declaration() {
        return committed.getDeclaration();
      },
      hasEnded: committed.hasEnded,
      getEndedTargetIds: () => [...this.ended],
    } as never);
    this.hub = new ViewHub({
      clock: new SystemClock(),
      getOwnSource: () => undefined,
      relayed: this._relayed,
      hasLeaderContact: () => true,
      isFirstStart: false,
      onEntriesChanged: () => {},
    });
  }

  commit(version: number, ended: readonly string[]): void {
    this.committedVersion = version;
    for (const id of ended) this.ended.add(id);
    this._relayed.updateCommitted();
    this.hub.notify();
  }

  applyUpdate(update: ViewUpdate): void {
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

describe("an entry with a leader's view", () => {
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
      getEntry: () => create(EntryEndpointSchema, { address: "127.0.0.1:1", failureDomain: "a" }),
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

  it("stays with one control process while no process has a newer view", async () => {
    await waitUntil("the entry is connected", () => watcher.isConnected);
    const calls = getCalls();
    await new Promise((resolve) => setTimeout(resolve, ELECTION_MS));
    expect(getCalls()).toBe(calls);
    expect(view.term).toBe(3);
    expect(view.getTargets().map(({ id }) => id)).toEqual(["kept", "left"]);
  });

  it("receives committed changes from that process, and then the next leader's view", async () => {
    await waitUntil("the entry is connected", () => watcher.isConnected);
    const calls = getCalls();
    for (const control of controls) control.commit(8, ["left"]);
    await waitUntil("the declaration arrives", () => view.declaration?.version === 8);
    expect(view.getTargets().map(({ id }) => id)).toEqual(["kept"]);
    for (const control of controls) control.applyUpdate(createUpdate(4, 8, ["kept", "new"]));
    await waitUntil("the view arrives", () => view.term === 4);
    expect(view.getTargets().map(({ id }) => id)).toEqual(["kept", "new"]);
    expect(watcher.isCurrent).toBe(true);
    expect(getCalls()).toBe(calls);
  });

  it("removes only targets committed as ended, including those that its control process never had", async () => {
    await waitUntil("the entry is connected", () => watcher.isConnected);
    view.apply(createUpdate(3, 7, ["kept", "left", "elsewhere"]));
    for (const control of controls) {
      // The target was closed for a moment in an older term.
      control.applyUpdate(createUpdate(2, 7, ["kept", "left"]));
      control.applyUpdate(create(ViewUpdateSchema, { term: 2, removedTargetIds: ["kept"] }));
      control.commit(8, ["elsewhere"]);
    }
    await waitUntil("the declaration arrives", () => view.declaration?.version === 8);
    expect(view.getTargets().map(({ id }) => id)).toEqual(["kept", "left"]);
  });
});
