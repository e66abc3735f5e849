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

/** Answers one watch call. */
type Answer = (signal: AbortSignal) => AsyncGenerator<ViewUpdate>;

/** Duration of a search that is as long as most elections. */
const SEARCH_MS = 2_000;
/**
 * Maximum number of calls in such a search among three processes that refuse: twelve rounds with pauses of 50
 * to 200 ms.
 */
const SEARCH_CALLS = 40;
/** Longer than the first response timeout of the first round. */
const LATE_MS = 900;
const HEARTBEAT_MS = 300;

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function* publishOnce(): AsyncGenerator<ViewUpdate> {
  yield create(ViewUpdateSchema, { term: 1 });
}

async function* answerLate(signal: AbortSignal): AsyncGenerator<ViewUpdate> {
  await wait(LATE_MS);
  while (!signal.aborted) {
    yield create(ViewUpdateSchema, { term: 1 });
    await wait(HEARTBEAT_MS);
  }
}

async function* answerPending(signal: AbortSignal): AsyncGenerator<ViewUpdate> {
  while (!signal.aborted) {
    yield create(ViewUpdateSchema, { term: 0, pending: true });
    await wait(HEARTBEAT_MS);
  }
}

async function* publishNewerView(signal: AbortSignal): AsyncGenerator<ViewUpdate> {
  while (!signal.aborted) {
    yield create(ViewUpdateSchema, { term: 4, complete: true });
    await wait(HEARTBEAT_MS);
  }
}

describe("an entry that searches for a control process", () => {
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
      getEntry: () => create(EntryEndpointSchema, { address: "127.0.0.1:1", failureDomain: "a" }),
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

  it("calls processes that end each call at once no more often than processes that refuse", async () => {
    search(await start([publishOnce, publishOnce, publishOnce]));
    await wait(SEARCH_MS);
    expect(getCalls()).toBeLessThanOrEqual(SEARCH_CALLS);
  });

  it("doubles the timeout for late processes after each round, and stays with the first that answers", async () => {
    search(await start([answerLate, answerLate, answerLate]));
    await waitUntil("the entry follows a process", () => watcher.isConnected);
    const searchCalls = getCalls();
    await wait(SEARCH_MS);
    expect(searchCalls).toBeLessThanOrEqual(5);
    expect(getCalls()).toBe(searchCalls);
  });

  it("leaves a process that has no newer view for too long, and receives the next one's view", async () => {
    const view = new FollowedView();
    view.apply(create(ViewUpdateSchema, { term: 3, complete: true }));
    search(await start([answerPending, publishNewerView]), view);
    await waitUntil("the entry is connected", () => watcher.isConnected);
    expect(watcher.isCurrent).toBe(false);
    await waitUntil("the newer view arrives", () => view.term === 4);
    expect(watcher.isCurrent).toBe(true);
    expect(calls).toEqual([1, 1]);
  });

  it("switches to the leader named by a refusal only while it has no declaration", async () => {
    const [leader] = (await getFreeAddresses(1)) as [string];
    // biome-ignore lint/correctness/useYield: it throws before the first update.
    const refuse: Answer = async function* () {
      throw createLeaderRefusal(leader);
    };
    let leaderCalls = 0;
    const atLeader = await RpcServer.start({
      listen: leader,
      interceptors: [],
      routes: (router) => {
        router.service(FleetService, {
          watch: (_, { signal }) => {
            leaderCalls += 1;
            return publishNewerView(signal);
          },
        });
      },
    });
    const seeds = await start([refuse, refuse]);
    servers.push(atLeader);
    const view = new FollowedView();
    view.apply(create(ViewUpdateSchema, { term: 3, declaration: create(DeclarationSchema, { version: 1 }) }));
    search(seeds, view);
    await waitUntil("both processes were called", () => calls.every((count) => count > 1));
    expect(leaderCalls).toBe(0);
    watcher.stop();
    search(seeds);
    await waitUntil("the entry follows the leader", () => watcher.isConnected);
    expect(leaderCalls).toBe(1);
  });

  it("stays with its process when the list of control processes changes while it has no candidates", async () => {
    const publishMembers: Answer = async function* (signal) {
      for (let i = 0; !signal.aborted; i++) {
        yield create(ViewUpdateSchema, { term: 1, controlAddresses: i === 0 ? ["127.0.0.1:1"] : [] });
        await wait(HEARTBEAT_MS);
      }
    };
    const addresses = await start([publishMembers]);
    const lost: object[] = [];
    let isLeaderKnown = true;
    watcher = new ViewWatcher({
      watcherId: "control",
      getEntry: () => undefined,
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
    await waitUntil("the process is called", () => getCalls() === 1);
    isLeaderKnown = false;
    await waitUntil("the watcher is connected", () => watcher.isConnected);
    await wait(2 * HEARTBEAT_MS);
    expect(lost).toEqual([]);
    expect(getCalls()).toBe(1);
  });
});
