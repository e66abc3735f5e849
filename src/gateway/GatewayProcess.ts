/**
 * Runs an entry that routes by declarations: it follows the control leader's view and passes requests on to
 * targets.
 *
 * An entry that can't reach control continues to serve from its cached view. Targets refuse requests that are
 * not meant for them, and a slightly outdated route serves callers better than a refusal.
 */
import { randomBytes } from "node:crypto";
import { create } from "@bufbuild/protobuf";
import { Effect, type Scope } from "effect";
import { type Clock, EventLoopLag, getProcessorMs, getSuspensionClock, pause, SystemClock } from "../clock";
import { SeededRandom } from "../consensus";
import { CrashLedger } from "../containment";
import { type DeclarationFormat, RouteTable, unpackDocument } from "../declaration";
import { EntryEndpointSchema, type ViewUpdate } from "../gen/ploverstage/v1/fleet_pb";
import { HttpClient, listen, splitAddress } from "../http";
import type { Logger, Metrics } from "../metrics";
import { MemoryUse, SuspensionMonitor } from "../process";
import {
  CrashReporter,
  FollowedView,
  orderByAffinity,
  SuspicionReporter,
  ViewWatcher,
} from "../registration";
import { type RetryBound, SharedRetryBudget } from "../routing";
import { TransportPool } from "../rpc";
import { bufferCollection, createHttpServer, getCallerLimit, MemoryBudget } from "../server";
import type { GatewaySettings, LiveSettings } from "../settings";
import { AnswerBuffers } from "./AnswerBuffers";
import { CrashMonitor } from "./CrashMonitor";
import type { Dialect } from "./Dialect";
import { EntryLinks } from "./EntryLinks";
import { GatewayServer } from "./GatewayServer";
import { RelayServer } from "./RelayServer";
import { StreamGate } from "./StreamGate";
import { TargetPool } from "./TargetPool";

export interface GatewayOptions {
  /** Addresses are read once at the start; all other settings may change at runtime. */
  readonly settings: LiveSettings<GatewaySettings>;
  readonly secret: string | undefined;
  readonly format: DeclarationFormat;
  readonly dialect: Dialect;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Connections for readiness checks. */
const MAX_CHECKING_CONNECTIONS = 64;
const ENDPOINT_IDLE_TIMEOUT_MS = 30_000;
const BYTES_PER_MB = 1_000_000;
/** Fraction of the descriptors for callers; their requests need the others for connections to endpoints. */
const CALLER_SHARE = 0.6;
/**
 * Fraction of an entry's share of the endpoints' slots that may initially wait for a first event; the other
 * slots are expected to be generating answers. Callers that return after a power loss find few replicas: with
 * an initial window of 32 streams at each of 7 entries they waited in the endpoints' queues for up to 2 s.
 * Over four days the mean worth was 0.710 with that window and 0.722 with this fraction; 0.013 and 0.010 of
 * all requests were refused.
 */
const INITIAL_WINDOW_SHARE = 0.5;
/**
 * Fraction of the stop timeout in which requests are still accepted; they need the rest of it to complete.
 */
const ACCEPTING_SHARE = 0.36;
/** Maximum fraction of the stop timeout that is assumed to have passed before the signal was handled. */
const MAX_LATE_SHARE = 0.5;
/**
 * Fraction of the stop timeout after which the listening socket closes even while requests are in progress.
 */
const LISTENING_SHARE = 0.8;
/**
 * Fraction of the stop timeout after which connections are no longer accepted, even if callers keep
 * connecting.
 */
const CONNECTING_SHARE = 0.88;
/** Fraction of the stop timeout after which the remaining connections are closed. */
const ENDING_SHARE = 0.95;

/** Starts a gateway; closing its scope stops it gracefully. */
export function startGateway(options: GatewayOptions): Effect.Effect<GatewayServer, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const parts = createParts(options);
    yield* Effect.addFinalizer(() => Effect.sync(() => parts.client.close()));
    yield* Effect.addFinalizer(() => Effect.sync(() => parts.lag.stop()));
    yield* Effect.addFinalizer(() => Effect.sync(() => parts.links.stop()));
    yield* Effect.acquireRelease(
      Effect.tryPromise({ try: () => startServers(parts), catch: (cause) => cause }),
      () => Effect.promise(() => stopGracefully(options, parts)),
    );
    yield* serveReadiness(options, parts);
    yield* Effect.acquireRelease(
      Effect.sync(() => parts.reporter.start()),
      () => Effect.sync(() => parts.reporter.stop()),
    );
    yield* Effect.acquireRelease(
      Effect.sync(() => parts.suspensions.start()),
      () => Effect.sync(() => parts.suspensions.stop()),
    );
    void parts.watcher.run();
    options.logger.info({
      event: "gateway_started",
      listen: options.settings.current.gateway.listen,
      cpu_ms: getProcessorMs(),
    });
    return parts.server;
  });
}

