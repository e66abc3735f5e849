/**
 * A control process for instances that register themselves. It is a member of the replicated state and, while
 * it leads, plans the replicas.
 *
 * Members discover each other from the seeds alone: at the first start of the whole system the seeds are the
 * bootstrap members, and every other process joins.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { Effect, type Scope } from "effect";
import { CallScheduler } from "../admission";
import { EventLoopLag, getProcessorMs, getSuspensionClock, SystemClock } from "../clock";
import { createMembership, getVoterCount } from "../consensus";
import { type DeclarationFormat, RouteTable, unpackDocument } from "../declaration";
import { splitAddress } from "../http";
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
import { CallLoad, type Logger, type Metrics, WorkMeter } from "../metrics";
import { LoadMonitor, MemoryUse, SuspensionMonitor } from "../process";
import { createCallCounter, TransportPool } from "../rpc";
import type { FleetControlSettings, LiveSettings } from "../settings";
import { CallLimits } from "./CallLimits";
import { ControlCallCounter } from "./ControlCallCounter";
import { FleetLeadership } from "./FleetLeadership";
import { FleetRelay } from "./FleetRelay";
import { addFleetRoutes } from "./fleetRoutes";
import type { InstanceOrders } from "./InstanceOrders";
import { PersistedView } from "./PersistedView";
import { PublishedViewLog } from "./PublishedViewLog";
import { Registrar } from "./Registrar";
import type { ReplicaTimes } from "./ReplicaController";

export interface FleetControlOptions {
  /** Addresses and folders are read once at the start; every other setting may change. */
  readonly settings: LiveSettings<FleetControlSettings>;
  readonly secret: string | undefined;
  readonly format: DeclarationFormat;
  readonly orders: InstanceOrders;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called once when the process cannot continue. */
  readonly onFatal: (cause: unknown) => void;
}

const BYTES_PER_MB = 1_000_000;
const LEADERSHIP_TRANSFER_MS = 700;
/** Report intervals that a refused instance needs to report to another control process. */
const REPORT_MARGIN_INTERVALS = 1.25;
const MIN_REPORT_TIMEOUT_MS = 300;

