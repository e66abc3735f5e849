/** The commands that run a process: `control`, `entry`, and `init` before the first one. */
import type { Command } from "commander";
import { Effect, type Scope } from "effect";
import { initializeDataFolder, startControlProcess } from "../control";
import { startEntryProcess } from "../entry";
import { createLogger, type Logger, type Metrics, NoopMetrics, StatsdMetrics } from "../metrics";
import { ProcessSignals, reportResources, runProcess } from "../process";
import { readControlSettings, readEntrySettings, readSecret } from "../settings";
import { EXIT, printLine } from "./output";

/** Adds the commands that run processes. */
export function addProcessCommands(program: Command): void {
  program
    .command("init")
    .description("make the data folder of one of the first control processes; once, before they first start")
    .requiredOption("--settings <file>", "settings of the control process")
    .action(async (options: { settings: string }) => initialize(options.settings));
  program
    .command("control")
    .description("run a control process; with an empty data folder it joins as a learner")
    .requiredOption("--settings <file>", "settings of the control process")
    .action((options: { settings: string }) => runControl(options.settings));
  program
    .command("entry")
    .description("run an entry process; SIGTERM is a planned stop that cuts nothing")
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
  const logger = createLogger(settings.log.level, { role: "control", name: settings.process.name });
  const metrics = createMetrics(settings.metrics, "control", settings.process.name);
  // Storage that failed or an invariant that broke: a restart is safer than going on.
  const onFatal = (cause: unknown) => {
    logger.fatal({ event: "control_failed", reason: String(cause) });
    process.exit(EXIT.failure);
  };
  await runUntilStopped(
    startControlProcess({ settings, secrets, logger, metrics, onFatal }),
    metrics,
    logger,
    signals,
  );
}

async function runEntry(file: string): Promise<void> {
  const signals = ProcessSignals.install(process);
  const settings = await readEntrySettings(file);
  const clusterSecret = await readSecret(settings.secrets.clusterFile);
  const orderSecret = await readSecret(settings.secrets.orderFile);
  const logger = createLogger(settings.log.level, { role: "entry", name: settings.process.name });
  const metrics = createMetrics(settings.metrics, "entry", settings.process.name);
  const start = startEntryProcess({ settings, clusterSecret, orderSecret, logger, metrics });
  await runUntilStopped(start, metrics, logger, signals);
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

/** Runs what was started until a stop signal, then stops it in the opposite order. */
async function runUntilStopped(
  start: Effect.Effect<unknown, unknown, Scope.Scope>,
  metrics: Metrics,
  logger: Logger,
  signals: ProcessSignals,
): Promise<void> {
  const all = Effect.gen(function* () {
    yield* start;
    yield* reportResources(metrics);
  });
  try {
    await runProcess(all, logger, signals);
  } finally {
    metrics.close();
  }
}
