/**
 * An entry process: accepts requests from callers while it holds a lease.
 *
 * A planned stop first removes the entry's address from the published addresses. The entry then serves until
 * all published answers that contain the address have expired, and completes the requests in flight.
 */
import { randomBytes } from "node:crypto";
import { Effect, type Scope } from "effect";
import { BurnRecorder } from "../burn";
import { pause, SystemClock } from "../clock";
import { SeededRandom } from "../consensus";
import { HttpEngine } from "../engine";
import { EntryService } from "../gen/ploverstage/v1/control_pb";
import { HttpClient } from "../http";
import { EntryId } from "../ids";
import type { Logger, Metrics } from "../metrics";
import { MemoryUse, startHealthServer } from "../process";
import { LeaderClient, TransportPool } from "../rpc";
import { bufferCollection, getCallerLimit, MemoryBudget } from "../server";
import type { EntrySettings } from "../settings";
import { Claims } from "./Claims";
import { ClusterView } from "./ClusterView";
import { EntryServer } from "./EntryServer";
import { Admission, ModelDispatch, RequestRecorder, ServiceDispatch } from "./filters";
import { LeaseKeeper } from "./LeaseKeeper";
import { ReplicaRouter } from "./ReplicaRouter";

export interface EntryProcessOptions {
  readonly settings: EntrySettings;
  readonly clusterSecret: string;
  readonly orderSecret: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const BYTES_PER_MB = 1_000_000;
/** Fraction of the descriptors for callers; their requests need the others for connections to engines. */
const CALLER_SHARE = 0.6;
const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_PROBE_INTERVAL_MS = 400;
const UPDATE_INTERVAL_MS = 25;
const METRICS_INTERVAL_MS = 1_000;

/** A running entry. */
interface Entry {
  readonly server: EntryServer;
  readonly leaseKeeper: LeaseKeeper;
  readonly view: ClusterView;
}

/** Starts an entry process. Closing the scope performs a planned stop. */
export function startEntryProcess(options: EntryProcessOptions): Effect.Effect<Entry, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const client = yield* Effect.acquireRelease(
      Effect.sync(() => new HttpClient()),
      (openedClient) => Effect.sync(() => openedClient.close()),
    );
    const components = createComponents(options, client);
    yield* runTimers(components, options.metrics);
    yield* Effect.acquireRelease(
      Effect.sync(() => components.leaseKeeper.start()),
      () => Effect.promise(() => components.leaseKeeper.end()),
    );
    yield* Effect.acquireRelease(
      Effect.tryPromise({ try: () => components.server.start(), catch: (cause) => cause }),
      () => Effect.promise(() => stopGracefully(components, options.logger)),
    );
    yield* serveHealth(options, components.server);
    options.logger.info({ event: "entry_started", listen: options.settings.entry.listen });
    return components;
  });
}

