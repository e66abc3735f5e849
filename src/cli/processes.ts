/**
 * The commands that run a process, `control` and `entry`, and `init`, which creates the data folder of a
 * control process.
 */
import type { Command } from "commander";
import { Effect, type Scope } from "effect";
import { initializeDataFolder, startControlProcess } from "../control";
import { startEntryProcess } from "../entry";
import { BoundedLog, type Metrics, NoopMetrics, StatsdMetrics } from "../metrics";
import { ProcessSignals, reportResources, runProcess } from "../process";
import { readControlSettings, readEntrySettings, readSecret } from "../settings";
import { EXIT, printLine } from "./output";

/** Adds the commands `init`, `control` and `entry`. */
export function addProcessCommands(program: Command): void {
  program
    .command("init")
    .description("create the data folder of a bootstrap member; once, before its first start")
    .requiredOption("--settings <file>", "settings of the control process")
    .action(async (options: { settings: string }) => initialize(options.settings));
  program
    .command("control")
    .description("run a control process; it joins as a learner if its data folder is empty")
    .requiredOption("--settings <file>", "settings of the control process")
    .action((options: { settings: string }) => runControl(options.settings));
  program
    .command("entry")
    .description("run an entry process; SIGTERM stops it without cutting requests")
    .requiredOption("--settings <file>", "settings of the entry process")
    .action((options: { settings: string }) => runEntry(options.settings));
}

async function initialize(file: string): Promise<void> {
  const settings = await readControlSettings(file);
  await initializeDataFolder(settings, await readSecret(settings.secrets.clusterFile));
  printLine(`made ${settings.control.dataFolder} for ${settings.process.name}`);
}

async function runControl(file: string): Promise<void> {
  const signals = ProcessSignals.install(process);
  const settings = await readControlSettings(file);
  const secrets = {
    cluster: await readSecret(settings.secrets.clusterFile),
    operator: await readSecret(settings.secrets.operatorFile),
    order: await readSecret(settings.secrets.orderFile),
  };
  const { name } = settings.process;
  const metrics = createMetrics(settings.metrics, "control", name);
  const log = new BoundedLog(settings.log.level, { role: "control", name }, metrics);
  const { logger } = log;
  // Storage failed or an invariant is violated. A restart is safer than continuing with that state.
  const onFatal = (cause: unknown) => {
    logger.fatal({ event: "control_failed", reason: String(cause) });
    log.close();
    process.exit(EXIT.failure);
  };
  await runUntilStopped(
    startControlProcess({ settings, secrets, logger, metrics, onFatal }),
    metrics,
    log,
    signals,
  );
}

async function runEntry(file: string): Promise<void> {
  const signals = ProcessSignals.install(process);
  const settings = await readEntrySettings(file);
  const clusterSecret = await readSecret(settings.secrets.clusterFile);
  const orderSecret = await readSecret(settings.secrets.orderFile);
  const { name } = settings.process;
  const metrics = createMetrics(settings.metrics, "entry", name);
  const log = new BoundedLog(settings.log.level, { role: "entry", name }, metrics);
  const { logger } = log;
  const start = startEntryProcess({ settings, clusterSecret, orderSecret, logger, metrics });
  await runUntilStopped(start, metrics, log, signals);
}

function createMetrics(
  server: { host: string; port: number } | undefined,
  role: string,
  name: string,
): Metrics {
  return server === undefined
    ? new NoopMetrics()
    : new StatsdMetrics(server.host, server.port, { role, name });
}

/** Runs a program until a stop signal, then releases its resources in reverse order. */
async function runUntilStopped(
  start: Effect.Effect<unknown, unknown, Scope.Scope>,
  metrics: Metrics,
  log: BoundedLog,
  signals: ProcessSignals,
): Promise<void> {
  const program = Effect.gen(function* () {
    yield* start;
    yield* reportResources(metrics);
  });
  try {
    await runProcess(program, log.logger, signals);
  } finally {
    log.close();
    metrics.close();
  }
}
