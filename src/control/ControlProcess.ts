/**
 * A control process: one consensus member, which also runs the planner while it is the leader.
 *
 * Built as an Effect with a scope: closing the scope stops the parts in reverse order of their start.
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

/** Shared secrets, read from their files. */
export interface ControlSecrets {
  readonly cluster: string;
  readonly operator: string;
  readonly order: string;
}

export interface ControlProcessOptions {
  readonly settings: ControlSettings;
  readonly secrets: ControlSecrets;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called once when the process can't continue. */
  readonly onFatal: (cause: unknown) => void;
}

const CONNECT_TIMEOUT_MS = 1_000;
const TRANSFER_TIMEOUT_MS = 500;

/** Starts a control process, which runs until its scope is closed. */
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
      Effect.sync(() => new PeerTransport(transports, options.logger)),
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
    const watch = yield* createLeadershipWatch(options, driver, clock, configurations);
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
    yield* Effect.addFinalizer(() => Effect.promise(() => driver.transferLeadership(TRANSFER_TIMEOUT_MS)));
    yield* Effect.forkScoped(createJoin(options, driver, clock, transports));
    options.logger.info({ event: "control_started", member: driver.node.id, term: stored.hardState.term });
    return driver;
  });
}

/**
 * Creates the data folder of one of the first members.
 * @throws ForeignData - When the folder is in use, or a peer already has committed state. In that case this
 * member must join, since it may have voted before it lost its disk.
 */
export async function initializeDataFolder(settings: ControlSettings, clusterSecret: string): Promise<void> {
  const { dataFolder, peers } = settings.control;
  for (const peer of peers) {
    if (peer.name !== settings.process.name && (await hasCommittedState(peer.address, clusterSecret))) {
      throw new ForeignData({
        folder: dataFolder,
        reason: `${peer.name} already has committed state; start without init to join`,
      });
    }
  }
  const members = peers.map((peer) =>
    createMember(peer.name, getBootstrapMemberId(peer.name), peer.address, peer.failureDomain),
  );
  const snapshot = createInitialSnapshot(createMembership(members));
  await FileStorage.create(dataFolder, getBootstrapMemberId(settings.process.name), snapshot);
}

async function hasCommittedState(address: string, secret: string): Promise<boolean> {
  const client = createClient(ConsensusService, createRpcTransport(address, secret));
  const identity = await client.identity({}, { timeoutMs: CONNECT_TIMEOUT_MS }).catch(() => undefined);
  return identity !== undefined && identity.lastIndex > 0;
}

/**
 * Gets a peer's address from the settings, which take precedence over the address in the committed
 * membership.
 */
function getPeerAddress(settings: ControlSettings, memberId: MemberId): string | undefined {
  const name = memberId.slice(0, memberId.lastIndexOf("."));
  return settings.control.peers.find((peer) => peer.name === name)?.address;
}

/** Creates the watch that starts a `Leadership` each time this process becomes leader. */
function createLeadershipWatch(
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
        connectMs: CONNECT_TIMEOUT_MS,
        getIdleMs: () => CONNECT_TIMEOUT_MS,
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

/**
 * Creates the effect that joins this process to the consensus members; the settings list it and all its
 * peers.
 */
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
