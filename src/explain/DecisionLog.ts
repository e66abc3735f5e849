/**
 * Reads the log lines of entries and control processes that record how requests ended, how replicas changed
 * phase, how many instances were present and which instance incarnations ended.
 *
 * The input may mix lines of several processes in any order, and each line may have a prefix before its JSON.
 * Other lines are skipped and counted.
 */
import { Result, Schema } from "effect";

const optional = Schema.optionalKey;

const EndedRequest = Schema.Struct({
  event: Schema.Literal("request_ended"),
  time: Schema.String,
  name: Schema.String,
  model: Schema.String,
  outcome: Schema.Literals(["done", "cut", "refused"]),
  code: Schema.String,
  took_ms: Schema.Finite,
  objective_ms: Schema.Finite,
  gap_objective_ms: optional(Schema.Finite),
  failures: optional(Schema.Array(Schema.Struct({ reason: Schema.String, tookMs: Schema.Finite }))),
  firstEventMs: optional(Schema.Finite),
  longestGapMs: optional(Schema.Finite),
});

const FormedReplica = Schema.Struct({
  event: Schema.Literal("replica_formed"),
  time: Schema.String,
  replica: Schema.String,
  model: Schema.String,
  instances: Schema.Array(Schema.String),
});

const MovedReplica = Schema.Struct({
  event: Schema.Literal("replica_moved"),
  time: Schema.String,
  replica: Schema.String,
  phase: Schema.String,
  reason: Schema.String,
});

const InstanceCounts = Schema.Struct({
  event: Schema.Literal("groups_sized"),
  time: Schema.String,
  service: Schema.String,
  instances: Schema.Record(Schema.String, Schema.Finite),
});

const EndedIncarnation = Schema.Struct({
  event: Schema.Literal("life_ended"),
  time: Schema.String,
  instance: Schema.String,
  born: Schema.Finite,
  ground: Schema.String,
});

/** A request that ended at an entry, with its outcome. */
export type EndedRequest = typeof EndedRequest.Type;
/** A replica that was formed or moved to another phase. */
export type ReplicaChange = typeof FormedReplica.Type | typeof MovedReplica.Type;
/** The number of instances present in each fabric domain of a service. */
export type InstanceCounts = typeof InstanceCounts.Type;

/** An instance incarnation that the leader marked as ended, and the cause. */
export type EndedIncarnation = typeof EndedIncarnation.Type;

/** Decoded log lines, each kind sorted by time. */
export interface DecisionLog {
  readonly requests: readonly EndedRequest[];
  readonly replicaChanges: readonly ReplicaChange[];
  readonly instanceCounts: readonly InstanceCounts[];
  readonly endedLives: readonly EndedIncarnation[];
  /** Number of lines that were not decoded. */
  readonly skippedLines: number;
}

const decodeLine = Schema.decodeUnknownResult(
  Schema.Union([EndedRequest, FormedReplica, MovedReplica, InstanceCounts, EndedIncarnation]),
);

/** Decodes log lines. */
export function readDecisionLog(lines: Iterable<string>): DecisionLog {
  const requests: EndedRequest[] = [];
  const replicaChanges: ReplicaChange[] = [];
  const instanceCounts: InstanceCounts[] = [];
  const endedIncarnations: EndedIncarnation[] = [];
  let skippedLines = 0;
  for (const line of lines) {
    const decoded = decodeLine(parseLine(line));
    if (Result.isFailure(decoded)) skippedLines += 1;
    else if (decoded.success.event === "request_ended") requests.push(decoded.success);
    else if (decoded.success.event === "groups_sized") instanceCounts.push(decoded.success);
    else if (decoded.success.event === "life_ended") endedIncarnations.push(decoded.success);
    else replicaChanges.push(decoded.success);
  }
  const byTime = (a: { readonly time: string }, b: { readonly time: string }) => (a.time < b.time ? -1 : 1);
  return {
    requests: requests.sort(byTime),
    replicaChanges: replicaChanges.sort(byTime),
    instanceCounts: instanceCounts.sort(byTime),
    endedLives: endedIncarnations.sort(byTime),
    skippedLines,
  };
}

function parseLine(line: string): unknown {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    return JSON.parse(line.slice(start));
  } catch {
    // The line is not JSON or was truncated; the caller counts it as skipped.
    return undefined;
  }
}
