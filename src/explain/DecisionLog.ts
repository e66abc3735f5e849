/**
 * Reads the log lines of entries and control processes that say how requests ended and what became
 * of replicas.
 *
 * Lines of several processes may stand in one file, in any order, each with anything before its
 * JSON. What is no such line is passed over and counted.
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

const SizedGroups = Schema.Struct({
  event: Schema.Literal("groups_sized"),
  time: Schema.String,
  service: Schema.String,
  instances: Schema.Record(Schema.String, Schema.Finite),
});

const EndedLife = Schema.Struct({
  event: Schema.Literal("life_ended"),
  time: Schema.String,
  instance: Schema.String,
  born: Schema.Finite,
  ground: Schema.String,
});

/** How a request ended at an entry. */
export type EndedRequest = typeof EndedRequest.Type;
/** A replica that was formed, or moved to another phase. */
export type ReplicaChange = typeof FormedReplica.Type | typeof MovedReplica.Type;
/** Instances present, by fabric domain. */
export type SizedGroups = typeof SizedGroups.Type;

/** A life of an instance that the leader held for ended, and why. */
export type EndedLife = typeof EndedLife.Type;

/** What was read, by time. */
export interface DecisionLog {
  readonly requests: readonly EndedRequest[];
  readonly replicaChanges: readonly ReplicaChange[];
  readonly sizings: readonly SizedGroups[];
  readonly endedLives: readonly EndedLife[];
  /** Lines that were passed over. */
  readonly otherLines: number;
}

const decodeLine = Schema.decodeUnknownResult(
  Schema.Union([EndedRequest, FormedReplica, MovedReplica, SizedGroups, EndedLife]),
);

/** Reads lines. */
export function readDecisionLog(lines: Iterable<string>): DecisionLog {
  const requests: EndedRequest[] = [];
  const replicaChanges: ReplicaChange[] = [];
  const sizings: SizedGroups[] = [];
  const endedLives: EndedLife[] = [];
  let otherLines = 0;
  for (const line of lines) {
    const decoded = decodeLine(parseLine(line));
    if (Result.isFailure(decoded)) otherLines += 1;
    else if (decoded.success.event === "request_ended") requests.push(decoded.success);
    else if (decoded.success.event === "groups_sized") sizings.push(decoded.success);
    else if (decoded.success.event === "life_ended") endedLives.push(decoded.success);
    else replicaChanges.push(decoded.success);
  }
  const byTime = (a: { readonly time: string }, b: { readonly time: string }) => (a.time < b.time ? -1 : 1);
  return {
    requests: requests.sort(byTime),
    replicaChanges: replicaChanges.sort(byTime),
    sizings: sizings.sort(byTime),
    endedLives: endedLives.sort(byTime),
    otherLines,
  };
}

function parseLine(line: string): unknown {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    return JSON.parse(line.slice(start));
  } catch {
    // Not a log line, or one that was cut: it is counted as passed over.
    return undefined;
  }
}
