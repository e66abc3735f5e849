/**
 * The replicated state, which every control process computes from the log with the same outcome.
 *
 * Applying a command is deterministic: it uses no clock, no randomness and no I/O. The leader that proposes a
 * command adds the time to it, and the clock of the state never goes back.
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
import { ClaimQueue } from "./ClaimQueue";
import type { CommandResult } from "./CommandResult";

/** Newest configurations whose text is retained; older ones retain only their digest. */
const MAX_CONFIGURATION_TEXTS = 20;
/** Configuration versions that are retained in the history. */
const MAX_CONFIGURATION_VERSIONS = 1000;
/** Released replicas that are retained, so that entries can be sent only the replicas that changed. */
const MAX_RELEASED_REPLICAS = 500;
/** Departures that are retained; an instance whose departure is older than these sends no more reports. */
const MAX_DEPARTURES = 4_096;

/** The replicated state of one member. */
export class StateMachine {
  private readonly _state: State;
  private readonly _claimQueue: ClaimQueue;
  private readonly _departures: Map<IncarnationKey, Departure>;
  private readonly _crashTable = new CrashTable(MAX_CRASH_RECORDS);
  private _crashIndex = 0;

  /**
   * @param snapshot - An encoded state to start from; `undefined` starts with an empty one.
   */
  constructor(snapshot?: Uint8Array) {
    this._state =
      snapshot === undefined ? create(StateSchema, { nextEpoch: 1 }) : fromBinary(StateSchema, snapshot);
    this._claimQueue = new ClaimQueue(Object.values(this._state.claims));
    this._departures = new Map(
      this._state.departures.map((departure) => [getIncarnationKey(departure), departure]),
    );
    for (const record of this._state.crashRecords) {
      this._crashTable.addRecord(record);
      this._crashIndex = Math.max(this._crashIndex, record.changedAtIndex);
    }
  }

  /** Gets the index of the newest log entry that was applied. */
  get appliedIndex(): number {
    return this._state.appliedIndex;
  }

  /** Gets the log index of the newest change to a replica. */
  get assignmentIndex(): number {
    return this._state.assignmentIndex;
  }

  /** Gets the newest configuration; `undefined` when none was set. */
  getConfiguration(): ConfigurationVersion | undefined {
    return this._state.configurations.at(-1);
  }

  /** Gets the configuration with a version; `undefined` when it is not retained. */
  getConfigurationByVersion(version: number): ConfigurationVersion | undefined {
    return this._state.configurations.find((candidate) => candidate.version === version);
  }

  /** Gets the configuration history, newest first. */
  getConfigurations(limit: number): ConfigurationVersion[] {
    return this._state.configurations.slice(-limit).reverse();
  }

  /** Gets the replicas that are not released. */
  getReplicas(): Replica[] {
    return Object.values(this._state.replicas).filter((replica) => replica.phase !== ReplicaPhase.RELEASED);
  }

  /** Gets all retained replicas, including released ones. */
  getKnownReplicas(): Replica[] {
    return Object.values(this._state.replicas);
  }

  /** Gets a replica by its id; `undefined` when it is not retained. */
  getReplica(id: string): Replica | undefined {
    return this._state.replicas[id];
  }

  /** Gets the number of retained claims. */
  getClaimCount(): number {
    return Object.keys(this._state.claims).length;
  }

  /**
   * Gets the replicas that changed after an assignment index, including released ones.
   * @returns `undefined` when released replicas since that index were removed: the caller must send the whole
   * list.
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
   * Checks whether an incarnation of an instance reported its departure. A departure without a start time
   * covers every incarnation that started before the departure was recorded.
   */
  hasDeparted(incarnation: Incarnation): boolean {
    if (this._departures.has(getIncarnationKey(incarnation))) return true;
    const undatedDeparture = this._departures.get(
      getIncarnationKey({ instanceId: incarnation.instanceId, born: 0 }),
    );
    return undatedDeparture !== undefined && incarnation.born <= undatedDeparture.atMs;
  }

  /** Gets the incarnations that reported their departure, limited to the newest ones. */
  getDepartures(): Incarnation[] {
    return [...this._departures.values()];
  }

  /** Gets the log index of the newest change to a crash record. */
  get crashIndex(): number {
    return this._crashIndex;
  }

  /** Gets the crash records of all requests. */
  getCrashRecords(): CrashRecord[] {
    return this._crashTable.getRecords();
  }

  /** Gets the crash record of a request; `undefined` when there is none. */
  getCrashRecord(digest: string): CrashRecord | undefined {
    return this._crashTable.getRecord(digest);
  }

  /** Checks whether a request is the confirmed cause of crashes of the instances that ran it. */
  isConfirmedCause(digest: string): boolean {
    return this._crashTable.getVerdict(digest) === "proven";
  }

  /** Encodes the state for a snapshot. */
  encode(): Uint8Array {
    this._state.crashRecords = this._crashTable.getRecords();
    return toBinary(StateSchema, this._state);
  }

