/**
 * An entry that routes by declarations: follows the control leader's view and passes
 * requests on to targets.
 *
 * Out of touch with control it serves on from the last view: targets refuse what is not
 * theirs, and a refused caller is worse served than one that is served as of a moment ago.
 */
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import { Effect, type Scope } from "effect";
import { EventLoopLag, getProcessorMs, getSuspensionClock, pause, SystemClock } from "../clock";
import { SeededRandom } from "../consensus";
import { CrashLedger } from "../containment";
import { type DeclarationFormat, RouteTable, unpackDocument } from "../declaration";
import type { ViewUpdate } from "../gen/ploverstage/v1/fleet_pb";
import { HttpClient, listen, splitAddress } from "../http";
import type { Logger, Metrics } from "../metrics";
import { SuspensionMonitor } from "../process";
import {
  CrashReporter,
  FollowedView,
  orderByAffinity,
  SuspicionReporter,
  ViewWatcher,
} from "../registration";
import { type RetryBound, SharedRetryBudget } from "../routing";
import { TransportPool } from "../rpc";
import type { GatewaySettings, LiveSettings } from "../settings";
import { HeldBytes } from "./AnswerBuffers";
import { CrashMonitor } from "./CrashMonitor";
import type { Dialect } from "./Dialect";
import { GatewayServer } from "./GatewayServer";
import { StreamGate } from "./StreamGate";
import { TargetPool } from "./TargetPool";