function createComponents(
  { settings, clusterSecret, orderSecret, logger, metrics }: EntryProcessOptions,
  client: HttpClient,
) {
  const clock = new SystemClock();
  const random = new SeededRandom(randomBytes(4).readInt32LE());
  const entryId = EntryId(`${settings.process.name}.${randomBytes(6).toString("hex")}`);
  const view = new ClusterView();
  const burn = new BurnRecorder();
  const getIdleMs = () => view.configuration?.declared.limits.idle ?? DEFAULT_IDLE_TIMEOUT_MS;
  const createEngine = (address: string) =>
    new HttpEngine({ client, address, orderSecret, connectMs: CONNECT_TIMEOUT_MS, getIdleMs });
  const router = new ReplicaRouter(view, createEngine, clock, random);
  const admission = new Admission(clock, random);
  const transports = new TransportPool(clusterSecret);
  const leaderOptions = { addresses: settings.entry.controls, transports, clock };
  const renewalClient = new LeaderClient(EntryService, leaderOptions);
  const claims = new Claims(new LeaderClient(EntryService, leaderOptions), entryId, clock, logger);
  const leaseKeeper = new LeaseKeeper({
    entryId,
    entryName: settings.process.name,
    callerAddress: settings.entry.listen,
    failureDomain: settings.process.failureDomain,
    client: renewalClient,
    view,
    burn,
    clock,
    logger,
    getReport: () => ({
      inFlight: router
        .getInFlight()
        .map((item) => ({ $typeName: "ploverstage.v1.InFlight" as const, ...item })),
      queued: admission.queueLength,
    }),
    onChange: () => {
      router.updateReplicas();
      serviceDispatch.updateEndpoints();
      admission.update();
    },
  });
  const { lease } = leaseKeeper;
  const modelDispatch = new ModelDispatch({ clock, view, router, admission, claims, lease });
  const serviceDispatch = new ServiceDispatch({ clock, view, admission, claims, lease, client, random });
  const requestRecorder = new RequestRecorder(clock, burn, logger, metrics);
  const { listen } = settings.entry;
  const memoryUse = new MemoryUse();
  const memory = new MemoryBudget({
    limitBytes: settings.entry.memoryMb * BYTES_PER_MB,
    getOwnBytes: () => memoryUse.getOwnBytes(clock.getMonotonicMs()),
    // Requests are not evicted: their bodies have been parsed before they are sent.
    onEvicted: () => {},
    onGaveWay: () => metrics.increment("bodies_gave_way", 1),
  });
  bufferCollection.start(() => memory.bufferBytes);
  const server = new EntryServer({
    listen,
    clock,
    random,
    view,
    lease,
    router,
    admission,
    claims,
    modelDispatch,
    serviceDispatch,
    requestRecorder,
    memory,
    metrics,
    maxConnections: getCallerLimit(settings.entry.maxDescriptors, CALLER_SHARE),
  });
  return { clock, view, router, admission, modelDispatch, leaseKeeper, server };
}

type EntryComponents = ReturnType<typeof createComponents>;

/**
 * Runs the periodic work while the scope is open: probes replicas, places or refuses queued requests, aborts
 * lost attempts and reports metrics.
 */
function runTimers(components: EntryComponents, metrics: Metrics) {
  const { router, admission, modelDispatch, view, clock, leaseKeeper } = components;
  const start = () => {
    let probeTimer: NodeJS.Timeout;
    const probe = () => {
      const timing = view.configuration?.declared.timing;
      router.probe(timing?.presenceWindow ?? CONNECT_TIMEOUT_MS);
      router.fetchCacheEvents(timing?.presenceWindow ?? CONNECT_TIMEOUT_MS);
      probeTimer = setTimeout(probe, timing?.probe ?? DEFAULT_PROBE_INTERVAL_MS);
    };
    probe();
    const updateTimer = setInterval(() => {
      admission.update();
      modelDispatch.abortLostAttempts(clock.getMonotonicMs());
    }, UPDATE_INTERVAL_MS);
    const metricsTimer = setInterval(() => {
      metrics.gauge("queue_length", admission.queueLength);
      metrics.gauge("lease_left_ms", leaseKeeper.lease.getRemainingMs(clock.getMonotonicMs()));
      metrics.gauge("configuration_version", view.configuration?.version ?? 0);
      metrics.gauge("assignment_index", view.assignmentIndex);
    }, METRICS_INTERVAL_MS);
    return () => {
      clearTimeout(probeTimer);
      clearInterval(updateTimer);
      clearInterval(metricsTimer);
    };
  };
  return Effect.acquireRelease(Effect.sync(start), (stop) => Effect.sync(stop));
}

async function stopGracefully(
  { server, leaseKeeper, view, clock }: EntryComponents,
  logger: Logger,
): Promise<void> {
  const startedAt = clock.getMonotonicMs();
  logger.info({ event: "entry_stopping" });
  server.announceStop();
  await leaseKeeper.announceStop();
  const timing = view.configuration?.declared.timing;
  // Other entries may publish this address until their next renewal.
  const waitMs = (timing?.addressTtl ?? 0) + (timing?.lease ?? 0);
  const remainingMs = waitMs - (clock.getMonotonicMs() - startedAt);
  await pause(Math.max(0, remainingMs));
  await server.stop();
  logger.info({ event: "entry_stopped" });
}

function serveHealth({ settings }: EntryProcessOptions, server: EntryServer) {
  const listen = settings.entry.healthListen;
  if (listen === undefined) return Effect.void;
  return Effect.acquireRelease(
    Effect.tryPromise({
      try: () => startHealthServer(listen, () => server.getUnreadyReason()),
      catch: (cause) => cause,
    }),
    (health) => Effect.sync(() => health.close()),
  );
}