  /**
   * Applies a committed log entry.
   * @returns The result of the command; `undefined` for log entries without a command.
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
        return this._completeClaim(command.value);
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
    const previousVersion = this._state.changeOutcomes[change.changeId];
    if (previousVersion !== undefined)
      return { kind: "acceptedConfiguration", version: Number(previousVersion) };
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
    this._removeOldConfigurations();
    return { kind: "acceptedConfiguration", version };
  }

  private _removeOldConfigurations(): void {
    const versions = this._state.configurations;
    const outdated = versions.at(-MAX_CONFIGURATION_TEXTS - 1);
    if (outdated !== undefined) outdated.text = "";
    if (versions.length <= MAX_CONFIGURATION_VERSIONS) return;
    const removed = versions.shift()!;
    delete this._state.changeOutcomes[removed.changeId];
  }

  private _formReplica(index: number, form: FormReplica): CommandResult {
    const replicaIds = this._getReplicaIdsByInstance();
    const assignedMember = form.members.find((member) => replicaIds.has(member.instanceId));
    if (assignedMember !== undefined) {
      return {
        kind: "refusedReplica",
        reason: `${assignedMember.instanceId} belongs to ${replicaIds.get(assignedMember.instanceId)}`,
      };
    }
    const instanceIds = new Set(form.members.map((member) => member.instanceId));
    if (instanceIds.size !== form.members.length || instanceIds.size === 0) {
      return { kind: "refusedReplica", reason: "the replica has duplicate instances or none" };
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

  private _getReplicaIdsByInstance(): Map<string, string> {
    const replicaIds = new Map<string, string>();
    for (const replica of this.getReplicas()) {
      for (const member of replica.members) replicaIds.set(member.instanceId, replica.id);
    }
    return replicaIds;
  }

  private _moveReplica(index: number, move: MoveReplica): CommandResult {
    const replica = this._state.replicas[move.replicaId];
    if (replica === undefined || replica.epoch !== move.epoch) {
      return { kind: "refusedReplica", reason: `${move.replicaId} has no epoch ${move.epoch}` };
    }
    // Phases only go forward, so that a delayed or duplicated move can't revive a replica.
    if (move.phase <= replica.phase) {
      return { kind: "refusedReplica", reason: `${replica.id} has already reached or passed that phase` };
    }
    replica.phase = move.phase;
    if (move.phase === ReplicaPhase.SERVING) replica.servedAtIndex = index;
    replica.reason = move.reason;
    replica.changedAtIndex = index;
    replica.changedAtMs = this._advanceClock(move.atMs);
    this._state.assignmentIndex = index;
    if (move.phase === ReplicaPhase.RELEASED) this._removeOldReleasedReplicas();
    return { kind: "changedReplica", replica: clone(ReplicaSchema, replica) };
  }

  private _removeOldReleasedReplicas(): void {
    const released = Object.values(this._state.replicas)
      .filter((replica) => replica.phase === ReplicaPhase.RELEASED)
      .sort((a, b) => a.changedAtIndex - b.changedAtIndex);
    for (const replica of released.slice(0, Math.max(0, released.length - MAX_RELEASED_REPLICAS))) {
      delete this._state.replicas[replica.id];
      this._state.forgottenAssignmentIndex = replica.changedAtIndex;
    }
  }

  private _addClaim(request: ClaimRequest): CommandResult {
    const now = this._advanceClock(request.atMs);
    this._removeOldClaims(now - request.retentionMs);
    const existing = this._state.claims[request.key];
    if (existing !== undefined) {
      // The same request claims again when the first response was lost; it still holds the claim.
      if (existing.requestId === request.requestId) return { kind: "grantedClaim" };
      return { kind: "existingClaim", claim: { ...existing } };
    }
    this._claimQueue.add({ key: request.key, claimedAtMs: now });
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

  private _removeOldClaims(beforeMs: number): void {
    for (const expired of this._claimQueue.removeBefore(beforeMs)) {
      // The key may have been released and claimed again since.
      if (this._state.claims[expired.key]?.claimedAtMs === expired.claimedAtMs)
        delete this._state.claims[expired.key];
    }
  }

  private _completeClaim(completion: SettleRequest): CommandResult {
    const claim = this._state.claims[completion.key];
    if (claim === undefined || claim.requestId !== completion.requestId) return { kind: "settledClaim" };
    if (claim.state !== ClaimState.RUNNING) return { kind: "settledClaim" };
    if (completion.state === ClaimState.UNSPECIFIED) {
      delete this._state.claims[completion.key];
      return { kind: "settledClaim" };
    }
    claim.state = completion.state;
    claim.status = completion.status;
    return { kind: "settledClaim" };
  }

  private _putDeclaration(put: PutDeclaration): CommandResult {
    const currentVersion = this._state.declaration?.version ?? 0;
    if (put.version <= currentVersion) return { kind: "heldDeclaration", version: currentVersion };
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
      if (this._departures.has(getIncarnationKey(departure))) continue;
      this._departures.set(getIncarnationKey(departure), departure);
      this._state.departures.push(departure);
    }
    while (this._state.departures.length > MAX_DEPARTURES) {
      this._departures.delete(getIncarnationKey(this._state.departures.shift()!));
    }
    return { kind: "recordedDepartures" };
  }

  private _recordCrashes(index: number, { records, atMs }: RecordCrashes): CommandResult {
    const crashedAtMs = this._advanceClock(atMs);
    for (const record of records) {
      const merged = this._crashTable.addRecord(record);
      if (merged === undefined) continue;
      // CrashTable stores its own copy of the record, so the copy can be changed here.
      merged.changedAtIndex = index;
      merged.crashedAtMs = crashedAtMs;
      this._crashIndex = index;
    }
    return { kind: "recordedCrashes" };
  }

  private _advanceClock(atMs: number): number {
    this._state.clockMs = Math.max(this._state.clockMs, atMs);
    return this._state.clockMs;
  }
}
