/**
 * The replicated configuration, which operators keep in version control.
 *
 * Times are in milliseconds, shares and weights are ratios, and costs are in tokens.
 */
import { Effect, Schema } from "effect";

const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9.-]{0,62}$/));
const Positive = Schema.Number.check(Schema.isGreaterThan(0));
const Count = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 100_000_000 }));
const Milliseconds = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 86_400_000 }));
/** Limited, because a new leader waits for the longest lease that its predecessors may have granted. */
const LeaseMilliseconds = Schema.Int.check(Schema.isBetween({ minimum: 100, maximum: 10_000 }));
const Ratio = Schema.Number.check(Schema.isBetween({ minimum: 0, maximum: 1 }));
const Text = Schema.String.check(Schema.isNonEmpty(), Schema.isMaxLength(2_000));

function withDefault<S extends Schema.Top & Schema.WithoutConstructorDefault>(
  schema: S,
  value: S["Encoded"],
) {
  return schema.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)));
}

/** Weights of the planner's cost function. */
const Weights = Schema.Struct({
  /** Cost of one second during which a requested replica cannot serve. */
  groupDowntime: Positive,
  /** Cost of one second during which a healthy accelerator belongs to no serving replica. */
  strandedAccelerators: Positive,
});

/** Intervals on which the system's guarantees depend. */
const Timing = Schema.Struct({
  /** Time for which an entry may accept new work after it sent a renewal. */
  lease: withDefault(LeaseMilliseconds, 3_000),
  /** Interval of an entry's renewals. */
  renew: withDefault(Milliseconds, 500),
  /** Interval of the probes of an instance's presence. */
  probe: withDefault(Milliseconds, 400),
  /** Time without an answer after which an instance is absent. */
  presenceWindow: withDefault(Milliseconds, 1_500),
  /** Time for which the key of a non-repeatable request is stored. */
  claimRetention: withDefault(Milliseconds, 86_400_000),
  /** Time for which callers may cache an answer of `/v1/addresses`. */
  addressTtl: withDefault(Milliseconds, 5_000),
  /** Maximum time for which work in flight may continue on a replica that is being released. */
  drain: withDefault(Milliseconds, 60_000),
});

/** Limits on requests of callers and on queues of entries. */
const Limits = Schema.Struct({
  bodyBytes: withDefault(Count, 1_000_000),
  queueLength: withDefault(Count, 2_000),
  /** Maximum number of requests in flight on a replica, shared between the live entries. */
  replicaConcurrency: withDefault(Count, 64),
  /** Maximum number of calls in flight on a service endpoint, shared between the live entries. */
  serviceConcurrency: withDefault(Count, 64),
  total: withDefault(Milliseconds, 120_000),
  idle: withDefault(Milliseconds, 15_000),
  connect: withDefault(Milliseconds, 1_000),
  /** Maximum number of retries as a share of first attempts. */
  retryRatio: withDefault(Ratio, 0.1),
  maxTokens: withDefault(Count, 4_096),
});

/** A model and the version that all its replicas must run. */
const Model = Schema.Struct({
  name: Name,
  version: Text,
  adapters: withDefault(Schema.Array(Name), []),
  /** Time that an instance takes to load the model while the weight store is otherwise idle. */
  load: withDefault(Milliseconds, 60_000),
  acceleratorsPerInstance: withDefault(Count, 1),
});

/** A number of identical replicas of a model. */
const Group = Schema.Struct({
  name: Name,
  model: Name,
  /** Requested number of replicas. */
  replicas: Count,
  /** Number of replicas below which planned work never goes if enough instances are available. */
  minimum: withDefault(Count, 0),
  instancesPerReplica: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 64 })),
  /** Value of a replica of this group relative to other groups when instances are scarce. */
  value: withDefault(Positive, 1),
});

/** A plain service to which requests are routed. */
const Service = Schema.Struct({
  name: Name,
  /** Paths below the service whose calls run at most once, even if the caller declares a call repeatable. */
  notRepeatablePaths: withDefault(Schema.Array(Text), []),
});

/** A calling organisation. */
const Organisation = Schema.Struct({
  name: Name,
  /** Share of capacity relative to other organisations under contention. */
  share: withDefault(Positive, 1),
});

/** A class of requests. A request belongs to the first class whose `when` is true. */
const RequestClass = Schema.Struct({
  name: Name,
  /** CEL expression over `request`, `organisation`, `load` and `hour` with a boolean result. */
  when: Text,
  /** Requests are served in this order, 0 first. */
  priority: Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 9 })),
  /** Deadline of a request for which the caller specifies none. */
  deadline: Milliseconds,
  /**
   * CEL expression with a boolean result: whether to shed a request at once even if its deadline could be
   * met.
   */
  shedWhen: Schema.optionalKey(Text),
  /** Objective for the time to the first token. */
  firstToken: withDefault(Milliseconds, 1_200),
  /** Share of requests that must meet this objective. */
  objective: withDefault(Ratio, 0.95),
});

/** Order in which requests are served, and conditions for shedding them. */
const Policy = Schema.Struct({ classes: Schema.Array(RequestClass).check(Schema.isMinLength(1)) });

/** Load limit of the weight store. */
const WeightStore = Schema.Struct({ concurrentLoads: withDefault(Count, 8) });

/** Limits on the planner's decisions. */
const Planning = Schema.Struct({
  /** Healthy instances kept free in each fabric domain for repairs. */
  reserve: withDefault(Count, 0),
  /** Maximum wait for a missing instance to return before its replica is rebuilt. */
  maxWait: withDefault(Milliseconds, 120_000),
  /** Number of losses within `flapWindow` after which an instance is not assigned to a replica. */
  flapLosses: withDefault(Count, 3),
  flapWindow: withDefault(Milliseconds, 600_000),
});

/** Schema of the whole configuration. */
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

/** A valid configuration. */
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
/** Limits on requests and queues. */
export type Limits = typeof Limits.Type;
/** Intervals on which the system's guarantees depend. */
export type Timing = typeof Timing.Type;
