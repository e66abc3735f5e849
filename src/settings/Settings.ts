/**
 * Settings of one process: addresses, failure domain, data folder, secrets.
 *
 * They differ from process to process and need a restart; what all share and what
 * changes while running is the agreed configuration.
 */
import { readFile } from "node:fs/promises";
import { Effect, Schema } from "effect";
import { InvalidFile } from "../errors";
import { TomlDocument } from "../toml";

const Address = Schema.String.check(Schema.isPattern(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/));
const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9-]{0,62}$/));
const Port = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 65_535 }));
const LogLevel = Schema.Literals(["debug", "info", "warn", "error", "silent"]);

const Process = Schema.Struct({
  name: Name,
  failureDomain: Name,
});

const Secrets = Schema.Struct({
  /** File with the secret between the system's own processes. */
  clusterFile: Schema.String,
  /** File with the secret of the operators' interface; an entry has no use for it. */
  operatorFile: Schema.optionalKey(Schema.String),
  /** File with the secret shown to engines with orders. */
  orderFile: Schema.String,
});

const ControlSecrets = Schema.Struct({ ...Secrets.fields, operatorFile: Schema.String });

const Log = Schema.Struct({ level: LogLevel });

const StatsdServer = Schema.Struct({ host: Schema.String, port: Port });

const Platform = Schema.Struct({ address: Address });

const Peer = Schema.Struct({ name: Name, address: Address, failureDomain: Name });

const Control = Schema.Struct({
  /** Where the system's own processes reach this one. */
  listen: Address,
  /** Where operators reach it. */
  operatorListen: Address,
  /** Where liveness and readiness are asked for. */
  healthListen: Schema.optionalKey(Address),
  dataFolder: Schema.String,
  /** All control processes, this one too. */
  peers: Schema.Array(Peer).check(Schema.isMinLength(1)),
});

const Entry = Schema.Struct({
  /** Where callers connect; given out by `/v1/addresses`. */
  listen: Address,
  healthListen: Schema.optionalKey(Address),
  /** Control processes, in any order. */
  controls: Schema.Array(Address).check(Schema.isMinLength(1)),
});

function withDefault<S extends Schema.Top & Schema.WithoutConstructorDefault>(
  schema: S,
  value: S["Encoded"],
) {
  return schema.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)));
}

const shared = {
  process: Process,
  log: withDefault(Log, { level: "info" }),
  metrics: Schema.optionalKey(StatsdServer),
};

const Milliseconds = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 3_600_000 }));
const Share = Schema.Number.check(Schema.isGreaterThanOrEqualTo(0));

/** Bounds that keep replicas safe; where a platform gives them, its figures. */
const Replicas = Schema.Struct({
  /** How often an instance reports. */
  reportMs: Milliseconds,
  /** Reports that an instance may miss before it is absent. */
  reportsMissed: withDefault(Share, 2.5),
  /** How long a closed replica may work on what it has. */
  drainMs: withDefault(Milliseconds, 9_000),
  /** How long a replica stands still, for want of an instance, before it breaks. */
  stallMs: Milliseconds,
  /** Window of the weight store's limit on loads, and how far it may be overrun in it. */
  loadWindowS: Share,
  loadOverrun: withDefault(Share, 1),
  /**
   * Instances kept free in each fabric domain for repairs; what is left of a broken replica
   * serves as well.
   */
  reserve: withDefault(Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 64 })), 0),
});

const FleetControl = Schema.Struct({
  /** Where the system's own processes reach this one; all use the same port. */
  listen: Address,
  /** Where instances and operators reach this process; it is also the member's name. */
  publicAddress: Address,
  /** Where callers ask for addresses of entries. */
  directoryListen: Schema.optionalKey(Address),
  dataFolder: Schema.String,
  /** Public addresses of a few control processes. */
  seeds: Schema.Array(Address).check(Schema.isMinLength(1)),
  /** Members that may be lost at once; twice as many and one more vote, others stand by. */
  lossesBorne: withDefault(Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 4 })), 1),
  /** Whether this is the first start of the whole system, so that the seeds are its founders. */
  isFirstStart: withDefault(Schema.Boolean, false),
  /** How long callers may keep an answer with addresses. */
  addressTtlS: withDefault(Share, 2),
  replicas: Replicas,
});

