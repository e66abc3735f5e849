/**
 * The agreed configuration: the declarations that operators keep in version control.
 *
 * All times are milliseconds, shares and weights are ratios, costs are tokens.
 */
import { Effect, Schema } from "effect";

const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9.-]{0,62}$/));
const Positive = Schema.Number.check(Schema.isGreaterThan(0));
const Count = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 100_000_000 }));
const Milliseconds = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 86_400_000 }));
/** Bounded, since a new leader waits for the longest lease of its predecessors. */
const LeaseMilliseconds = Schema.Int.check(Schema.isBetween({ minimum: 100, maximum: 10_000 }));
const Ratio = Schema.Number.check(Schema.isBetween({ minimum: 0, maximum: 1 }));
const Text = Schema.String.check(Schema.isNonEmpty(), Schema.isMaxLength(2_000));

function withDefault<S extends Schema.Top & Schema.WithoutConstructorDefault>(
  schema: S,
  value: S["Encoded"],
) {
  return schema.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)));
}

/** What the planner weighs against each other. */
const Weights = Schema.Struct({
  /** Cost of one second in which a replica that is wanted can't serve. */
  groupDowntime: Positive,
  /** Cost of one second of one healthy accelerator that is in no serving replica. */
  strandedAccelerators: Positive,
});

/** Intervals that the promises rest on. */
const Timing = Schema.Struct({
  /** How long an entry may take new work after it sent a renewal. */
  lease: withDefault(LeaseMilliseconds, 3_000),
  /** How often an entry renews. */
  renew: withDefault(Milliseconds, 500),
  /** How often an instance is asked whether it is there. */
  probe: withDefault(Milliseconds, 400),
  /** An instance that has not answered for so long is absent. */
  presenceWindow: withDefault(Milliseconds, 1_500),
  /** How long a non-repeatable request's key is remembered. */
  claimRetention: withDefault(Milliseconds, 86_400_000),
  /** How long callers may keep an answer of `/v1/addresses`. */
  addressTtl: withDefault(Milliseconds, 5_000),
  /** How long work in flight on a replica that is to be released may go on. */
  drain: withDefault(Milliseconds, 60_000),
});

/** Bounds on what callers may ask for and entries may hold. */
const Limits = Schema.Struct({
  bodyBytes: withDefault(Count, 1_000_000),
  queueLength: withDefault(Count, 2_000),
  /** Requests in flight on one replica, shared between the live entries. */
  replicaConcurrency: withDefault(Count, 64),
  /** Calls in flight on one service endpoint, shared likewise. */
  serviceConcurrency: withDefault(Count, 64),
  total: withDefault(Milliseconds, 120_000),
  idle: withDefault(Milliseconds, 15_000),
  connect: withDefault(Milliseconds, 1_000),
  /** Retries as a share of first attempts. */
  retryRatio: withDefault(Ratio, 0.1),
  maxTokens: withDefault(Count, 4_096),
});

/** A model, at the version that all its replicas are to run. */
const Model = Schema.Struct({
  name: Name,
  version: Text,
  adapters: withDefault(Schema.Array(Name), []),
  /** How long an instance takes to load it when the weight store is idle. */
  load: withDefault(Milliseconds, 60_000),
  acceleratorsPerInstance: withDefault(Count, 1),
});

/** A number of alike replicas of one model. */
const Group = Schema.Struct({
  name: Name,
  model: Name,
  /** Replicas wanted. */
  replicas: Count,
  /** Replicas that planned work never goes below, where the instances allow it. */
  minimum: withDefault(Count, 0),
  instancesPerReplica: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 64 })),
  /** Worth of one of its replicas against another group's when instances are short. */
  value: withDefault(Positive, 1),
});

/** A plain service that requests are routed to. */
const Service = Schema.Struct({
  name: Name,
  /** Paths below it whose calls run at most once, whatever the caller says. */
  notRepeatablePaths: withDefault(Schema.Array(Text), []),
});

/** A calling organisation. */
const Organisation = Schema.Struct({
  name: Name,
  /** Its share of capacity against other organisations under contention. */
  share: withDefault(Positive, 1),
});

/** Requests that are treated alike; the first class whose `when` holds is taken. */
const RequestClass = Schema.Struct({
  name: Name,
  /** CEL over `request`, `organisation`, `load` and `hour`, giving a bool. */
  when: Text,
  /** Served in this order, 0 first. */
  priority: Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 9 })),
  /** Deadline when the caller names none. */
  deadline: Milliseconds,
  /** CEL giving a bool: shed the request at once although its deadline might be met. */
  shedWhen: Schema.optionalKey(Text),
  /** First token promised within this time. */
  firstToken: withDefault(Milliseconds, 1_200),
  /** Share of requests for which that promise is to be kept. */
  objective: withDefault(Ratio, 0.95),
});

/** Who is served first, and what is shed. */
const Policy = Schema.Struct({ classes: Schema.Array(RequestClass).check(Schema.isMinLength(1)) });

/** The weight store's limit on loads. */
const WeightStore = Schema.Struct({ concurrentLoads: withDefault(Count, 8) });

/** Bounds on the planner's choices. */
const Planning = Schema.Struct({
  /** Healthy instances that are kept free per fabric domain for repairs. */
  reserve: withDefault(Count, 0),
  /** The longest wait for a missing instance to come back before its replica is rebuilt. */
  maxWait: withDefault(Milliseconds, 120_000),
  /** Losses within `flapWindow` after which an instance is not taken into a replica. */
  flapLosses: withDefault(Count, 3),
  flapWindow: withDefault(Milliseconds, 600_000),
});

/** The whole configuration. */
export const ConfigurationSchema = Schema.Struct({
  weights: Weights,
  timing: withDefault(Timing, {}),
  limits: withDefault(Limits, {}),
  planning: withDefault(Planning, {}),
  weightStore: withDefault(WeightStore, {}),
  models: withDefault(Schema.Array(Model), []),
  groups: withDefault(Schema.Array(Group), []),
  services: withDefault(Schema.Array(Service), []),
  organisations: Schema.Array(Organisation).check(Schema.isMinLength(1)),
  policy: Policy,
});

/** A checked configuration. */
export type Configuration = typeof ConfigurationSchema.Type;
/** A model's declaration. */
export type Model = typeof Model.Type;
/** A group's declaration. */
export type Group = typeof Group.Type;
/** A service's declaration. */
export type Service = typeof Service.Type;
/** An organisation's declaration. */
export type Organisation = typeof Organisation.Type;
/** A request class's declaration. */
export type RequestClass = typeof RequestClass.Type;
/** Bounds on requests and queues. */
export type Limits = typeof Limits.Type;
/** Intervals that the promises rest on. */
export type Timing = typeof Timing.Type;
