/**
 * The view of one entry: configuration, replicas and addresses from the last renewal. Each renewal is applied
 * as a whole.
 */
import { applyConfigurationPatch, type Configuration, parseConfiguration } from "../configuration";
import type { EntryAddress, RenewResponse, ServiceEndpoint } from "../gen/ploverstage/v1/control_pb";
import { type Replica, ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { PolicyProgram } from "../policy";

/** A configuration with its compiled policy. */
export interface ActiveConfiguration {
  readonly version: number;
  readonly text: string;
  readonly declared: Configuration;
  readonly policy: PolicyProgram;
}

export class ClusterView {
  private _configuration: ActiveConfiguration | undefined;
  private _replicas = new Map<string, Replica>();
  private _assignmentIndex = 0;
  private _entries: readonly EntryAddress[] = [];
  private _absentInstances: ReadonlySet<string> = new Set();
  private _concurrencyShare = 0;
  private _endpoints: readonly ServiceEndpoint[] = [];
  private _term = 0;
  private _needsText = false;

  /** Gets the active configuration, or `undefined` before the first renewal. */
  get configuration(): ActiveConfiguration | undefined {
    return this._configuration;
  }

  /** Gets the assignment index of the last applied renewal. */
  get assignmentIndex(): number {
    return this._assignmentIndex;
  }

  /** Gets this entry's share of the concurrency limit of each endpoint, 0 to 1. */
  get concurrencyShare(): number {
    return this._concurrencyShare;
  }

  /** Gets the addresses of the live entries. */
  get entries(): readonly EntryAddress[] {
    return this._entries;
  }

  /** Gets the term of the leader whose renewal was applied last. */
  get term(): number {
    return this._term;
  }

  /**
   * Gets whether the last configuration patch could not be applied, so the entry must request the whole text.
   */
  get needsText(): boolean {
    return this._needsText;
  }

  /** Gets all replicas that are not released. */
  getReplicas(): Replica[] {
    return [...this._replicas.values()];
  }

  /** Gets a replica, or `undefined` if it is unknown or released. */
  getReplica(id: string): Replica | undefined {
    return this._replicas.get(id);
  }

  /** Gets the replicas of a model that may take new requests according to the leader. */
  getServingReplicas(model: string): Replica[] {
    return this.getReplicas().filter(
      (replica) =>
        replica.model === model && replica.phase === ReplicaPhase.SERVING && !this.hasAbsentInstance(replica),
    );
  }

  /** Checks whether the leader reports an instance of the replica as absent. */
  hasAbsentInstance(replica: Replica): boolean {
    return replica.members.some((member) => this._absentInstances.has(member.instanceId));
  }

  /** Gets the endpoints of a service, without those that are leaving. */
  getServiceEndpoints(service: string): ServiceEndpoint[] {
    return this._endpoints.filter((endpoint) => endpoint.service === service && !endpoint.leaving);
  }

  /** Gets the ids of the instances of all services. */
  getServiceInstanceIds(): Set<string> {
    return new Set(this._endpoints.map((endpoint) => endpoint.instanceId));
  }

  /**
   * Applies a renewal response.
   * @returns Whether it was applied. A response that is older than the view is rejected and changes nothing.
   */
  apply(response: RenewResponse): boolean {
    if (response.term < this._term || response.assignmentIndex < this._assignmentIndex) return false;
    if (response.configurationVersion < (this._configuration?.version ?? 0)) return false;
    if (!this._applyConfiguration(response)) return false;
    this._term = response.term;
    this._applyReplicas(response);
    this._entries = response.entries;
    this._absentInstances = new Set(response.absentInstances);
    this._concurrencyShare = response.concurrencyShare;
    this._endpoints = response.serviceEndpoints;
    return true;
  }

  /** Returns whether the active configuration is now the one of the response. */
  private _applyConfiguration(response: RenewResponse): boolean {
    if (response.configurationVersion === (this._configuration?.version ?? 0)) return true;
    const text = this._getConfigurationText(response);
    this._needsText = text === undefined;
    if (text === undefined) return false;
    const declared = parseConfiguration(`version-${response.configurationVersion}`, text);
    const policy = new PolicyProgram(declared.policy);
    this._configuration = { version: response.configurationVersion, text, declared, policy };
    return true;
  }

  private _getConfigurationText({
    configurationText,
    configurationPatch,
    configurationDigest,
  }: RenewResponse): string | undefined {
    if (configurationPatch === "") return configurationText;
    return applyConfigurationPatch(this._configuration?.text ?? "", configurationPatch, configurationDigest);
  }

  private _applyReplicas(response: RenewResponse): void {
    if (response.full) this._replicas = new Map();
    for (const replica of response.replicas) {
      if (replica.phase === ReplicaPhase.RELEASED) this._replicas.delete(replica.id);
      else this._replicas.set(replica.id, replica);
    }
    this._assignmentIndex = response.assignmentIndex;
  }
}