/** What a gateway is started with. */
export interface GatewayOptions {
  /** Addresses count as read at the start; all else may change. */
  readonly settings: LiveSettings<GatewaySettings>;
  readonly secret: string | undefined;
  readonly format: DeclarationFormat;
  readonly dialect: Dialect;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const IDLE_ENDPOINT_MS = 30_000;
/** Of answers that are not whole, over all requests: a process has a few hundred megabytes. */
const MAX_HELD_BYTES = 64 * 1_024 * 1_024;
/**
 * Part of an entry's share of the endpoints' slots that may wait for a first event at first: the rest
 * is writing. Callers that come back after a loss of power find few replicas: with a first window of
 * 32 streams at each of 7 entries they waited in the endpoints' queues for up to 2 s. Mean worth of
 * four days with that and with this 0.710 and 0.722, refused 0.013 and 0.010 of all.
 */
const FIRST_WINDOW_SHARE = 0.5;
/** Part of the time to stop in which requests are still taken; they need the rest of it to end. */
const ACCEPTING_SHARE = 0.36;
/** Part of the time to stop that may be over before it begins. */
const MAX_LATE_SHARE = 0.5;
/** Part of the time to stop after which nothing new is listened for, though callers still come. */
const LISTENING_SHARE = 0.8;
/** Part of the time to stop after which callers that connect without a pause are not accepted any more. */
const CONNECTING_SHARE = 0.88;
/** Part of the time to stop after which what is left is cut. */
const ENDING_SHARE = 0.95;

/** Starts a gateway; closing its scope is a planned stop. */
export function startGateway(options: GatewayOptions): Effect.Effect<GatewayServer, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const parts = createParts(options);
    yield* Effect.addFinalizer(() => Effect.sync(() => parts.client.close()));
    yield* Effect.addFinalizer(() => Effect.sync(() => parts.lag.stop()));
    yield* Effect.acquireRelease(
      Effect.tryPromise({ try: () => parts.server.start(), catch: (cause) => cause }),
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
  const client = new HttpClient(IDLE_ENDPOINT_MS);
  const view = new FollowedView();
  const pool = new TargetPool(random);
  const budget = new SharedRetryBudget(() => getRetryBound(live.current));
  const getEntryCount = () => Math.max(1, view.entryCount);
  let routes: RouteTable | undefined;
  const ledger = new CrashLedger();
  const crashes = new CrashMonitor({
    ledger,
    logger,
    metrics,
    onChange: () => {
      reporter.sendSoon();
      server.withdrawProven();
    },
  });
  const onChange = ({ crashRecords }: ViewUpdate) => {
    if (crashRecords.length > 0) {
      crashes.addAgreed(clock.getMonotonicMs(), crashRecords);
      server.withdrawProven();
    }
    const targets = view.getTargets();
    pool.setTargets(targets);
    updateRoutes();
  };
  const updateRoutes = () => {
    const held = view.declaration;
    if (held === undefined || held.version === routes?.declaration.version) return;
    routes = new RouteTable(format.parse(unpackDocument(held.document)));
    server.updateLimits();
    metrics.gauge("declaration_version", held.version);
  };
  const server = new GatewayServer({
    listen: gateway.listen,
    clock,
    random,
    logger,
    metrics,
    tools: {
      clock,
      client,
      dialect,
      pool,
      crashes,
      held: new HeldBytes(MAX_HELD_BYTES),
      gate: new StreamGate(clock, (service, model) => getFirstWindow(pool, getEntryCount(), service, model)),
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
    isConfirmed: () => view.isConfirmed && watcher.isCurrent,
    getShown: () => watcher.getReceivedView(clock.getMonotonicMs()),
    onRequest: () => budget.addRequest(clock.getMonotonicMs(), getEntryCount()),
  });
  const watcherId = `${process.name}.${randomBytes(6).toString("hex")}`;
  const watcher = new ViewWatcher({
    watcherId,
    entry: {
      $typeName: "ploverstage.v1.EntryEndpoint",
      address: gateway.listen,
      failureDomain: process.failureDomain,
    },
    getSeeds: () => getControlAddresses(live.current),
    // Entries are spread over the control processes.
    orderCandidates: (addresses) => orderByAffinity(watcherId, addresses),
    transports: new TransportPool(secret),
    view,
    clock,
    logger,
    onChange,
    onDeclaration: updateRoutes,
  });
  const suspicions = new SuspicionReporter({
    send: (told) => watcher.reportSuspicions(told),
    clock,
    logger,
  });
  const reporter = new CrashReporter(ledger, watcher, logger);
  const suspensions = new SuspensionMonitor({
    clock: getSuspensionClock(),
    logger,
    metrics,
    onResume: () => {
      server.endLate();
      client.closeIdle();
      watcher.restart();
    },
  });
  return {
    clock,
    lag: new EventLoopLag(clock),
    client,
    server,
    watcher,
    reporter,
    suspensions,
    getRoutes: () => routes,
  };
}

/** An entry that starts takes its share of what the endpoints run at once for its first window. */
function getFirstWindow(pool: TargetPool, entries: number, service: string, model: string): number {
  return (pool.getSlots(service, model) / entries) * FIRST_WINDOW_SHARE;
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
 * Callers are sent elsewhere at once, served a while longer, then refused while what was taken ends; connections end
 * once their callers know of it.
 */
async function stopGracefully({ settings, logger }: GatewayOptions, parts: Parts): Promise<void> {
  const stopMs = settings.current.gateway.stopS * 1_000;
  // Whoever sent the signal counts from then: a process that ran late may have had it for so long.
  const lateMs = Math.min(Math.max(0, parts.lag.getWorstMs()), stopMs * MAX_LATE_SHARE);
  const startedAt = parts.clock.getMonotonicMs() - lateMs;
  const getLeftMs = (share: number) =>
    Math.max(0, stopMs * share - (parts.clock.getMonotonicMs() - startedAt));
  logger.info({
    event: "gateway_stopping",
    requests: parts.server.requestCount,
    late_ms: Math.round(lateMs),
  });
  parts.server.announceStop();
  await parts.watcher.announceStop();
  await pause(getLeftMs(ACCEPTING_SHARE));
  parts.server.refuseAll();
  await Promise.race([parts.server.waitUntilIdle(), pause(getLeftMs(LISTENING_SHARE))]);
  const ended = parts.server.endConnections(getLeftMs(CONNECTING_SHARE));
  await Promise.race([ended, pause(getLeftMs(ENDING_SHARE))]);
  const { requestCount: requests, connectionCount: connections } = parts.server;
  parts.server.stop();
  // What is still open now is cut.
  logger.info({ event: "gateway_stopped", requests, connections });
}

/** 200 while callers may be sent here. */
function serveReadiness({ settings }: GatewayOptions, parts: Parts) {
  const { readyListen } = settings.current.gateway;
  if (readyListen === undefined) return Effect.void;
  const server = createServer((_request, response) => {
    const isReady = parts.getRoutes() !== undefined && !parts.server.isStopping;
    response.writeHead(isReady ? 200 : 503, { "Content-Length": 0 }).end();
  });
  return Effect.acquireRelease(
    Effect.tryPromise({ try: () => listen(server, readyListen), catch: (cause) => cause }),
    () => Effect.sync(() => server.close()),
  );
}
