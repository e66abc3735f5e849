/** What a command came to, told to whoever proposed it. */
import type { ConfigurationVersion, Replica, RequestClaim } from "../gen/ploverstage/v1/state_pb";

/** The newest configuration changed, or the change was a resend of one that did. */
export interface AcceptedConfiguration {
  readonly kind: "acceptedConfiguration";
  readonly version: number;
}

/** Another change was accepted on the same base version first. */
export interface ConflictingConfiguration {
  readonly kind: "conflictingConfiguration";
  readonly newest: ConfigurationVersion | undefined;
}

/** A replica was formed or moved to its next phase. */
export interface ChangedReplica {
  readonly kind: "changedReplica";
  readonly replica: Replica;
}

/** A replica's change no longer fits the state: instances taken, or epoch or phase passed. */
export interface RefusedReplica {
  readonly kind: "refusedReplica";
  readonly reason: string;
}

/** The claim was granted: this request may run, once. */
export interface GrantedClaim {
  readonly kind: "grantedClaim";
}

/** The key was claimed before. */
export interface ExistingClaim {
  readonly kind: "existingClaim";
  readonly claim: RequestClaim;
}

/** A claim's outcome is recorded, or there was nothing to record. */
export interface SettledClaim {
  readonly kind: "settledClaim";
}

/** A declaration holds: the one proposed, or a higher version that came before it. */
export interface HeldDeclaration {
  readonly kind: "heldDeclaration";
  readonly version: number;
}

/** Departures are on record. */
export interface RecordedDepartures {
  readonly kind: "recordedDepartures";
}

/** What entries told of crashes is on record. */
export interface RecordedCrashes {
  readonly kind: "recordedCrashes";
}

/** Any result of a command. */
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
