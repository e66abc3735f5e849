/**
 * A control process: one member of the agreed state, and the planner while it leads.
 *
 * Built as an Effect with a scope: what is started is stopped in the opposite order.
 */
import { randomBytes } from "node:crypto";
import { createClient } from "@connectrpc/connect";
import { Effect, type Scope } from "effect";
import { SystemClock } from "../clock";
import {
  ConsensusDriver,
  createMembership,
  DEFAULT_TIMING,
  isVoter,
  RaftNode,
  SeededRandom,
} from "../consensus";
import { HttpInstanceSource } from "../discovery";
import { HttpEngine } from "../engine";
import { ForeignData } from "../errors";
import { ConsensusService, type Member } from "../gen/ploverstage/v1/consensus_pb";
import { HttpClient } from "../http";
import { MemberId } from "../ids";
import { FileStorage, type StoredState } from "../log";
import type { Logger, Metrics } from "../metrics";
import { startHealthServer } from "../process";
import { createRpcTransport, createSecretGuard, LeaderClient, RpcServer } from "../rpc";
import type { ControlSettings } from "../settings";
import { ConfigurationCache } from "./ConfigurationCache";
import { createInitialSnapshot } from "./createInitialSnapshot";
import { LeaderGuard } from "./LeaderGuard";
import { Leadership } from "./Leadership";
import { PatchCache } from "./PatchCache";
import { PeerTransport } from "./PeerTransport";
import { addConsensusRoutes, addEntryRoutes, addOperatorRoutes } from "./routes";

/** Secrets as read from their files. */
export interface ControlSecrets {
  readonly cluster: string;
  readonly operator: string;
  readonly order: string;
}

/** What a control process is started with. */
export interface ControlProcessOptions {
  readonly settings: ControlSettings;
  readonly secrets: ControlSecrets;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called once when the process can't go on. */
  readonly onFatal: (cause: unknown) => void;
}

const CONNECT_MS = 1_000;
const JOIN_MS = 2_000;
const WATCH_MS = 50;
const HAND_OVER_MS = 500;

/** Starts a control process; it runs until its scope is closed. */
export function startControlProcess(
  options: ControlProcessOptions,
): Effect.Effect<ConsensusDriver, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const clock = new SystemClock();
    const { storage, stored } = yield* Effect.tryPromise({
      try: () => openDataFolder(options),
      catch: (cause) => cause,
    });
    const transport = yield* Effect.acquireRelease(
      Effect.sync(() => new PeerTransport(options.secrets.cluster)),
      (opened) => Effect.sync(() => opened.close()),
    );
    const driver = createDriver(options, storage, stored, transport, clock);
    const configurations = new ConfigurationCache(() => driver.machine);
    const watch = yield* Effect.acquireRelease(
      Effect.sync(() => startLeadershipWatch(options, driver, clock, configurations)),
      (started) => Effect.sync(() => started.stop()),
    );
    const guard = new LeaderGuard(driver, watch.getLeadership);
    const patches = new PatchCache(() => driver.machine);
    const routes = { driver, guard, clock, configurations, patches };
    yield* serveRpc(options.settings.control.listen, options.secrets.cluster, "the cluster", (router) => {
      addConsensusRoutes(router, driver);
      addEntryRoutes(router, routes);
    });
    yield* serveRpc(
      options.settings.control.operatorListen,
      options.secrets.operator,
      "operators",
      (router) => addOperatorRoutes(router, routes),
    );
    yield* serveHealth(options, driver);
    yield* Effect.acquireRelease(
      Effect.sync(() => driver.start()),
      () => Effect.promise(() => driver.stop()),
    );
    yield* Effect.addFinalizer(() => Effect.promise(() => driver.handOver(HAND_OVER_MS)));
    yield* Effect.forkScoped(joinMembership(options, driver, clock));
    options.logger.info({ event: "control_started", member: driver.node.id, term: stored.hardState.term });
    return driver;
  });
}

/**
 * Makes the data folder of one of the first members.
 * @throws ForeignData - When the folder is in use, or a peer holds state already: then
 * this member must join, since it may have voted before it lost its disk.
 */
export async function initializeDataFolder(settings: ControlSettings, clusterSecret: string): Promise<void> {
  const { dataFolder, peers } = settings.control;
  for (const peer of peers) {
    if (peer.name !== settings.process.name && (await holdsState(peer.address, clusterSecret))) {
      throw new ForeignData({
        folder: dataFolder,
        reason: `${peer.name} holds agreed state; start without init to join`,
      });
    }
  }
  const members = peers.map((peer) =>
    createMember(peer.name, getFirstId(peer.name), peer.address, peer.failureDomain),
  );
  const snapshot = createInitialSnapshot(createMembership(members));
  await FileStorage.create(dataFolder, getFirstId(settings.process.name), snapshot);
}

function getFirstId(name: string): MemberId {
  return MemberId(`${name}.0`);
}

function createMember(name: string, id: MemberId, address: string, failureDomain: string): Member {
  return { $typeName: "ploverstage.v1.Member", id, name, address, learner: false, failureDomain };
}

async function holdsState(address: string, secret: string): Promise<boolean> {
  const client = createClient(ConsensusService, createRpcTransport(address, secret));
  const identity = await client.identity({}, { timeoutMs: CONNECT_MS }).catch(() => undefined);
  return identity !== undefined && identity.lastIndex > 0;
}