/** Starts a control process, which runs until its scope is closed. */
export function startFleetControl(
  options: FleetControlOptions,
): Effect.Effect<Registrar, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const { secret, logger } = options;
    const settings = options.settings.current;
    const { control } = settings;
    const clock = new SystemClock();
    const transports = new TransportPool(secret);
    const meter = new WorkMeter({ clock, logger, metrics: options.metrics });
    const callLedger = yield* Effect.acquireRelease(
      Effect.sync(() => new ControlCallCounter(logger, options.metrics)),
      (opened) => Effect.sync(() => opened.stop()),
    );
    const getSeeds = () => getRpcAddresses(options.settings.current);
    const replayStartedAt = clock.getMonotonicMs();
    const { storage, stored } = yield* Effect.tryPromise({
      try: () => prepareDataFolder(options),
      catch: (cause) => cause,
    });
    meter.addWork("replay", stored.entries.length, clock.getMonotonicMs() - replayStartedAt);
    const persistedView = yield* Effect.acquireRelease(
      Effect.promise(() => PersistedView.open(control.dataFolder, logger)),
      (opened) => Effect.sync(() => opened.stop()),
    );
    const transport = yield* Effect.acquireRelease(
      Effect.sync(() => new PeerTransport(transports, logger)),
      (opened) => Effect.sync(() => opened.close()),
    );
    // A member's name is its address, so the process can answer before it has received the member list.
    const driver = createMemberDriver({
      storage,
      stored,
      transport,
      getAddress: (memberId) => getRpcAddress(settings, getMemberName(memberId)),
      clock,
      maxVoters: getVoterCount(control.lossesBorne),
      onFatal: options.onFatal,
    });
    const getTimes = createTimesCache(options.settings);
    const getRoutes = createRouteCache(() => driver.machine.getDeclaration(), options.format, meter);
    const loopLag = yield* Effect.acquireRelease(
      Effect.sync(
        () =>
          new EventLoopLag(clock, ({ lagMs, cpuMs }) =>
            logger.warn({
              event: "process_stalled",
              lag_ms: Math.round(lagMs),
              cpu_ms: Math.round(cpuMs),
            }),
          ),
      ),
      (started) => Effect.sync(() => started.stop()),
    );
    const createLeadership = () =>
      new FleetLeadership({
        lag: loopLag,
        meter,
        metrics: options.metrics,
        driver,
        orders: options.orders,
        clock,
        logger,
        isFirstStart: control.isFirstStart,
        getTimes,
        getRoutes,
        entries: relay.hub.entries,
        onChange: () => {
          relay.hub.notify();
          relay.scheduleUpdate();
        },
      });
    const leadershipWatch = yield* Effect.acquireRelease(
      Effect.sync(() => new LeadershipWatch({ driver, createLeadership, logger, metrics: options.metrics })),
      (started) => Effect.sync(() => started.stop()),
    );
    const getLeadership = () => leadershipWatch.getLeadership();
    const relay = new FleetRelay({
      recovered: persistedView.recovered,
      isFirstStart: control.isFirstStart,
      driver,
      getLeadership,
      getSeeds,
      listen: control.listen,
      publicAddress: control.publicAddress,
      transports,
      clock,
      logger,
      getReportTimeoutMs: () => getReportTimeoutMs(options.settings.current),
    });
    const guard = new LeaderGuard(driver, getLeadership);
    const callLoad = new CallLoad(options.metrics);
    const callOrder = new CallScheduler(options.metrics);
    const memoryUse = new MemoryUse();
    const callLimits = new CallLimits({
      limitBytes: control.memoryMb * BYTES_PER_MB,
      getOwnBytes: () => memoryUse.getOwnBytes(clock.getMonotonicMs()),
      maxDescriptors: control.maxDescriptors,
      calls: callOrder,
      metrics: options.metrics,
    });
    yield* Effect.acquireRelease(
      Effect.sync(
        () => new LoadMonitor({ clock, lag: loopLag, load: callLoad, logger, metrics: options.metrics }),
      ),
      (started) => Effect.sync(() => started.stop()),
    );
    const serverOptions = {
      interceptors: [createCallCounter(callLoad, clock)],
      onSession: () => callLoad.recordSession(),
      calls: callOrder,
    };
    const addRoutes = (router: ConnectRouter) => {
      addConsensusRoutes(router, driver);
      addFleetRoutes(router, {
        driver,
        guard,
        clock,
        hub: relay.hub,
        calls: callLedger,
        meter,
        getLeadership,
        relaySuspicions: (suspicions) => relay.reportSuspicions(suspicions),
        relayCrashes: (crashes) => relay.reportCrashes(crashes),
        relayEntries: () => relay.sender.sendNow(),
      });
    };
    yield* serveRpc(control.listen, secret, "the cluster", addRoutes, serverOptions);
    yield* Effect.acquireRelease(
      Effect.sync(() => driver.start()),
      () => Effect.promise(() => driver.stop()),
    );
    yield* Effect.addFinalizer(() => Effect.promise(() => driver.transferLeadership(LEADERSHIP_TRANSFER_MS)));
    yield* Effect.acquireRelease(
      Effect.sync(() => relay.start()),
      () => Effect.sync(() => relay.stop()),
    );
    const suspensionWatch = new SuspensionMonitor({
      clock: getSuspensionClock(),
      logger,
      metrics: options.metrics,
      onResume: () => relay.restart(),
    });
    yield* Effect.acquireRelease(
      Effect.sync(() => suspensionWatch.start()),
      () => Effect.sync(() => suspensionWatch.stop()),
    );
    const publishedViewLog = new PublishedViewLog(logger);
    persistedView.start(
      () => {
        const source = relay.hub.getSource();
        publishedViewLog.update(clock.getMonotonicMs(), source);
        return source;
      },
      () => clock.getMonotonicMs(),
      () => relay.committedDeclaration,
    );
    const member = createMember(
      control.publicAddress,
      MemberId(driver.node.id),
      control.listen,
      settings.process.failureDomain,
    );
    // All seeds may have been replaced by now; a process that receives messages from a leader has the
    // leader's address.
    const getOtherAddresses = () =>
      [driver.getLeaderAddress(), ...getSeeds()].filter(
        (address) => address !== "" && address !== control.listen,
      );
    yield* Effect.forkScoped(
      joinMembership({
        driver,
        member,
        getAddresses: getOtherAddresses,
        followsHints: true,
        transports,
        clock,
        logger,
      }),
    );
    logger.info({
      event: "control_started",
      member: driver.node.id,
      term: stored.hardState.term,
      entries: stored.entries.length,
      recovered: persistedView.recovered?.declaration?.version ?? 0,
      cpu_ms: getProcessorMs(),
    });
    return new Registrar({
      getLeadership,
      hasDeparted: (life) => driver.machine.hasDeparted(life),
      hasLeaderContact: () => relay.acceptsReports(),
      getEntries: () => relay.getEntries(),
      relay: relay.reports,
      sender: relay.sender,
      calls: callLedger,
      callLimits,
      client: relay.client,
      getSeeds,
      format: options.format,
      clock,
      logger,
      metrics: options.metrics,
      publicAddress: control.publicAddress,
    });
  });
}