function createParts({ settings: live, secret, format, dialect, logger, metrics }: GatewayOptions) {
  const { gateway, process } = live.current;
  const clock = new SystemClock();
  const random = new SeededRandom(randomBytes(4).readInt32LE());
  const client = new HttpClient({
    keepAliveMs: ENDPOINT_IDLE_TIMEOUT_MS,
    sourceAddress: gateway.sourceAddress,
  });
  const view = new FollowedView();
  const pool = new TargetPool(random);
  const lag = new EventLoopLag(clock);
  const links = new EntryLinks({
    clock,
    random,
    pool,
    client,
    logger,
    metrics,
    getLagMs: () => lag.getWorstMs(),
    reportLoss: () => watcher.reportEntry(),
  });
  const budget = new SharedRetryBudget(() => getRetryBound(live.current));
  const getEntryCount = () => Math.max(1, view.entryCount);
  const memoryUse = new MemoryUse();
  const memory = new MemoryBudget({
    limitBytes: gateway.memoryMb * BYTES_PER_MB,
    getOwnBytes: () => memoryUse.getOwnBytes(clock.getMonotonicMs()),
    onEvicted: () => metrics.increment("gateway_bodies_evicted", 1),
    onGaveWay: () => metrics.increment("bodies_gave_way", 1),
  });
  bufferCollection.start(() => memory.bufferBytes);
  let routes: RouteTable | undefined;
  let proposedRoutes: RouteTable | undefined;
  const ledger = new CrashLedger();
  const crashMonitor = new CrashMonitor({
    ledger,
    logger,
    metrics,
    probe: (address) => client.probe(address),
    isExplained: (attempt) => links.destinations.explainsBreak(attempt),
    onChange: () => {
      reporter.sendSoon();
      server.withdrawConfirmedCauses();
    },
  });
  const onChange = ({ crashRecords }: ViewUpdate) => {
    if (crashRecords.length > 0) {
      crashMonitor.addCommitted(clock.getMonotonicMs(), crashRecords);
      server.withdrawConfirmedCauses();
    }
    const targets = view.getTargets();
    pool.setTargets(targets);
    links.updateTargets();
    links.setPeers(view.getPeers());
    updateRoutes();
    server.updateView();
  };
  const updateRoutes = () => {
    const cached = view.declaration;
    if (cached === undefined || cached.version === routes?.declaration.version) return;
    routes = new RouteTable(format.parse(unpackDocument(cached.document)));
    server.updateDeclaration();
    metrics.gauge("declaration_version", cached.version);
  };
  const isConfirmed = () => view.isConfirmed && watcher.isCurrent;
  const getProposedRoutes = () => {
    const { proposed } = view;
    if (proposed === undefined || isConfirmed()) return undefined;
    if (proposed.version !== proposedRoutes?.declaration.version)
      proposedRoutes = new RouteTable(format.parse(unpackDocument(proposed.document)));
    return proposedRoutes;
  };
  const server = new GatewayServer({
    listen: gateway.listen,
    maxConnections: getCallerLimit(gateway.maxDescriptors, CALLER_SHARE),
    clock,
    random,
    logger,
    metrics,
    dependencies: {
      clock,
      client,
      dialect,
      pool,
      destinations: links.destinations,
      secret,
      crashMonitor,
      memory,
      buffers: new AnswerBuffers(memory),
      gate: new StreamGate(clock, (service, model) =>
        getInitialWindow(pool, getEntryCount(), service, model),
      ),
      random,
      takeRetry: () => budget.takeRetry(clock.getMonotonicMs(), getEntryCount()),
      onSuspicion: (target, isUnreachable) => {
        if (target.model === "") return;
        suspicions.report({
          targetId: target.id,
          instanceId: target.instanceId,
          unreachable: isUnreachable,
        });
      },
    },
    getRoutes: () => routes,
    isConfirmed,
    getProposedRoutes,
    getPublishedView: () => watcher.getReceivedView(clock.getMonotonicMs()),
    onRequest: () => budget.addRequest(clock.getMonotonicMs(), getEntryCount()),
  });
  const watcherId = `${process.name}.${randomBytes(6).toString("hex")}`;
  const watcher = new ViewWatcher({
    watcherId,
    getEntry: () =>
      create(EntryEndpointSchema, {
        address: gateway.listen,
        failureDomain: process.failureDomain,
        peerAddress: gateway.peerListen ?? "",
        lostServices: [...links.lostServices],
      }),
    getSeeds: () => getControlAddresses(live.current),
    // Spreads the entries over the control processes.
    orderCandidates: (addresses) => orderByAffinity(watcherId, addresses),
    transports: new TransportPool(secret),
    view,
    clock,
    logger,
    onChange,
    onDeclaration: () => {
      updateRoutes();
      server.updateView();
    },
  });
  const suspicions = new SuspicionReporter({
    send: (suspected) => watcher.reportSuspicions(suspected),
    clock,
    logger,
  });
  const reporter = new CrashReporter(ledger, watcher, logger);
  const suspensions = new SuspensionMonitor({
    clock: getSuspensionClock(),
    logger,
    metrics,
    onResume: () => {
      server.endExpired();
      client.closeIdle();
      watcher.restart();
    },
  });
  return {
    clock,
    lag,
    links,
    client,
    server,
    relayServer: createRelayServer(gateway.peerListen, { clock, logger, secret, server }),
    watcher,
    reporter,
    suspensions,
    getRoutes: () => routes,
  };
}

