/**
 * A control process: one member of the agreed state, and the planner while it leads.
 *
 * Built as an Effect with a scope: what is started is stopped in the opposite order.
 */
import { createClient } from "@connectrpc/connect";
import { Effect, type Scope } from "effect";
import { SystemClock } from "../clock";
import { type ConsensusDriver, createMembership } from "../consensus";
import { HttpInstanceSource } from "../discovery";
import { HttpEngine } from "../engine";
import { ForeignData } from "../errors";
import { ConsensusService } from "../gen/ploverstage/v1/consensus_pb";
import { HttpClient } from "../http";
import { MemberId } from "../ids";
import { FileStorage } from "../log";
import {
  addConsensusRoutes,
  createInitialSnapshot,
  createMember,
  createMemberDriver,
  getBootstrapMemberId,
  joinMembership,
  LeaderGuard,
  LeadershipWatch,
  openDataFolder,
  PeerTransport,
  serveRpc,
} from "../membership";
import type { Logger, Metrics } from "../metrics";
import { startHealthServer } from "../process";
import { createRpcTransport, TransportPool } from "../rpc";
import type { ControlSettings } from "../settings";
import { ConfigurationCache } from "./ConfigurationCache";
import { Leadership } from "./Leadership";
import { PatchCache } from "./PatchCache";
import { addEntryRoutes, addOperatorRoutes } from "./routes";

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
const HAND_OVER_MS = 500;

/** Starts a control process; it runs until its scope is closed. */
export function startControlProcess(
  options: ControlProcessOptions,
): Effect.Effect<ConsensusDriver, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const clock = new SystemClock();
    const transports = new TransportPool(options.secrets.cluster);
    const { storage, stored } = yield* Effect.tryPromise({
      try: () =>
        openDataFolder(options.settings.control.dataFolder, options.settings.process.name, options.logger),
      catch: (cause) => cause,
    });
    const transport = yield* Effect.acquireRelease(
      Effect.sync(() => new PeerTransport(transports)),
      (opened) => Effect.sync(() => opened.close()),
    );
    const driver = createMemberDriver({
      storage,
      stored,
      transport,
      getAddress: (memberId) => getPeerAddress(options.settings, memberId),
      clock,
      onFatal: options.onFatal,
    });
    const configurations = new ConfigurationCache(() => driver.machine);
    const watch = yield* createWatch(options, driver, clock, configurations);
    const guard = new LeaderGuard(driver, () => watch.getLeadership());
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
    yield* Effect.addFinalizer(() => Effect.promise(() => driver.transferLeadership(HAND_OVER_MS)));
    yield* Effect.forkScoped(createJoin(options, driver, clock, transports));
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
    createMember(peer.name, getBootstrapMemberId(peer.name), peer.address, peer.failureDomain),
  );
  const snapshot = createInitialSnapshot(createMembership(members));
  await FileStorage.create(dataFolder, getBootstrapMemberId(settings.process.name), snapshot);
}

async function holdsState(address: string, secret: string): Promise<boolean> {
  const client = createClient(ConsensusService, createRpcTransport(address, secret));
  const identity = await client.identity({}, { timeoutMs: CONNECT_MS }).catch(() => undefined);
  return identity !== undefined && identity.lastIndex > 0;
}

/** What this process's settings say of a peer wins over what the members agreed on. */
function getPeerAddress(settings: ControlSettings, memberId: MemberId): string | undefined {
  const name = memberId.slice(0, memberId.lastIndexOf("."));
  return settings.control.peers.find((peer) => peer.name === name)?.address;
}

/** Makes what this process holds while it leads. */
function createWatch(
  { settings, secrets, logger, metrics }: ControlProcessOptions,
  driver: ConsensusDriver,
  clock: SystemClock,
  configurations: ConfigurationCache,
): Effect.Effect<LeadershipWatch<Leadership>, never, Scope.Scope> {
  return Effect.gen(function* () {
    const client = yield* Effect.acquireRelease(
      Effect.sync(() => new HttpClient()),
      (opened) => Effect.sync(() => opened.close()),
    );
    const createEngine = (address: string) =>
      new HttpEngine({
        client,
        address,
        orderSecret: secrets.order,
        connectMs: CONNECT_MS,
        getIdleMs: () => CONNECT_MS,
      });
    const platform = new HttpInstanceSource(client, settings.platform.address);
    const createLeadership = () =>
      new Leadership({ driver, platform, createEngine, clock, logger, metrics, configurations });
    return yield* Effect.acquireRelease(
      Effect.sync(() => new LeadershipWatch({ driver, createLeadership, logger, metrics })),
      (started) => Effect.sync(() => started.stop()),
    );
  });
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

/** Gets what this process joins the members with; settings name itself and all others. */
function createJoin(
  { settings, logger }: ControlProcessOptions,
  driver: ConsensusDriver,
  clock: SystemClock,
  transports: TransportPool,
): Effect.Effect<unknown> {
  const { control, process } = settings;
  const self = control.peers.find((peer) => peer.name === process.name);
  if (self === undefined) return Effect.void;
  const others = control.peers.filter((peer) => peer.name !== process.name).map((peer) => peer.address);
  return joinMembership({
    driver,
    member: createMember(process.name, MemberId(driver.node.id), self.address, process.failureDomain),
    getAddresses: () => others,
    followsHints: false,
    transports,
    clock,
    logger,
  });
}