/**
 * Creates the data folder of a bootstrap member with the bootstrap membership; any other process joins later.
 */
async function prepareDataFolder({ settings: { current: settings }, logger }: FleetControlOptions) {
  const { dataFolder, publicAddress, seeds, isFirstStart } = settings.control;
  const isBootstrapMember = isFirstStart && seeds.includes(publicAddress);
  if (isBootstrapMember && (await FileStorage.getMemberId(dataFolder)) === undefined) {
    const bootstrapMembers = [...seeds]
      .sort()
      .map((seed) => createMember(seed, getBootstrapMemberId(seed), getRpcAddress(settings, seed), ""));
    await FileStorage.create(
      dataFolder,
      getBootstrapMemberId(publicAddress),
      createInitialSnapshot(createMembership(bootstrapMembers)),
    );
    logger.info({ event: "data_folder_founded", founders: seeds });
  }
  return openDataFolder(dataFolder, publicAddress, logger);
}

function getMemberName(memberId: MemberId): string {
  return memberId.slice(0, memberId.lastIndexOf("."));
}

/** Gets the RPC address of a member: all members listen on the same port. */
function getRpcAddress(settings: FleetControlSettings, publicAddress: string): string {
  return `${splitAddress(publicAddress).host}:${splitAddress(settings.control.listen).port}`;
}

function getRpcAddresses(settings: FleetControlSettings): string[] {
  return settings.control.seeds.map((seed) => getRpcAddress(settings, seed));
}

/**
 * Gets how long reports are still accepted without contact with a leader, milliseconds. The time is short
 * enough for a refused instance to report to another process before it counts as absent.
 */
function getReportTimeoutMs({ control }: FleetControlSettings): number {
  const { reportMs, reportsMissed } = control.replicas;
  return Math.max(MIN_REPORT_TIMEOUT_MS, reportMs * (reportsMissed - REPORT_MARGIN_INTERVALS));
}

function getReplicaTimes({ control }: FleetControlSettings): ReplicaTimes {
  const { reportMs, reportsMissed, loadWindowS, ...times } = control.replicas;
  return { ...times, presenceMs: reportMs * reportsMissed, loadWindowMs: loadWindowS * 1_000 };
}

/** Caches the times until the settings change, because planning reads them very often. */
function createTimesCache(settings: LiveSettings<FleetControlSettings>): () => ReplicaTimes {
  let source: FleetControlSettings | undefined;
  let times: ReplicaTimes | undefined;
  return () => {
    if (times === undefined || settings.current !== source) {
      source = settings.current;
      times = getReplicaTimes(source);
    }
    return times;
  };
}

/** Caches the routes, so that each version of the declaration is parsed once. */
function createRouteCache(
  getDeclaration: () => { readonly version: number; readonly document: Uint8Array } | undefined,
  format: DeclarationFormat,
  meter: WorkMeter,
): () => RouteTable | undefined {
  let cached: RouteTable | undefined;
  return () => {
    const current = getDeclaration();
    if (current !== undefined && current.version !== cached?.declaration.version) {
      const parse = () => new RouteTable(format.parse(unpackDocument(current.document)));
      cached = meter.measure("parse", current.document.length, parse);
    }
    return cached;
  };
}