const Gateway = Schema.Struct({
  /** Where callers connect. */
  listen: Address,
  /** Where readiness is asked for. */
  readyListen: Schema.optionalKey(Address),
  /** host:port of control processes, as the system's own processes reach them. */
  seeds: Schema.Array(Address).check(Schema.isMinLength(1)),
  /** Port at which control processes are reached, where seeds name another one. */
  controlPort: Schema.optionalKey(Port),
  /** How long a planned stop may take. */
  stopS: withDefault(Share, 8),
  /** Repeats of all entries together: a share of the requests and, in the window, some more. */
  retryRatio: withDefault(Share, 0.1),
  retryExtra: withDefault(Share, 10),
  retryWindowS: withDefault(Share, 10),
});

/** Settings of a control process. */
export const ControlSettingsSchema = Schema.Struct({
  ...shared,
  secrets: ControlSecrets,
  platform: Platform,
  control: Control,
});
/** Settings of an entry process. */
export const EntrySettingsSchema = Schema.Struct({ ...shared, secrets: Secrets, entry: Entry });

const fleetShared = {
  process: Process,
  log: withDefault(Log, { level: "info" }),
  /** Where metrics are fetched as text. */
  metricsListen: Schema.optionalKey(Address),
};

/** Settings of a control process whose instances register themselves. */
export const FleetControlSettingsSchema = Schema.Struct({
  ...fleetShared,
  secrets: Schema.optionalKey(Schema.Struct({ clusterFile: Schema.String })),
  control: FleetControl,
});
/** Settings of an entry that routes by declarations. */
export const GatewaySettingsSchema = Schema.Struct({
  ...fleetShared,
  secrets: Schema.optionalKey(Schema.Struct({ clusterFile: Schema.String })),
  gateway: Gateway,
});

/** Settings of a control process. */
export type ControlSettings = typeof ControlSettingsSchema.Type;
/** Settings of an entry process. */
export type EntrySettings = typeof EntrySettingsSchema.Type;
/** Settings of a control process whose instances register themselves. */
export type FleetControlSettings = typeof FleetControlSettingsSchema.Type;
/** Settings of an entry that routes by declarations. */
export type GatewaySettings = typeof GatewaySettingsSchema.Type;

/**
 * Reads and checks a control process's settings.
 * @throws InvalidFile
 */
export async function readControlSettings(file: string): Promise<ControlSettings> {
  return (await readDocument(file)).decode(ControlSettingsSchema);
}

/**
 * Reads and checks an entry process's settings.
 * @throws InvalidFile
 */
export async function readEntrySettings(file: string): Promise<EntrySettings> {
  return (await readDocument(file)).decode(EntrySettingsSchema);
}

/**
 * Reads and checks the settings of a control process whose instances register themselves.
 * @throws InvalidFile
 */
export async function readFleetControlSettings(file: string): Promise<FleetControlSettings> {
  return (await readDocument(file)).decode(FleetControlSettingsSchema);
}

/**
 * Reads and checks the settings of an entry that routes by declarations.
 * @throws InvalidFile
 */
export async function readGatewaySettings(file: string): Promise<GatewaySettings> {
  return (await readDocument(file)).decode(GatewaySettingsSchema);
}

/**
 * Reads a secret.
 * @throws InvalidFile - When the file is missing, or the secret too short to be one.
 */
export async function readSecret(file: string): Promise<string> {
  const secret = (await readText(file)).trim();
  if (secret.length >= MIN_SECRET_LENGTH) return secret;
  const message = `a secret has at least ${MIN_SECRET_LENGTH} characters`;
  throw new InvalidFile({ file, faults: [{ line: 1, path: "", message }] });
}

const MIN_SECRET_LENGTH = 16;

async function readDocument(file: string): Promise<TomlDocument> {
  return TomlDocument.parse(file, await readText(file));
}

/**
 * Reads a text file.
 * @throws InvalidFile - When it can't be read.
 */
export async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    throw new InvalidFile({ file, faults: [{ line: 0, path: "", message }] });
  }
}
