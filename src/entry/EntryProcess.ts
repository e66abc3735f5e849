/**
 * An entry process: takes requests from callers under a lease.
 *
 * A planned stop leaves the address answers at once, serves on until the answers
 * already given out have run out, and cuts nothing in flight.
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
import { startHealthServer } from "../process";
import { LeaderClient, TransportPool } from "../rpc";
import type { EntrySettings } from "../settings";
import { Claims } from "./Claims";
import { ClusterView } from "./ClusterView";
import { EntryServer } from "./EntryServer";
import { Account, Admission, ModelDispatch, ServiceDispatch } from "./filters";
import { LeaseKeeper } from "./LeaseKeeper";
import { ReplicaRouter } from "./ReplicaRouter";

/** What an entry process is started with. */
export interface EntryProcessOptions {
  readonly settings: EntrySettings;
  readonly clusterSecret: string;
  readonly orderSecret: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const CONNECT_MS = 1_000;
const DEFAULT_IDLE_MS = 15_000;
const DEFAULT_PROBE_MS = 400;
const UPDATE_MS = 25;
const REPORT_MS = 1_000;

/** A started entry. */
interface Entry {
  readonly server: EntryServer;
  readonly keeper: LeaseKeeper;
  readonly view: ClusterView;
}

/** Starts an entry process; closing its scope is a planned stop. */
export function startEntryProcess(options: EntryProcessOptions): Effect.Effect<Entry, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const client = yield* Effect.acquireRelease(
      Effect.sync(() => new HttpClient()),
      (opened) => Effect.sync(() => opened.close()),
    );
    const parts = createParts(options, client);
    yield* runTimers(parts, options.metrics);
    yield* Effect.acquireRelease(
      Effect.sync(() => parts.keeper.start()),
      () => Effect.promise(() => parts.keeper.end()),
    );
    yield* Effect.acquireRelease(
      Effect.tryPromise({ try: () => parts.server.start(), catch: (cause) => cause }),
      () => Effect.promise(() => stopGracefully(parts, options.logger)),
    );
    yield* serveHealth(options, parts.server);
    options.logger.info({ event: "entry_started", listen: options.settings.entry.listen });
    return parts;
  });
}

function createParts(
  { settings, clusterSecret, orderSecret, logger, metrics }: EntryProcessOptions,
  client: HttpClient,
) {
  const clock = new SystemClock();
  const random = new SeededRandom(randomBytes(4).readInt32LE());
  const entryId = EntryId(`${settings.process.name}.${randomBytes(6).toString("hex")}`);
  const view = new ClusterView();
  const burn = new BurnRecorder();
  const getIdleMs = () => view.configuration?.declared.limits.idle ?? DEFAULT_IDLE_MS;
  const createEngine = (address: string) =>
    new HttpEngine({ client, address, orderSecret, connectMs: CONNECT_MS, getIdleMs });
  const router = new ReplicaRouter(view, createEngine, clock, random);
  const admission = new Admission(clock, random);
  const transports = new TransportPool(clusterSecret);
  const leaderOptions = { addresses: settings.entry.controls, transports, clock };
  const renewals = new LeaderClient(EntryService, leaderOptions);
  const claims = new Claims(new LeaderClient(EntryService, leaderOptions), entryId, clock, logger);
  const keeper = new LeaseKeeper({
    entryId,
    entryName: settings.process.name,
    callerAddress: settings.entry.listen,
    failureDomain: settings.process.failureDomain,
    client: renewals,
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
      services.updateEndpoints();
      admission.update();
    },
  });
  const { lease } = keeper;
  const models = new ModelDispatch({ clock, view, router, admission, claims, lease });
  const services = new ServiceDispatch({ clock, view, admission, claims, lease, client, random });
  const account = new Account(clock, burn, logger, metrics);
  const { listen } = settings.entry;
  const server = new EntryServer({
    listen,
    clock,
    random,
    view,
    lease,
    router,
    admission,
    claims,
    models,
    services,
    account,
  });
  return { clock, view, router, admission, models, keeper, server };
}

type Parts = ReturnType<typeof createParts>;

/** Probes, places and gives up in the background, for as long as the scope is open. */
function runTimers(parts: Parts, metrics: Metrics) {
  const { router, admission, models, view, clock, keeper } = parts;
  const start = () => {
    let probeTimer: NodeJS.Timeout;
    const probe = () => {
      const timing = view.configuration?.declared.timing;
      router.probe(timing?.presenceWindow ?? CONNECT_MS);
      router.fetchCacheEvents(timing?.presenceWindow ?? CONNECT_MS);
      probeTimer = setTimeout(probe, timing?.probe ?? DEFAULT_PROBE_MS);
    };
    probe();
    const updates = setInterval(() => {
      admission.update();
      models.abortLost(clock.getMonotonicMs());
    }, UPDATE_MS);
    const reports = setInterval(() => {
      metrics.gauge("queue_length", admission.queueLength);
      metrics.gauge("lease_left_ms", keeper.lease.getRemainingMs(clock.getMonotonicMs()));
      metrics.gauge("configuration_version", view.configuration?.version ?? 0);
      metrics.gauge("assignment_index", view.assignmentIndex);
    }, REPORT_MS);
    return () => {
      clearTimeout(probeTimer);
      clearInterval(updates);
      clearInterval(reports);
    };
  };
  return Effect.acquireRelease(Effect.sync(start), (stop) => Effect.sync(stop));
}

async function stopGracefully({ server, keeper, view, clock }: Parts, logger: Logger): Promise<void> {
  const startedAt = clock.getMonotonicMs();
  logger.info({ event: "entry_stopping" });
  server.announceStop();
  await keeper.announceStop();
  const timing = view.configuration?.declared.timing;
  // Other entries may give this address out until their next renewal.
  const waitMs = (timing?.addressTtl ?? 0) + (timing?.lease ?? 0);
  const leftMs = waitMs - (clock.getMonotonicMs() - startedAt);
  await pause(Math.max(0, leftMs));
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
