/**
 * Settings of a process: addresses, failure domain, data folder, secrets.
 *
 * They differ between processes, and a change requires a restart. Values that all processes share, or that
 * change at run time, belong to the replicated configuration.
 */
import { readFile } from "node:fs/promises";
import { Effect, Schema } from "effect";
import { InvalidFile } from "../errors";
import { TomlDocument } from "../toml";

const Address = Schema.String.check(Schema.isPattern(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/));
const IpAddress = Schema.String.check(Schema.isPattern(/^(\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]+)$/));
const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9-]{0,62}$/));
const Port = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 65_535 }));
const LogLevel = Schema.Literals(["debug", "info", "warn", "error", "silent"]);

const Process = Schema.Struct({
  name: Name,
  failureDomain: Name,
});

const Secrets = Schema.Struct({
  /** File with the secret shared by the processes of this system. */
  clusterFile: Schema.String,
  /** File with the secret of the operators' interface; entries do not use it. */
  operatorFile: Schema.optionalKey(Schema.String),
  /** File with the secret that authenticates orders to engines. */
  orderFile: Schema.String,
});

const ControlSecrets = Schema.Struct({ ...Secrets.fields, operatorFile: Schema.String });

const Log = Schema.Struct({ level: LogLevel });

const StatsdServer = Schema.Struct({ host: Schema.String, port: Port });

const Platform = Schema.Struct({ address: Address });

const Peer = Schema.Struct({ name: Name, address: Address, failureDomain: Name });

const Control = Schema.Struct({
  /** Address at which the other processes of this system reach this one. */
  listen: Address,
  /** Address at which operators reach this process. */
  operatorListen: Address,
  /** Address of the liveness and readiness checks. */
  healthListen: Schema.optionalKey(Address),
  dataFolder: Schema.String,
  /** All control processes, including this one. */
  peers: Schema.Array(Peer).check(Schema.isMinLength(1)),
});

const limitFields = {
  /** Memory limit of the process, megabytes. Requests whose bodies would exceed it are refused. */
  memoryMb: withDefault(Schema.Number.check(Schema.isGreaterThan(0)), 320),
  /** Descriptors that the process may open. Connections that would exceed them are closed, the idle ones first. */
  maxDescriptors: withDefault(Schema.Int.check(Schema.isGreaterThan(0)), 4_096),
};

const Entry = Schema.Struct({
  /** Address at which callers connect; returned by `/v1/addresses`. */
  listen: Address,
  healthListen: Schema.optionalKey(Address),
  /** Addresses of the control processes, in any order. */
  controls: Schema.Array(Address).check(Schema.isMinLength(1)),
  ...limitFields,
});

function withDefault<S extends Schema.Top & Schema.WithoutConstructorDefault>(
  schema: S,
  value: S["Encoded"],
) {
  return schema.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)));
}

const sharedFields = {
  process: Process,
  log: withDefault(Log, { level: "info" }),
  metrics: Schema.optionalKey(StatsdServer),
};

const Milliseconds = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 3_600_000 }));
const NonNegative = Schema.Number.check(Schema.isGreaterThanOrEqualTo(0));

/** Limits that keep replicas safe. Where the platform specifies a limit, the setting must have its value. */
const Replicas = Schema.Struct({
  /** Interval of an instance's reports. */
  reportMs: Milliseconds,
  /** Number of missed reports after which an instance is absent. */
  reportsMissed: withDefault(NonNegative, 2.5),
  /** Maximum time for which a closed replica may continue its work in flight. */
  drainMs: withDefault(Milliseconds, 9_000),
  /** Time for which a replica stalls without one of its instances before it breaks. */
  stallMs: Milliseconds,
  /** Window of the weight store's load limit, and a factor on the number of loads allowed in the window. */
  loadWindowS: NonNegative,
  loadOverrun: withDefault(NonNegative, 1),
  /**
   * Instances kept free in each fabric domain for repairs. The remaining instances of a broken replica are
   * used for repairs as well.
   */
  reserve: withDefault(Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 64 })), 0),
});

