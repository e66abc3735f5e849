/** Creates the status of the whole system, with a list of its problems. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { Clock } from "../../clock";
import type { Configuration } from "../../configuration";
import { type ConsensusDriver, getVoters } from "../../consensus";
import type {
  EntryStatusSchema,
  InstanceStatusSchema,
  LossStatusSchema,
  MemberStatusSchema,
  StatusResponseSchema,
} from "../../gen/ploverstage/v1/control_pb";
import { ReplicaPhase } from "../../gen/ploverstage/v1/state_pb";
import type { PlanningFacts } from "../../planner";
import type { ConfigurationCache } from "../ConfigurationCache";
import type { Leadership } from "../Leadership";
import { getAbsentInstances, getStrandedReason } from "../LossLedger";

type StatusInit = MessageInitShape<typeof StatusResponseSchema>;
type MemberInit = MessageInitShape<typeof MemberStatusSchema>;
type EntryInit = MessageInitShape<typeof EntryStatusSchema>;
type InstanceInit = MessageInitShape<typeof InstanceStatusSchema>;

/** State from which the status is computed, in addition to that of the leadership. */
export interface StatusSources {
  readonly driver: ConsensusDriver;
  readonly clock: Clock;
  readonly configurations: ConfigurationCache;
}

/** A member that has not answered for this long, in milliseconds, is reported as a problem. */
const MEMBER_TIMEOUT_MS = 2_000;

/** Creates the status as observed by the leader. */
export function createStatus(sources: StatusSources, leadership: Leadership): StatusInit {
  const { driver, clock, configurations } = sources;
  const now = clock.getMonotonicMs();
  const configuration = configurations.getNewest();
  const members = createMembers(driver, now);
  const entries = createEntries(leadership, now);
  const base = {
    configurationVersion: driver.machine.getConfiguration()?.version ?? 0,
    term: driver.node.term,
    logIndex: driver.node.log.lastIndex,
    entries,
    members,
    losses: createLossStatuses(leadership),
  };
  if (configuration === undefined) {
    return {
      ...base,
      problems: ["no configuration has been applied", ...getMemberProblems(driver, members)],
    };
  }
  const facts = leadership.getFacts(now, configuration);
  const instances = createInstances(facts, configuration, now);
  const replicas = facts.replicas.map((replica) => ({
    replica,
    absentInstances: getAbsentInstances(now, replica, facts, configuration),
  }));
  const problems = [
    ...getMemberProblems(driver, members),
    ...getGroupProblems(facts, configuration, now),
    ...getEntryProblems(entries, base.configurationVersion),
    ...getStrandedProblems(instances),
  ];
  return { ...base, replicas, instances, problems };
}

/** Gets the losses in the form of the status message. */
export function createLossStatuses(leadership: Leadership): MessageInitShape<typeof LossStatusSchema>[] {
  return leadership.ledger.getLosses().map((loss) => ({
    model: loss.model,
    failureDomain: loss.failureDomain,
    cause: loss.cause,
    groupDowntimeS: loss.groupDowntimeS,
    strandedAcceleratorS: loss.strandedAcceleratorS,
  }));
}

function createMembers(driver: ConsensusDriver, now: number): MemberInit[] {
  return driver.node.membership.members.map((member) => {
    const progress = driver.node.getProgress(member.id);
    const isSelf = member.id === driver.node.id;
    // `answeredAt` starts with the term, so it counts only once the member has answered in this term.
    const answerAgeMs = progress?.hasAnswered === true ? now - progress.answeredAt : -1;
    return {
      member,
      leader: isSelf,
      matchIndex: isSelf ? driver.node.log.lastIndex : (progress?.matchIndex ?? 0),
      answeredMsAgo: isSelf ? 0 : answerAgeMs,
    };
  });
}

function createEntries(leadership: Leadership, now: number): EntryInit[] {
  const holders = new Map(
    leadership.leases.getLiveHolders(now).map((holder) => [String(holder.entryId), holder]),
  );
  return leadership.entries.getLiveRenewals(now, leadership.leases).map((renewal) => ({
    entryId: renewal.entryId,
    address: renewal.callerAddress,
    failureDomain: renewal.failureDomain,
    configurationVersion: renewal.knownConfiguration,
    assignmentIndex: renewal.knownAssignment,
    leaseLeftMs: (holders.get(renewal.entryId)?.expiresAt ?? now) - now,
    stopping: renewal.stopping,
    queued: renewal.queued,
  }));
}

function createInstances(facts: PlanningFacts, configuration: Configuration, now: number): InstanceInit[] {
  return facts.instances.map((instance) => {
    const replica = facts.replicas.find((candidate) =>
      candidate.members.some((member) => member.instanceId === instance.id),
    );
    return {
      instanceId: instance.id,
      failureDomain: instance.failureDomain,
      fabricDomain: instance.fabricDomain,
      replicaId: replica?.id ?? "",
      present: now - instance.answeredAt <= configuration.timing.presenceWindow,
      leaving: instance.isLeaving,
      strandedReason: getStrandedReason(now, instance, facts, configuration) ?? "",
    };
  });
}

function getMemberProblems(driver: ConsensusDriver, members: readonly MemberInit[]): string[] {
  const isUnresponsive = (member: MemberInit) =>
    (member.answeredMsAgo ?? -1) < 0 || member.answeredMsAgo! > MEMBER_TIMEOUT_MS;
  const unresponsive = members.filter((member) => !member.leader && isUnresponsive(member));
  const voters = getVoters(driver.node.membership).length;
  const toleratedLosses =
    Math.floor((voters - 1) / 2) - unresponsive.filter((member) => !member.member?.learner).length;
  const problems = unresponsive.map((member) => `control ${member.member?.id} does not answer`);
  if (toleratedLosses <= 0 && unresponsive.length > 0) {
    problems.unshift("the loss of one more control process would stop all changes");
  }
  return problems;
}

function getGroupProblems(facts: PlanningFacts, configuration: Configuration, now: number): string[] {
  return configuration.groups.flatMap((group) => {
    const replicas = facts.replicas.filter((replica) => replica.group === group.name);
    const serving = replicas.filter(
      (replica) =>
        replica.phase === ReplicaPhase.SERVING &&
        getAbsentInstances(now, replica, facts, configuration).length === 0,
    );
    if (serving.length >= group.replicas) return [];
    return [`group ${group.name} has ${serving.length} of ${group.replicas} replicas serving`];
  });
}

function getEntryProblems(entries: readonly EntryInit[], version: number): string[] {
  if (entries.length === 0) return ["no entry holds a lease"];
  return entries
    .filter((entry) => entry.configurationVersion !== version)
    .map((entry) => `entry ${entry.entryId} has configuration ${entry.configurationVersion}, not ${version}`);
}

function getStrandedProblems(instances: readonly InstanceInit[]): string[] {
  const counts = new Map<string, number>();
  for (const { strandedReason } of instances) {
    if (strandedReason) counts.set(strandedReason, (counts.get(strandedReason) ?? 0) + 1);
  }
  return [...counts].map(([reason, count]) => `${count} instances are in no serving replica: ${reason}`);
}
