/** Branded identifiers: plain strings that the type checker keeps apart. */
import { Brand } from "effect";

/** A voter or learner of the agreed state: settings name and incarnation. */
export type MemberId = string & Brand.Brand<"MemberId">;
/** Makes a member id from its text. */
export const MemberId = Brand.nominal<MemberId>();

/** One machine that runs an engine or a service, as the platform names it. */
export type InstanceId = string & Brand.Brand<"InstanceId">;
/** Makes an instance id from its text. */
export const InstanceId = Brand.nominal<InstanceId>();

/** A replica; a new id for every forming. */
export type ReplicaId = string & Brand.Brand<"ReplicaId">;
/** Makes a replica id from its text. */
export const ReplicaId = Brand.nominal<ReplicaId>();

/** One incarnation of an entry process. */
export type EntryId = string & Brand.Brand<"EntryId">;
/** Makes an entry id from its text. */
export const EntryId = Brand.nominal<EntryId>();

/** A calling organisation, as the configuration declares it. */
export type OrganisationId = string & Brand.Brand<"OrganisationId">;
/** Makes an organisation id from its text. */
export const OrganisationId = Brand.nominal<OrganisationId>();

/** One caller's request; made by the entry that accepted it. */
export type RequestId = string & Brand.Brand<"RequestId">;
/** Makes a request id from its text. */
export const RequestId = Brand.nominal<RequestId>();

export { getIncarnationKey, type Incarnation, type IncarnationKey, parseIncarnationKey } from "./Incarnation";