const FleetControl = Schema.Struct({
  /** Address at which the other processes of this system reach this one. All of them use the same port. */
  listen: Address,
  /** Address at which instances and operators reach this process; also the name of the member. */
  publicAddress: Address,
  /** Address at which callers request the addresses of entries. */
  directoryListen: Schema.optionalKey(Address),
  dataFolder: Schema.String,
  /** Public addresses of some of the control processes. */
  seeds: Schema.Array(Address).check(Schema.isMinLength(1)),
  /**
   * Number of members that may be lost at the same time. Twice this number plus one members vote; the others
   * are standbys.
   */
  lossesBorne: withDefault(Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 4 })), 1),
  /** Whether this is the first start of the whole system; the seeds are then the bootstrap members. */
  isFirstStart: withDefault(Schema.Boolean, false),
  /** Time for which callers may cache an answer with addresses. */
  addressTtlS: withDefault(NonNegative, 2),
  ...limitFields,
  replicas: Replicas,
});

const Gateway = Schema.Struct({
  /** Address at which callers connect. */
  listen: Address,
  /** Address of the readiness check. */
  readyListen: Schema.optionalKey(Address),
  /** Local IP address of connections to endpoints and other entries; chosen by the system by default. */
  sourceAddress: Schema.optionalKey(IpAddress),
  /** Address at which other entries relay requests while they reach no endpoint; none by default. */
  peerListen: Schema.optionalKey(Address),
  /** Addresses (host:port) at which the processes of this system reach control processes. */
  seeds: Schema.Array(Address).check(Schema.isMinLength(1)),
  /** Port of the control processes if it differs from the port in the seeds. */
  controlPort: Schema.optionalKey(Port),
  ...limitFields,
  /** Maximum duration of a planned stop. */
  stopS: withDefault(NonNegative, 8),
  /** Retries of all entries together: a share of the requests, plus a fixed number in each window. */
  retryRatio: withDefault(NonNegative, 0.1),
  retryExtra: withDefault(NonNegative, 10),
  retryWindowS: withDefault(NonNegative, 10),
});

/** Schema of the settings of a control process. */
export const ControlSettingsSchema = Schema.Struct({
  ...sharedFields,
  secrets: ControlSecrets,
  platform: Platform,
  control: Control,
});
/** Schema of the settings of an entry process. */
export const EntrySettingsSchema = Schema.Struct({ ...sharedFields, secrets: Secrets, entry: Entry });

const sharedFleetFields = {
  process: Process,
  log: withDefault(Log, { level: "info" }),
  /** Address at which metrics are available as text. */
  metricsListen: Schema.optionalKey(Address),
};

/** Schema of the settings of a control process whose instances register themselves. */
export const FleetControlSettingsSchema = Schema.Struct({
  ...sharedFleetFields,
  secrets: Schema.optionalKey(Schema.Struct({ clusterFile: Schema.String })),
  control: FleetControl,
});
/** Schema of the settings of an entry that routes by declarations. */
export const GatewaySettingsSchema = Schema.Struct({
  ...sharedFleetFields,
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
 * Reads and validates the settings of a control process.
 * @throws InvalidFile
 */
export async function readControlSettings(file: string): Promise<ControlSettings> {
  return (await readDocument(file)).decode(ControlSettingsSchema);
}

/**
 * Reads and validates the settings of an entry process.
 * @throws InvalidFile
 */
export async function readEntrySettings(file: string): Promise<EntrySettings> {
  return (await readDocument(file)).decode(EntrySettingsSchema);
}

/**
 * Reads and validates the settings of a control process whose instances register themselves.
 * @throws InvalidFile
 */
export async function readFleetControlSettings(file: string): Promise<FleetControlSettings> {
  return (await readDocument(file)).decode(FleetControlSettingsSchema);
}

/**
 * Reads and validates the settings of an entry that routes by declarations.
 * @throws InvalidFile
 */
export async function readGatewaySettings(file: string): Promise<GatewaySettings> {
  return (await readDocument(file)).decode(GatewaySettingsSchema);
}

/**
 * Reads a secret, without surrounding white space.
 * @throws InvalidFile - If the file cannot be read or the secret is too short.
 */
export async function readSecret(file: string): Promise<string> {
  const secret = (await readText(file)).trim();
  if (secret.length >= MIN_SECRET_LENGTH) return secret;
  const message = `a secret must have at least ${MIN_SECRET_LENGTH} characters`;
  throw new InvalidFile({ file, faults: [{ line: 1, path: "", message }] });
}

const MIN_SECRET_LENGTH = 16;

async function readDocument(file: string): Promise<TomlDocument> {
  return TomlDocument.parse(file, await readText(file));
}

/**
 * Reads a text file.
 * @throws InvalidFile - If the file cannot be read.
 */
export async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    throw new InvalidFile({ file, faults: [{ line: 0, path: "", message }] });
  }
}
