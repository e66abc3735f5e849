/**
 * Serves entries: renews their leases, sends them the view that is valid under the lease, and grants claims.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import type { Clock } from "../../clock";
import type { Configuration } from "../../configuration";
import type { ConsensusDriver } from "../../consensus";
import {
  EntryService,
  type RenewRequest,
  type RenewResponse,
  RenewResponseSchema,
} from "../../gen/ploverstage/v1/control_pb";
import { ClaimState, type ConfigurationVersion, type RequestClaim } from "../../gen/ploverstage/v1/state_pb";
import { EntryId } from "../../ids";
import type { LeaderGuard } from "../../membership";
import type { ConfigurationCache } from "../ConfigurationCache";
import type { Leadership } from "../Leadership";
import { getAbsentInstances } from "../LossLedger";
import type { PatchCache } from "../PatchCache";

export interface EntryRouteOptions {
  readonly driver: ConsensusDriver;
  readonly guard: LeaderGuard<Leadership>;
  readonly clock: Clock;
  readonly configurations: ConfigurationCache;
  readonly patches: PatchCache;
}

/** Adds the RPCs by which entries renew their leases and claim and settle keys. */
export function addEntryRoutes(router: ConnectRouter, options: EntryRouteOptions): void {
  const { driver, guard, clock } = options;
  router.service(EntryService, {
    renew(request) {
      return guard.run((leadership) => renewLease(options, leadership, request));
    },
    claim(request) {
      return guard.propose(async (leadership) => {
        const value = { ...request, atMs: clock.getWallMs(), retentionMs: getRetentionMs(options) };
        const result = await driver.propose({ case: "claim", value });
        if (result?.kind !== "existingClaim") return { granted: result?.kind === "grantedClaim" };
        return {
          granted: false,
          existing: getReportedClaim(leadership, result.claim, clock.getMonotonicMs()),
        };
      });
    },
    settle(request) {
      return guard.propose(async () => {
        await driver.propose({ case: "settle", value: request });
        return {};
      });
    },
  });
}

/**
 * Gets a claim with the state to report. If the claim's entry has no lease any more, it will never report the
 * outcome, so a running claim becomes unknown.
 */
function getReportedClaim(leadership: Leadership, claim: RequestClaim, now: number): RequestClaim {
  if (claim.state !== ClaimState.RUNNING || !leadership.leases.haveEarlierLeasesExpired(now)) return claim;
  const isLive = leadership.leases.getLiveHolders(now).some((holder) => holder.entryId === claim.entryId);
  return isLive ? claim : { ...claim, state: ClaimState.UNKNOWN };
}

function getRetentionMs({ configurations }: EntryRouteOptions): number {
  return configurations.getNewest()?.timing.claimRetention ?? DEFAULT_RETENTION_MS;
}

const DEFAULT_RETENTION_MS = 86_400_000;

/** Grants a lease. Runs synchronously, so that lease and view are consistent. */
function renewLease(
  options: EntryRouteOptions,
  leadership: Leadership,
  request: RenewRequest,
): RenewResponse {
  const now = options.clock.getMonotonicMs();
  const entryId = EntryId(request.entryId);
  const configuration = options.configurations.getNewest();
  const leaseMs = configuration?.timing.lease ?? 0;
  leadership.entries.addRenewal(request);
  leadership.burn.setWindows(entryId, request.burn);
  const { knownConfiguration, knownAssignment } = request;
  if (request.released) leadership.leases.removeLease(entryId);
  else leadership.leases.addLease(now, { entryId, knownConfiguration, knownAssignment }, leaseMs);
  return createView(options, leadership, request, configuration, now);
}

function createView(
  { driver, patches }: EntryRouteOptions,
  leadership: Leadership,
  request: RenewRequest,
  configuration: Configuration | undefined,
  now: number,
): RenewResponse {
  const machine = driver.machine;
  const newest = machine.getConfiguration();
  const changed =
    request.knownAssignment === 0 ? undefined : machine.getReplicasChangedSince(request.knownAssignment);
  return create(RenewResponseSchema, {
    leaseMs: configuration?.timing.lease ?? 0,
    term: leadership.term,
    configurationVersion: newest?.version ?? 0,
    ...createConfigurationFields(request, newest, patches),
    assignmentIndex: machine.assignmentIndex,
    full: changed === undefined,
    replicas: changed ?? machine.getReplicas(),
    entries: getEntryAddresses(leadership, now),
    absentInstances: getAbsentMembers(leadership, configuration, now),
    concurrencyShare: leadership.entries.getConcurrencyShare(now, leadership.leases, request.entryId),
    serviceEndpoints: getServiceEndpoints(leadership),
  });
}

/**
 * Gets the configuration for an entry with an older version: a patch if that is shorter, otherwise the whole
 * text.
 */
function createConfigurationFields(
  request: RenewRequest,
  newest: ConfigurationVersion | undefined,
  patches: PatchCache,
) {
  if (newest === undefined || request.knownConfiguration === newest.version) return {};
  const patch = request.needsText ? undefined : patches.getPatch(request.knownConfiguration, newest);
  if (patch === undefined) return { configurationText: newest.text };
  return { configurationPatch: patch, configurationDigest: newest.digest };
}

function getEntryAddresses(leadership: Leadership, now: number): RenewResponse["entries"] {
  return leadership.entries
    .getLiveRenewals(now, leadership.leases)
    .filter((renewal) => !renewal.stopping)
    .map((renewal) => ({
      $typeName: "ploverstage.v1.EntryAddress" as const,
      address: renewal.callerAddress,
      failureDomain: renewal.failureDomain,
    }));
}

/**
 * Gets the absent instances of all replicas. Returns none until a new leader has had time to probe the
 * instances.
 */
function getAbsentMembers(
  leadership: Leadership,
  configuration: Configuration | undefined,
  now: number,
): string[] {
  if (configuration === undefined || !leadership.isWarm(now, configuration)) return [];
  const facts = leadership.getFacts(now, configuration);
  return facts.replicas.flatMap((replica) => getAbsentInstances(now, replica, facts, configuration));
}

function getServiceEndpoints(leadership: Leadership): RenewResponse["serviceEndpoints"] {
  return leadership.monitor
    .getInstances()
    .filter((instance) => instance.kind === "service")
    .map((instance) => ({
      $typeName: "ploverstage.v1.ServiceEndpoint" as const,
      service: instance.service,
      instanceId: instance.id,
      address: instance.address,
      failureDomain: instance.failureDomain,
      leaving: instance.isLeaving,
    }));
}
