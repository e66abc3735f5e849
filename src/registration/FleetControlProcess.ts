/**
 * A control process whose instances register themselves: a member of the agreed state
 * and, while it leads, the planner of replicas.
 *
 * Members find each other from seeds alone: at the first start of the whole system the
 * seeds are the founding members, everyone else joins.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { Effect, type Scope } from "effect";
import { CallScheduler } from "../admission";
import { getProcessorMs, getSuspensionClock, LoopLag, SystemClock } from "../clock";
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
import { LoadWatch, SuspensionWatch } from "../process";
import { createCallCounter, TransportPool } from "../rpc";
import type { FleetControlSettings, LiveSettings } from "../settings";
import { ControlCallCounter } from "./ControlCallCounter";
import { FleetLeadership } from "./FleetLeadership";
import { FleetRelay } from "./FleetRelay";
import { addFleetRoutes } from "./fleetRoutes";
import type { InstanceOrders } from "./InstanceOrders";
import { PersistedView } from "./PersistedView";
import { ShownViewLog } from "./PublishedViewLog";
import { Registrar } from "./Registrar";
import type { ReplicaTimes } from "./ReplicaController";

/** What a fleet control process is started with. */
export interface FleetControlOptions {
  /** Addresses and folders count as read at the start; all else may change. */
  readonly settings: LiveSettings<FleetControlSettings>;
  readonly secret: string | undefined;
  readonly format: DeclarationFormat;
  readonly orders: InstanceOrders;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called once when the process can't go on. */
  readonly onFatal: (cause: unknown) => void;
}

const HAND_OVER_MS = 700;
/** Reports that pass until an instance that was refused is heard elsewhere. */
const REPORT_MARGIN = 1.25;
const MIN_REPORT_PATIENCE_MS = 300;

