/**
 * The agreed state: what every control process computes alike from the log.
 *
 * Applying is deterministic: no clock, no randomness, no I/O. Time comes with the
 * commands, from the leader that proposed them, and never goes back.
 */
import { clone, create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { getConfigurationDigest } from "../configuration/ConfigurationPatch";
import { CrashTable, MAX_CRASH_RECORDS } from "../containment";
import type { LogEntry } from "../gen/ploverstage/v1/consensus_pb";
import {
  type ClaimRequest,
  ClaimState,
  CommandSchema,
  type ConfigurationVersion,
  ConfigurationVersionSchema,
  type CrashRecord,
  type Declaration,
  DeclarationSchema,
  type Departure,
  DepartureSchema,
  type FormReplica,
  type MoveReplica,
  type PutDeclaration,
  type RecordCrashes,
  type RecordDepartures,
  type Replica,
  ReplicaPhase,
  ReplicaSchema,
  RequestClaimSchema,
  type SetConfiguration,
  type SettleRequest,
  type State,
  StateSchema,
} from "../gen/ploverstage/v1/state_pb";
import { getIncarnationKey, type Incarnation, type IncarnationKey } from "../ids";
import { ClaimOrder } from "./ClaimQueue";
import type { CommandResult } from "./CommandResult";

/** Configurations whose whole text is kept; older ones keep their digest. */
const KEPT_TEXTS = 20;
/** Configuration versions kept in the history. */
const KEPT_VERSIONS = 1000;
/** Released replicas kept, so that entries can be sent changes only. */
const KEPT_TOMBSTONES = 500;
/** Departures kept; an instance that left so long ago reports no more. */
const KEPT_DEPARTURES = 4_096;

/** The agreed state of one member. */
export class StateMachine {
  private readonly _state: State;
  private readonly _claimOrder: ClaimOrder;
  private readonly _departed: Map<IncarnationKey, Departure>;
  private readonly _crashes = new CrashTable(MAX_CRASH_RECORDS);
  private _crashIndex = 0;

  /**
   * @param snapshot - An encoded state to start from.
   */
  constructor(snapshot?: Uint8Array) {
    this._state =
      snapshot === undefined ? create(StateSchema, { nextEpoch: 1 }) : fromBinary(StateSchema, snapshot);
    this._claimOrder = new ClaimOrder(Object.values(this._state.claims));
    this._departed = new Map(
      this._state.departures.map((departure) => [getIncarnationKey(departure), departure]),
    );
    for (const record of this._state.crashRecords) {
      this._crashes.addRecord(record);
      this._crashIndex = Math.max(this._crashIndex, record.changedAtIndex);
    }
  }

  /** Gets the index of the newest entry applied. */
  get appliedIndex(): number {
    return this._state.appliedIndex;
  }

  /** Gets the log index of the newest change to a replica. */
  get assignmentIndex(): number {
    return this._state.assignmentIndex;
  }

  /** Gets the newest configuration. */
  getConfiguration(): ConfigurationVersion | undefined {
    return this._state.configurations.at(-1);
  }

  /** Gets a configuration by its version. */
  getConfigurationByVersion(version: number): ConfigurationVersion | undefined {
    return this._state.configurations.find((candidate) => candidate.version === version);
  }

  /** Gets the history, newest first. */
  getConfigurations(limit: number): ConfigurationVersion[] {
    return this._state.configurations.slice(-limit).reverse();
  }

  /** Gets replicas that are not released. */
  getReplicas(): Replica[] {
    return Object.values(this._state.replicas).filter((replica) => replica.phase !== ReplicaPhase.RELEASED);
  }

  /** Gets all replicas that are known, those that were released lately among them. */
  getKnownReplicas(): Replica[] {
    return Object.values(this._state.replicas);
  }

  /** Gets a replica by its id. */
  getReplica(id: string): Replica | undefined {
    return this._state.replicas[id];
  }

  /** Gets how many claims are retained. */
  getClaimCount(): number {
    return Object.keys(this._state.claims).length;
  }

  /**
   * Gets replicas that changed after an assignment index, tombstones included.
   * @returns `undefined` when tombstones since then are gone: send the whole list.
   */
  getReplicasChangedSince(index: number): Replica[] | undefined {
    if (index < this._state.forgottenAssignmentIndex) return undefined;
    return Object.values(this._state.replicas).filter((replica) => replica.changedAtIndex > index);
  }

  /** Gets the declaration with the highest version. */
  getDeclaration(): Declaration | undefined {
    return this._state.declaration;
  }

  /**
   * Checks whether a life of an instance said that it leaves. Where the start of the one that did is not
   * known, every life that had begun by then counts as left.
   */
  hasDeparted(life: Incarnation): boolean {
    if (this._departed.has(getIncarnationKey(life))) return true;
    const unborn = this._departed.get(getIncarnationKey({ instanceId: life.instanceId, born: 0 }));
    return unborn !== undefined && life.born <= unborn.atMs;
  }

  /** Gets the lives that said that they leave, the newest ones. */
  getDepartures(): Incarnation[] {
    return [...this._departed.values()];
  }

  /** Gets the log index of the newest change to what is recorded of crashes. */
  get crashIndex(): number {
    return this._crashIndex;
  }

  /** Gets what is recorded of requests under which instances ended. */
  getCrashRecords(): CrashRecord[] {
    return this._crashes.getRecords();
  }

  /** Gets what is recorded of a request under which instances ended. */
  getCrashRecord(digest: string): CrashRecord | undefined {
    return this._crashes.getRecord(digest);
  }

  /** Checks whether a request is proven guilty of the ends of instances that ran it. */
  isConfirmedCause(digest: string): boolean {
    return this._crashes.getVerdict(digest) === "proven";
  }

  /** Encodes the state for a snapshot. */
  encode(): Uint8Array {
    this._state.crashRecords = this._crashes.getRecords();
    return toBinary(StateSchema, this._state);
  }

  /**
   * Applies a committed entry.
   * @returns The command's result; `undefined` for entries without a command.
   */
  apply(entry: LogEntry): CommandResult | undefined {
    this._state.appliedIndex = entry.index;
    if (entry.body.case !== "command") return undefined;
    const command = fromBinary(CommandSchema, entry.body.value).body;
    switch (command.case) {
      case "setConfiguration":
        return this._setConfiguration(entry.index, command.value);
      case "formReplica":
        return this._formReplica(entry.index, command.value);
      case "moveReplica":
        return this._moveReplica(entry.index, command.value);
      case "claim":
        return this._addClaim(command.value);
      case "settle":
        return this._settleClaim(command.value);
      case "putDeclaration":
        return this._putDeclaration(command.value);
      case "recordDepartures":
        return this._recordDepartures(entry.index, command.value);
      case "recordCrashes":
        return this._recordCrashes(entry.index, command.value);
      default:
        return undefined;
    }
  }

  private _setConfiguration(index: number, change: SetConfiguration): CommandResult {
    const seen = this._state.changeOutcomes[change.changeId];
    if (seen !== undefined) return { kind: "acceptedConfiguration", version: Number(seen) };
    const newest = this.getConfiguration();
    if (change.baseVersion !== (newest?.version ?? 0)) return { kind: "conflictingConfiguration", newest };
    const version = change.baseVersion + 1;
    this._state.configurations.push(
      create(ConfigurationVersionSchema, {
        version,
        changeId: change.changeId,
        operator: change.operator,
        acceptedAtMs: this._advanceClock(change.atMs),
        text: change.text,
        digest: getConfigurationDigest(change.text),
        logIndex: index,
      }),
    );
    this._state.changeOutcomes[change.changeId] = String(version);
    this._forgetOldConfigurations();
    return { kind: "acceptedConfiguration", version };
  }

  private _forgetOldConfigurations(): void {
    const versions = this._state.configurations;
    const textless = versions.at(-KEPT_TEXTS - 1);
    if (textless !== undefined) textless.text = "";
    if (versions.length <= KEPT_VERSIONS) return;
    const forgotten = versions.shift()!;
    delete this._state.changeOutcomes[forgotten.changeId];
  }

  private _formReplica(index: number, form: FormReplica): CommandResult {
    const holders = this._getHolders();
    const taken = form.members.find((member) => holders.has(member.instanceId));
    if (taken !== undefined) {
      return {
        kind: "refusedReplica",
        reason: `${taken.instanceId} belongs to ${holders.get(taken.instanceId)}`,
      };
    }
    const names = new Set(form.members.map((member) => member.instanceId));
    if (names.size !== form.members.length || names.size === 0) {
      return { kind: "refusedReplica", reason: "its instances are not distinct, or there are none" };
    }
    const epoch = this._state.nextEpoch++;
    const replica = create(ReplicaSchema, {
      id: `${form.group}-${epoch}`,
      group: form.group,
      model: form.model,
      modelVersion: form.modelVersion,
      adapters: form.adapters,
      epoch,
      phase: ReplicaPhase.FORMING,
      members: form.members,
      fabricDomain: form.fabricDomain,
      changedAtIndex: index,
      reason: form.reason,
      changedAtMs: this._advanceClock(form.atMs),
    });
    this._state.replicas[replica.id] = replica;
    this._state.assignmentIndex = index;
    return { kind: "changedReplica", replica: clone(ReplicaSchema, replica) };
  }

  private _getHolders(): Map<string, string> {
    const holders = new Map<string, string>();
    for (const replica of this.getReplicas()) {
      for (const member of replica.members) holders.set(member.instanceId, replica.id);
    }
    return holders;
  }

  private _moveReplica(index: number, move: MoveReplica): CommandResult {
    const replica = this._state.replicas[move.replicaId];
    if (replica === undefined || replica.epoch !== move.epoch) {
      return { kind: "refusedReplica", reason: `${move.replicaId} has no epoch ${move.epoch}` };
    }
    // Phases only go forward, so that a late or doubled move can't revive a replica.
    if (move.phase <= replica.phase) {
      return { kind: "refusedReplica", reason: `${replica.id} is past that phase` };
    }
    replica.phase = move.phase;
    if (move.phase === ReplicaPhase.SERVING) replica.servedAtIndex = index;
    replica.reason = move.reason;
    replica.changedAtIndex = index;
    replica.changedAtMs = this._advanceClock(move.atMs);
    this._state.assignmentIndex = index;
    if (move.phase === ReplicaPhase.RELEASED) this._forgetOldTombstones();
    return { kind: "changedReplica", replica: clone(ReplicaSchema, replica) };
  }

  private _forgetOldTombstones(): void {
    const released = Object.values(this._state.replicas)
      .filter((replica) => replica.phase === ReplicaPhase.RELEASED)
      .sort((a, b) => a.changedAtIndex - b.changedAtIndex);
    for (const replica of released.slice(0, Math.max(0, released.length - KEPT_TOMBSTONES))) {
      delete this._state.replicas[replica.id];
      this._state.forgottenAssignmentIndex = replica.changedAtIndex;
    }
  }

  private _addClaim(request: ClaimRequest): CommandResult {
    const now = this._advanceClock(request.atMs);
    this._forgetOldClaims(now - request.retentionMs);
    const existing = this._state.claims[request.key];
    if (existing !== undefined) {
      // The same request asking again lost the first answer; it holds the claim still.
      if (existing.requestId === request.requestId) return { kind: "grantedClaim" };
      return { kind: "existingClaim", claim: { ...existing } };
    }
    this._claimOrder.add({ key: request.key, claimedAtMs: now });
    this._state.claims[request.key] = create(RequestClaimSchema, {
      key: request.key,
      requestId: request.requestId,
      entryId: request.entryId,
      state: ClaimState.RUNNING,
      claimedAtMs: now,
      fingerprint: request.fingerprint,
    });
    return { kind: "grantedClaim" };
  }

  private _forgetOldClaims(before: number): void {
    for (const old of this._claimOrder.takeBefore(before)) {
      // Its key may have been given back and claimed again since.
      if (this._state.claims[old.key]?.claimedAtMs === old.claimedAtMs) delete this._state.claims[old.key];
    }
  }

  private _settleClaim(settle: SettleRequest): CommandResult {
    const claim = this._state.claims[settle.key];
    if (claim === undefined || claim.requestId !== settle.requestId) return { kind: "settledClaim" };
    if (claim.state !== ClaimState.RUNNING) return { kind: "settledClaim" };
    if (settle.state === ClaimState.UNSPECIFIED) {
      delete this._state.claims[settle.key];
      return { kind: "settledClaim" };
    }
    claim.state = settle.state;
    claim.status = settle.status;
    return { kind: "settledClaim" };
  }

  private _putDeclaration(put: PutDeclaration): CommandResult {
    const held = this._state.declaration?.version ?? 0;
    if (put.version <= held) return { kind: "heldDeclaration", version: held };
    this._state.declaration = create(DeclarationSchema, {
      version: put.version,
      document: put.document,
      acceptedAtMs: this._advanceClock(put.atMs),
    });
    return { kind: "heldDeclaration", version: put.version };
  }

  private _recordDepartures(index: number, record: RecordDepartures): CommandResult {
    const atMs = this._advanceClock(record.atMs);
    for (const { instanceId, born } of record.lives) {
      const departure = create(DepartureSchema, { instanceId, born, logIndex: index, atMs });
      if (this._departed.has(getIncarnationKey(departure))) continue;
      this._departed.set(getIncarnationKey(departure), departure);
      this._state.departures.push(departure);
    }
    while (this._state.departures.length > KEPT_DEPARTURES) {
      this._departed.delete(getIncarnationKey(this._state.departures.shift()!));
    }
    return { kind: "recordedDepartures" };
  }

  private _recordCrashes(index: number, { records, atMs }: RecordCrashes): CommandResult {
    const crashedAtMs = this._advanceClock(atMs);
    for (const record of records) {
      const joined = this._crashes.addRecord(record);
      if (joined === undefined) continue;
      // The account is the table's own.
      joined.changedAtIndex = index;
      joined.crashedAtMs = crashedAtMs;
      this._crashIndex = index;
    }
    return { kind: "recordedCrashes" };
  }

  private _advanceClock(atMs: number): number {
    this._state.clockMs = Math.max(this._state.clockMs, atMs);
    return this._state.clockMs;
  }
}
