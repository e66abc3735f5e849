/** What policy expressions may look at. */

/** Facts about one request; names as expressions write them. */
export interface RequestFacts {
  /** What the caller says the request is for, "" when it doesn't. */
  readonly kind: string;
  /** Model asked for, "" for a service call. */
  readonly model: string;
  /** Service called, "" for a model request. */
  readonly service: string;
  /** Estimated prompt tokens. */
  readonly prompt_tokens: number;
  /** Most tokens that may be generated. */
  readonly max_tokens: number;
  /** Time left until the caller's deadline, milliseconds; 0 when it named none. */
  readonly deadline_ms: number;
  readonly not_repeatable: boolean;
}

/** Facts about the calling organisation. */
export interface OrganisationFacts {
  readonly name: string;
  readonly share: number;
  /** Its requests waiting at this entry. */
  readonly queued: number;
}

/** Facts about the entry's load. */
export interface LoadFacts {
  /** Requests waiting at this entry. */
  readonly queued: number;
  /** Estimated wait of a request that joins the queue now, milliseconds. */
  readonly queue_ms: number;
  /** Share of this entry's slots on live replicas that are taken, 0 to 1. */
  readonly utilisation: number;
}

/** Everything an expression may look at. */
export interface Facts {
  readonly request: RequestFacts;
  readonly organisation: OrganisationFacts;
  readonly load: LoadFacts;
  /** Hour of the day, UTC, with minutes as a fraction. */
  readonly hour: number;
}

/** Facts with which expressions are tried when a configuration is checked. */
export const SAMPLE_FACTS: Facts = {
  request: {
    kind: "draft",
    model: "model",
    service: "",
    prompt_tokens: 100,
    max_tokens: 100,
    deadline_ms: 1_000,
    not_repeatable: false,
  },
  organisation: { name: "organisation", share: 1, queued: 0 },
  load: { queued: 0, queue_ms: 0, utilisation: 0 },
  hour: 9.5,
};
