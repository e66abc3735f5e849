/** Facts that policy expressions may use. */

/** Facts about one request; the names are those that expressions use. */
export interface RequestFacts {
  /** Purpose of the request as stated by the caller, "" when not stated. */
  readonly kind: string;
  /** Requested model, "" for a service call. */
  readonly model: string;
  /** Requested service, "" for a model request. */
  readonly service: string;
  /** Estimated prompt tokens. */
  readonly prompt_tokens: number;
  /** Maximum number of tokens to generate. */
  readonly max_tokens: number;
  /** Time left until the caller's deadline, milliseconds; 0 when the caller set none. */
  readonly deadline_ms: number;
  readonly not_repeatable: boolean;
}

/** Facts about the organisation of the caller. */
export interface OrganisationFacts {
  readonly name: string;
  readonly share: number;
  /** Requests of the organisation that are queued at this entry. */
  readonly queued: number;
}

/** Facts about the entry's load. */
export interface LoadFacts {
  /** Requests that are queued at this entry. */
  readonly queued: number;
  /** Estimated wait of a request that is queued now, milliseconds. */
  readonly queue_ms: number;
  /** Share of this entry's slots on live replicas that are in use, 0 to 1. */
  readonly utilisation: number;
}

/** All facts that an expression may use. */
export interface Facts {
  readonly request: RequestFacts;
  readonly organisation: OrganisationFacts;
  readonly load: LoadFacts;
  /** Hour of the day, UTC, with minutes as a fraction. */
  readonly hour: number;
}

/** Facts on which expressions are evaluated when a configuration is checked. */
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
