import { create } from "@bufbuild/protobuf";
import { afterEach, describe, expect, it } from "vitest";
import { SystemClock } from "../../src/clock";
import {
  EntryEndpointSchema,
  FleetService,
  type ViewUpdate,
  ViewUpdateSchema,
} from "../../src/gen/ploverstage/v1/fleet_pb";
import { DeclarationSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { FollowedView } from "../../src/registration";
import { ViewWatcher } from "../../src/registration/ViewWatcher";
import { createLeaderRefusal, RpcServer, TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";
import { waitUntil } from "../support/waitUntil";

/** Answers one call for the view. */
type Answer = (signal: AbortSignal) => AsyncGenerator<ViewUpdate>;

/** A search of two seconds is as long as most elections. */
const SEARCH_MS = 2_000;
/** Calls of such a search of three processes that refuse: twelve rounds with pauses of 50 to 200 ms. */
const SEARCH_CALLS = 40;
/** Longer than the first answer is waited for at first. */
const LATE_MS = 900;
const PENDING_SIGN_MS = 300;

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function* showOnce(): AsyncGenerator<ViewUpdate> {
  yield create(ViewUpdateSchema, { term: 1 });
}

async function* showLate(signal: AbortSignal): AsyncGenerator<ViewUpdate> {
  await wait(LATE_MS);
  while (!signal.aborted) {
    yield create(ViewUpdateSchema, { term: 1 });
    await wait(PENDING_SIGN_MS);
  }
}

async function* showNothingNewer(signal: AbortSignal): AsyncGenerator<ViewUpdate> {
  while (!signal.aborted) {
    yield create(ViewUpdateSchema, { term: 0, pending: true });
    await wait(PENDING_SIGN_MS);
  }
}

async function* showNewer(signal: AbortSignal): AsyncGenerator<ViewUpdate> {
  while (!signal.aborted) {
    yield create(ViewUpdateSchema, { term: 4, complete: true });
    await wait(PENDING_SIGN_MS);
  }
}

describe("an entry that looks for a control process", () => {
  let servers: RpcServer[] = [];
  let watcher: ViewWatcher;
  let calls: number[];

  afterEach(async () => {
    watcher.stop();
    await Promise.all(servers.map((server) => server.stop()));
  });

  async function start(answers: readonly Answer[]): Promise<string[]> {
    const addresses = await getFreeAddresses(answers.length);
    calls = answers.map(() => 0);
    servers = await Promise.all(
      answers.map((answer, index) =>
        RpcServer.start({
          listen: addresses[index]!,
          interceptors: [],
          routes: (router) => {
            router.service(FleetService, {
              watch: (_, { signal }) => {
                calls[index]! += 1;
                return answer(signal);
              },
            });
          },
        }),
      ),
    );
    return addresses;
  }

  function search(seeds: readonly string[], view = new FollowedView()): void {
    watcher = new ViewWatcher({
      watcherId: "entry",
      entry: create(EntryEndpointSchema, { address: "127.0.0.1:1", failureDomain: "a" }),
      getSeeds: () => seeds,
      orderCandidates: (known) => [...known],
      transports: new TransportPool(undefined),
      view,
      clock: new SystemClock(),
      logger: { info: () => {}, warn: () => {} } as never,
      onChange: () => {},
      onDeclaration: () => {},
    });
    void watcher.run();
  }

  const getCalls = () => calls.reduce((sum, count) => sum + count, 0);

  it("asks processes that end each call at once no more often than those that refuse", async () => {
    search(await start([showOnce, showOnce, showOnce]));
    await wait(SEARCH_MS);
    expect(getCalls()).toBeLessThanOrEqual(SEARCH_CALLS);
  });

  it("waits longer for late processes after each round of them, and stays with one", async () => {
    search(await start([showLate, showLate, showLate]));
    await waitUntil("it follows one", () => watcher.isConnected);
    const vain = getCalls();
    await wait(SEARCH_MS);
    expect(vain).toBeLessThanOrEqual(5);
    expect(getCalls()).toBe(vain);
  });

  it("leaves a process that has nothing newer to show for long, and is told by the next one", async () => {
    const view = new FollowedView();
    view.apply(create(ViewUpdateSchema, { term: 3, complete: true }));
    search(await start([showNothingNewer, showNewer]), view);
    await waitUntil("it is held", () => watcher.isConnected);
    expect(watcher.isCurrent).toBe(false);
    await waitUntil("it is told", () => view.term === 4);
    expect(watcher.isCurrent).toBe(true);
    expect(calls).toEqual([1, 1]);
  });

  it("turns to the leader that a refusal names only while it holds nothing", async () => {
    const [leader] = (await getFreeAddresses(1)) as [string];
    // biome-ignore lint/correctness/useYield: it refuses.
    const refuse: Answer = async function* () {
      throw createLeaderRefusal(leader);
    };
    let asked = 0;
    const atLeader = await RpcServer.start({
      listen: leader,
      interceptors: [],
      routes: (router) => {
        router.service(FleetService, {
          watch: (_, { signal }) => {
            asked += 1;
            return showNewer(signal);
          },
        });
      },
    });
    const seeds = await start([refuse, refuse]);
    servers.push(atLeader);
    const view = new FollowedView();
    view.apply(create(ViewUpdateSchema, { term: 3, declaration: create(DeclarationSchema, { version: 1 }) }));
    search(seeds, view);
    await waitUntil("both were asked", () => calls.every((count) => count > 1));
    expect(asked).toBe(0);
    watcher.stop();
    search(seeds);
    await waitUntil("it follows the leader", () => watcher.isConnected);
    expect(asked).toBe(1);
  });

  it("stays where it is when it is told of control processes while it has none to choose from", async () => {
    const showMembers: Answer = async function* (signal) {
      for (let i = 0; !signal.aborted; i++) {
        yield create(ViewUpdateSchema, { term: 1, controlAddresses: i === 0 ? ["127.0.0.1:1"] : [] });
        await wait(PENDING_SIGN_MS);
      }
    };
    const addresses = await start([showMembers]);
    const lost: object[] = [];
    let isLeaderKnown = true;
    watcher = new ViewWatcher({
      watcherId: "control",
      entry: undefined,
      getSeeds: () => addresses,
      orderCandidates: () => (isLeaderKnown ? addresses : []),
      transports: new TransportPool(undefined),
      view: new FollowedView(),
      clock: new SystemClock(),
      logger: { info: () => {}, warn: (line: object) => lost.push(line) } as never,
      onChange: () => {},
      onDeclaration: () => {},
    });
    void watcher.run();
    await waitUntil("it is called", () => getCalls() === 1);
    isLeaderKnown = false;
    await waitUntil("it follows", () => watcher.isConnected);
    await wait(2 * PENDING_SIGN_MS);
    expect(lost).toEqual([]);
    expect(getCalls()).toBe(1);
  });
});
