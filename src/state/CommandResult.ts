/** Results of commands, returned to the process that proposed the command. */
import type { ConfigurationVersion, Replica, RequestClaim } from "../gen/ploverstage/v1/state_pb";

/** The configuration was changed, or the command repeats a change that was accepted before. */
export interface AcceptedConfiguration {
  readonly kind: "acceptedConfiguration";
  readonly version: number;
}

/** Another change on the same base version was accepted first. */
export interface ConflictingConfiguration {
  readonly kind: "conflictingConfiguration";
  readonly newest: ConfigurationVersion | undefined;
}

/** A replica was formed or moved to its next phase. */
export interface ChangedReplica {
  readonly kind: "changedReplica";
  readonly replica: Replica;
}

/**
 * The change of a replica does not fit the state: an instance belongs to another replica, or the epoch or
 * phase has passed.
 */
export interface RefusedReplica {
  readonly kind: "refusedReplica";
  readonly reason: string;
}

/** The claim was granted: the request may run once. */
export interface GrantedClaim {
  readonly kind: "grantedClaim";
}

/** Another request claimed the key before. */
export interface ExistingClaim {
  readonly kind: "existingClaim";
  readonly claim: RequestClaim;
}

/** The outcome of the claim is recorded, or there was nothing to record. */
export interface SettledClaim {
  readonly kind: "settledClaim";
}

/**
 * The declaration in force: the proposed one, or one that was accepted before and has the same or a higher
 * version.
 */
export interface HeldDeclaration {
  readonly kind: "heldDeclaration";
  readonly version: number;
}

/** The departures of instances are recorded. */
export interface RecordedDepartures {
  readonly kind: "recordedDepartures";
}

/** The crash records that entries reported are recorded. */
export interface RecordedCrashes {
  readonly kind: "recordedCrashes";
}

/** The result of any command. */
export type CommandResult =
  | AcceptedConfiguration
  | ConflictingConfiguration
  | ChangedReplica
  | RefusedReplica
  | GrantedClaim
  | ExistingClaim
  | SettledClaim
  | HeldDeclaration
  | RecordedDepartures
  | RecordedCrashes;