interface RelayParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly secret: string | undefined;
  readonly server: GatewayServer;
}

/** Creates the server for requests that other entries relay; `undefined` without an address for it. */
function createRelayServer(
  address: string | undefined,
  { clock, logger, secret, server }: RelayParts,
): RelayServer | undefined {
  if (address === undefined) return undefined;
  return new RelayServer({
    listen: address,
    clock,
    logger,
    secret,
    handle: (incoming, response, relayed) => server.handleRelayed(incoming, response, relayed),
  });
}

/**
 * Gets the initial window of an entry: a fraction of its share of the requests that the endpoints run
 * concurrently.
 */
function getInitialWindow(pool: TargetPool, entries: number, service: string, model: string): number {
  return (pool.getSlots(service, model) / entries) * INITIAL_WINDOW_SHARE;
}

async function startServers({ server, relayServer }: Parts): Promise<void> {
  await relayServer?.start();
  await server.start();
}

type Parts = ReturnType<typeof createParts>;

function getControlAddresses({ gateway }: GatewaySettings): string[] {
  const { seeds, controlPort } = gateway;
  if (controlPort === undefined) return [...seeds];
  return seeds.map((seed) => `${splitAddress(seed).host}:${controlPort}`);
}

function getRetryBound({ gateway }: GatewaySettings): RetryBound {
  return { ratio: gateway.retryRatio, extra: gateway.retryExtra, windowMs: gateway.retryWindowS * 1_000 };
}

/**
 * Stops a gateway in steps: callers are directed elsewhere at once, but still served for some time; then new
 * requests are refused while those in progress complete; connections close after their callers have been
 * notified.
 */
async function stopGracefully({ settings, logger }: GatewayOptions, parts: Parts): Promise<void> {
  const stopMs = settings.current.gateway.stopS * 1_000;
  // The stop timeout counts from the signal, which a process with a blocked event loop handles late.
  const lateMs = Math.min(Math.max(0, parts.lag.getWorstMs()), stopMs * MAX_LATE_SHARE);
  const startedAt = parts.clock.getMonotonicMs() - lateMs;
  const getRemainingMs = (share: number) =>
    Math.max(0, stopMs * share - (parts.clock.getMonotonicMs() - startedAt));
  logger.info({
    event: "gateway_stopping",
    requests: parts.server.requestCount,
    late_ms: Math.round(lateMs),
  });
  parts.server.announceStop();
  parts.relayServer?.announceStop();
  await parts.watcher.announceStop();
  await pause(getRemainingMs(ACCEPTING_SHARE));
  parts.server.refuseAll();
  await Promise.race([parts.server.waitUntilIdle(), pause(getRemainingMs(LISTENING_SHARE))]);
  const ended = parts.server.endConnections(getRemainingMs(CONNECTING_SHARE));
  await Promise.race([ended, pause(getRemainingMs(ENDING_SHARE))]);
  const { requestCount: requests, connectionCount: connections } = parts.server;
  parts.server.stop();
  parts.relayServer?.stop();
  // Connections that are still open now are closed.
  logger.info({ event: "gateway_stopped", requests, connections });
}

/** Serves readiness: 200 while callers may be directed to this entry, else 503. */
function serveReadiness({ settings }: GatewayOptions, parts: Parts) {
  const { readyListen } = settings.current.gateway;
  if (readyListen === undefined) return Effect.void;
  const server = createHttpServer();
  server.maxConnections = MAX_CHECKING_CONNECTIONS;
  server.on("request", (_request, response) => {
    const isReady = parts.getRoutes() !== undefined && !parts.server.isStopping;
    response.writeHead(isReady ? 200 : 503, { "Content-Length": 0 }).end();
  });
  return Effect.acquireRelease(
    Effect.tryPromise({ try: () => listen(server, readyListen), catch: (cause) => cause }),
    () => Effect.sync(() => server.close()),
  );
}
