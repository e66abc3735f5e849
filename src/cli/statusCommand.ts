/** The command `status`, which shows problems first, then replicas, instances, entries and members. */

import { toJson } from "@bufbuild/protobuf";
import type { Command } from "commander";
import { type StatusResponse, StatusResponseSchema } from "../gen/ploverstage/v1/control_pb";
import { ReplicaPhase } from "../gen/ploverstage/v1/state_pb";
import { OperatorClient, type OperatorOptions } from "./OperatorClient";
import { addOperatorOptions } from "./operatorOptions";
import { printJson, printLine, printTable } from "./output";

/** Adds `status`, which prints the state of the system as observed by the control leader. */
export function addStatusCommand(program: Command): void {
  addOperatorOptions(program.command("status"))
    .description("show problems, then replicas, stranded instances, entries and control processes")
    .option("--all", "show every instance, not only the stranded ones")
    .option("--json", "print as JSON")
    .action(async (options: OperatorOptions & { all?: true; json?: true }) => {
      const client = await OperatorClient.create(options);
      const status = await client.getStatus();
      if (options.json) printJson(toJson(StatusResponseSchema, status, { alwaysEmitImplicit: true }));
      else printStatus(status, options.all === true);
    });
}

function printStatus(status: StatusResponse, showsAll: boolean): void {
  if (status.problems.length === 0) printLine("nothing is wrong");
  for (const problem of status.problems) printLine(`! ${problem}`);
  printLine(
    `\nconfiguration ${status.configurationVersion}, term ${status.term}, log index ${status.logIndex}\n`,
  );
  printReplicas(status);
  printInstances(status, showsAll);
  printEntries(status);
  printMembers(status);
}

function printReplicas(status: StatusResponse): void {
  const rows = status.replicas.map(({ replica, absentInstances }) => [
    replica?.id ?? "",
    `${replica?.model}@${replica?.modelVersion}`,
    String(replica?.epoch),
    ReplicaPhase[replica?.phase ?? ReplicaPhase.UNSPECIFIED].toLowerCase(),
    replica?.fabricDomain ?? "",
    absentInstances.join(" ") || "-",
    replica?.reason ?? "",
  ]);
  printTable(["REPLICA", "MODEL", "EPOCH", "PHASE", "FABRIC", "ABSENT", "REASON"], rows);
}

function printInstances(status: StatusResponse, showsAll: boolean): void {
  const shown = status.instances.filter((instance) => showsAll || instance.strandedReason !== "");
  if (shown.length === 0) return;
  const rows = shown.map((instance) => [
    instance.instanceId,
    instance.failureDomain,
    instance.fabricDomain,
    instance.replicaId || "-",
    instance.present ? "yes" : "no",
    instance.strandedReason || "-",
  ]);
  printTable(["INSTANCE", "DOMAIN", "FABRIC", "REPLICA", "PRESENT", "STRANDED"], rows);
}

function printEntries(status: StatusResponse): void {
  const rows = status.entries.map((entry) => [
    entry.entryId,
    entry.address,
    entry.failureDomain,
    String(entry.configurationVersion),
    `${Math.round(entry.leaseLeftMs)} ms`,
    String(entry.queued),
    entry.stopping ? "stopping" : "-",
  ]);
  printTable(["ENTRY", "ADDRESS", "DOMAIN", "CONFIGURATION", "LEASE", "QUEUED", "STATE"], rows);
}

function printMembers(status: StatusResponse): void {
  const rows = status.members.map(({ member, leader, matchIndex, answeredMsAgo }) => [
    member?.id ?? "",
    member?.address ?? "",
    leader ? "leader" : member?.learner ? "learner" : "voter",
    String(matchIndex),
    answeredMsAgo < 0 ? "never" : `${Math.round(answeredMsAgo)} ms ago`,
  ]);
  printTable(["CONTROL", "ADDRESS", "ROLE", "LOG", "ANSWERED"], rows);
}