/** Starts a control process; it runs until its scope is closed. */
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
    const calls = yield* Effect.acquireRelease(
      Effect.sync(() => new ControlCallCounter(logger, options.metrics)),
      (opened) => Effect.sync(() => opened.stop()),
    );
    const getSeeds = () => getRpcAddresses(options.settings.current);
    const replayedAt = clock.getMonotonicMs();
    const { storage, stored } = yield* Effect.tryPromise({
      try: () => prepareDataFolder(options),
      catch: (cause) => cause,
    });
    meter.addWork("replay", stored.entries.length, clock.getMonotonicMs() - replayedAt);
    const known = yield* Effect.acquireRelease(
      Effect.promise(() => PersistedView.open(control.dataFolder, logger)),
      (opened) => Effect.sync(() => opened.stop()),
    );
    const transport = yield* Effect.acquireRelease(
      Effect.sync(() => new PeerTransport(transports)),
      (opened) => Effect.sync(() => opened.close()),
    );
    // A member's name is its address, so that an answer can be sent before the members are known.
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
    const lag = yield* Effect.acquireRelease(
      Effect.sync(
        () =>
          new LoopLag(clock, ({ lagMs, cpuMs }) =>
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
        lag,
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
          relay.updateSoon();
        },
      });
    const watch = yield* Effect.acquireRelease(
      Effect.sync(() => new LeadershipWatch({ driver, createLeadership, logger, metrics: options.metrics })),
      (started) => Effect.sync(() => started.stop()),
    );
    const getLeadership = () => watch.getLeadership();
    const relay = new FleetRelay({
      recovered: known.recovered,
      isFirstStart: control.isFirstStart,
      driver,
      getLeadership,
      getSeeds,
      listen: control.listen,
      publicAddress: control.publicAddress,
      transports,
      clock,
      logger,
      getReportTimeoutMs: () => getReportPatienceMs(options.settings.current),
    });
    const guard = new LeaderGuard(driver, getLeadership);
    const load = new CallLoad(options.metrics);
    const callOrder = new CallScheduler(options.metrics);
    yield* Effect.acquireRelease(
      Effect.sync(() => new LoadWatch({ clock, lag, load, logger, metrics: options.metrics })),
      (started) => Effect.sync(() => started.stop()),
    );
    const watching = {
      interceptors: [createCallCounter(load, clock)],
      onSession: () => load.addSession(),
      calls: callOrder,
    };
    const addRoutes = (router: ConnectRouter) => {
      addConsensusRoutes(router, driver);
      addFleetRoutes(router, {
        driver,
        guard,
        clock,
        hub: relay.hub,
        calls,
        meter,
        getLeadership,
        relaySuspicions: (suspicions) => relay.reportSuspicions(suspicions),
        relayCrashes: (crashes) => relay.reportCrashes(crashes),
        relayEntries: () => relay.sender.sendNow(),
      });
    };
    yield* serveRpc(control.listen, secret, "the cluster", addRoutes, watching);
    yield* Effect.acquireRelease(
      Effect.sync(() => driver.start()),
      () => Effect.promise(() => driver.stop()),
    );
    yield* Effect.addFinalizer(() => Effect.promise(() => driver.transferLeadership(HAND_OVER_MS)));
    yield* Effect.acquireRelease(
      Effect.sync(() => relay.start()),
      () => Effect.sync(() => relay.stop()),
    );
    const suspensions = new SuspensionWatch({
      clock: getSuspensionClock(),
      logger,
      metrics: options.metrics,
      onWake: () => relay.restart(),
    });
    yield* Effect.acquireRelease(
      Effect.sync(() => suspensions.start()),
      () => Effect.sync(() => suspensions.stop()),
    );
    const shownLog = new ShownViewLog(logger);
    known.start(
      () => {
        const source = relay.hub.getSource();
        shownLog.update(clock.getMonotonicMs(), source);
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
    // The seeds may all be gone by now; whoever hears a leader knows where it is.
    const getOthers = () =>
      [driver.getLeaderAddress(), ...getSeeds()].filter(
        (address) => address !== "" && address !== control.listen,
      );
    yield* Effect.forkScoped(
      joinMembership({
        driver,
        member,
        getAddresses: getOthers,
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
      recovered: known.recovered?.declaration?.version ?? 0,
      cpu_ms: getProcessorMs(),
    });
    return new Registrar({
      getLeadership,
      hasDeparted: (life) => driver.machine.hasDeparted(life),
      hasLeaderContact: () => relay.takesReports(),
      getEntries: () => relay.getEntries(),
      relay: relay.reports,
      sender: relay.sender,
      calls,
      callOrder,
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

/** Founding members make their folder with the founders agreed; all others join. */
async function prepareDataFolder({ settings: { current: settings }, logger }: FleetControlOptions) {
  const { dataFolder, publicAddress, seeds, isFirstStart } = settings.control;
  const isFounder = isFirstStart && seeds.includes(publicAddress);
  if (isFounder && (await FileStorage.getMemberId(dataFolder)) === undefined) {
    const founders = [...seeds]
      .sort()
      .map((seed) => createMember(seed, getBootstrapMemberId(seed), getRpcAddress(settings, seed), ""));
    await FileStorage.create(
      dataFolder,
      getBootstrapMemberId(publicAddress),
      createInitialSnapshot(createMembership(founders)),
    );
    logger.info({ event: "data_folder_founded", founders: seeds });
  }
  return openDataFolder(dataFolder, publicAddress, logger);
}

function getMemberName(memberId: MemberId): string {
  return memberId.slice(0, memberId.lastIndexOf("."));
}

/** All members serve each other at the same port of their machines. */
function getRpcAddress(settings: FleetControlSettings, publicAddress: string): string {
  return `${splitAddress(publicAddress).host}:${splitAddress(settings.control.listen).port}`;
}

function getRpcAddresses(settings: FleetControlSettings): string[] {
  return settings.control.seeds.map((seed) => getRpcAddress(settings, seed));
}

/**
 * A process that has lost the leader refuses reports early enough for an instance to be heard
 * by another one before it counts as absent.
 */
function getReportPatienceMs({ control }: FleetControlSettings): number {
  const { reportMs, reportsMissed } = control.replicas;
  return Math.max(MIN_REPORT_PATIENCE_MS, reportMs * (reportsMissed - REPORT_MARGIN));
}

function getReplicaTimes({ control }: FleetControlSettings): ReplicaTimes {
  const { reportMs, reportsMissed, loadWindowS, ...times } = control.replicas;
  return { ...times, presenceMs: reportMs * reportsMissed, loadWindowMs: loadWindowS * 1_000 };
}

/** Times are worked out once for each reading of the settings: planning asks for them very often. */
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

/** A declaration is parsed once a version. */
function createRouteCache(
  getDeclaration: () => { readonly version: number; readonly document: Uint8Array } | undefined,
  format: DeclarationFormat,
  meter: WorkMeter,
): () => RouteTable | undefined {
  let cached: RouteTable | undefined;
  return () => {
    const held = getDeclaration();
    if (held !== undefined && held.version !== cached?.declaration.version) {
      const parse = () => new RouteTable(format.parse(unpackDocument(held.document)));
      cached = meter.measure("parse", held.document.length, parse);
    }
    return cached;
  };
}