/** An empty folder gets a new identity, without members: it waits to be let in. */
async function openDataFolder({ settings, logger }: ControlProcessOptions) {
  const { dataFolder } = settings.control;
  if ((await FileStorage.getMemberId(dataFolder)) === undefined) {
    const id = MemberId(`${settings.process.name}.${randomBytes(6).toString("hex")}`);
    await FileStorage.create(dataFolder, id, undefined);
    logger.warn({ event: "data_folder_created", member: id, reason: "it was empty; joining as a learner" });
  }
  return FileStorage.open(dataFolder);
}

function createDriver(
  { settings, onFatal }: ControlProcessOptions,
  storage: FileStorage,
  stored: StoredState,
  transport: PeerTransport,
  clock: SystemClock,
): ConsensusDriver {
  const node = new RaftNode({
    id: stored.memberId,
    membership: createMembership([]),
    hardState: stored.hardState,
    snapshot: stored.snapshot,
    entries: stored.entries,
    timing: DEFAULT_TIMING,
    random: new SeededRandom(randomBytes(4).readInt32LE()),
    now: clock.getMonotonicMs(),
  });
  return new ConsensusDriver({
    node,
    hardState: stored.hardState,
    snapshot: stored.snapshot,
    storage,
    transport,
    getAddress: (memberId) => getPeerAddress(settings, memberId),
    clock,
    onFatal,
  });
}

/** What this process's settings say of a peer wins over what the members agreed on. */
function getPeerAddress(settings: ControlSettings, memberId: MemberId): string | undefined {
  const name = memberId.slice(0, memberId.lastIndexOf("."));
  return settings.control.peers.find((peer) => peer.name === name)?.address;
}

/** Begins a leadership with each term in which this process leads, and ends it after. */
function startLeadershipWatch(
  { settings, secrets, logger, metrics }: ControlProcessOptions,
  driver: ConsensusDriver,
  clock: SystemClock,
  configurations: ConfigurationCache,
) {
  const client = new HttpClient();
  let current: Leadership | undefined;
  const createEngine = (address: string) =>
    new HttpEngine({
      client,
      address,
      orderSecret: secrets.order,
      connectMs: CONNECT_MS,
      getIdleMs: () => CONNECT_MS,
    });
  const update = () => {
    const isCurrent = driver.isLeader() && current?.term === driver.node.term;
    if (isCurrent || (!driver.isLeader() && current === undefined)) return;
    current?.end();
    current = undefined;
    if (!driver.isLeader()) return;
    const platform = new HttpInstanceSource(client, settings.platform.address);
    current = new Leadership({ driver, platform, createEngine, clock, logger, metrics, configurations });
    current.start();
    logger.info({ event: "leadership_began", term: current.term });
  };
  const timer = setInterval(() => {
    update();
    reportConsensus(driver, metrics);
  }, WATCH_MS);
  const getLeadership = () => {
    update();
    return current;
  };
  const stop = () => {
    clearInterval(timer);
    current?.end();
    client.close();
  };
  return { getLeadership, stop };
}

function reportConsensus(driver: ConsensusDriver, metrics: Metrics): void {
  metrics.gauge("consensus_term", driver.node.term);
  metrics.gauge("consensus_commit_index", driver.node.commitIndex);
  metrics.gauge("consensus_leader", driver.isLeader() ? 1 : 0);
}

function serveRpc(
  listen: string,
  secret: string,
  interfaceName: string,
  routes: Parameters<typeof RpcServer.start>[0]["routes"],
) {
  return Effect.acquireRelease(
    Effect.tryPromise({
      try: () =>
        RpcServer.start({ listen, routes, interceptors: [createSecretGuard(secret, interfaceName)] }),
      catch: (cause) => cause,
    }),
    (server) => Effect.promise(() => server.stop()),
  );
}

function serveHealth({ settings }: ControlProcessOptions, driver: ConsensusDriver) {
  const listen = settings.control.healthListen;
  if (listen === undefined) return Effect.void;
  const check = () => (driver.node.leaderId === "" ? "no leader is known" : undefined);
  return Effect.acquireRelease(
    Effect.tryPromise({ try: () => startHealthServer(listen, check), catch: (cause) => cause }),
    (server) => Effect.sync(() => server.close()),
  );
}

/** Asks the leader to let this member in until it votes. */
function joinMembership(
  { settings, secrets, logger }: ControlProcessOptions,
  driver: ConsensusDriver,
  clock: SystemClock,
) {
  const { control, process } = settings;
  const self = control.peers.find((peer) => peer.name === process.name);
  const others = control.peers.filter((peer) => peer.name !== process.name).map((peer) => peer.address);
  if (self === undefined || others.length === 0) return Effect.void;
  const member = createMember(process.name, MemberId(driver.node.id), self.address, process.failureDomain);
  const client = new LeaderClient(ConsensusService, { addresses: others, secret: secrets.cluster, clock });
  const step = Effect.promise(async () => {
    if (isVoter(driver.node.membership, driver.node.id)) return true;
    const answer = await client
      .call((leader, timeoutMs) => leader.join({ member }, { timeoutMs }), JOIN_MS)
      .catch((cause: unknown) => logger.warn({ event: "join_failed", reason: String(cause) }));
    return answer?.voting ?? false;
  });
  return step.pipe(
    Effect.tap((isVoting) => (isVoting ? Effect.void : Effect.sleep(JOIN_MS / 10))),
    Effect.repeat({ until: (isVoting) => isVoting }),
  );
}
