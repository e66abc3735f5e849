/** Branded identifiers: strings that the type checker treats as distinct types. */
import { Brand } from "effect";

/** A voter or learner of the consensus group: name from the settings and incarnation. */
export type MemberId = string & Brand.Brand<"MemberId">;
/** Creates a member id from text. */
export const MemberId = Brand.nominal<MemberId>();

/** A machine that runs an engine or a service; the platform assigns its id. */
export type InstanceId = string & Brand.Brand<"InstanceId">;
/** Creates an instance id from text. */
export const InstanceId = Brand.nominal<InstanceId>();

/** A replica; each new formation gets a new id. */
export type ReplicaId = string & Brand.Brand<"ReplicaId">;
/** Creates a replica id from text. */
export const ReplicaId = Brand.nominal<ReplicaId>();

/** An incarnation of an entry process. */
export type EntryId = string & Brand.Brand<"EntryId">;
/** Creates an entry id from text. */
export const EntryId = Brand.nominal<EntryId>();

/** A calling organisation of the configuration. */
export type OrganisationId = string & Brand.Brand<"OrganisationId">;
/** Creates an organisation id from text. */
export const OrganisationId = Brand.nominal<OrganisationId>();

/** A caller's request; the entry that accepts the request creates the id. */
export type RequestId = string & Brand.Brand<"RequestId">;
/** Creates a request id from text. */
export const RequestId = Brand.nominal<RequestId>();

export { getIncarnationKey, type Incarnation, type IncarnationKey, parseIncarnationKey } from "./Incarnation";
