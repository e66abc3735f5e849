/** The command `explain`, which reports service losses from the logs of processes. */
import { readFile } from "node:fs/promises";
import type { Command } from "commander";
import { createExplanation, type Explanation, readDecisionLog } from "../explain";
import { printJson, printLine, printTable } from "./output";

interface ExplainOptions {
  readonly json?: true;
  readonly all?: true;
}

export function addExplainCommand(program: Command): void {
  program
    .command("explain")
    .argument("<log...>", "log files of entries and control processes")
    .description("report lost service by second and cause, model, failed attempt and idle instance")
    .option("--json", "print as JSON")
    .option("--all", "also show seconds in which all requests were answered in time")
    .addHelpText("after", "\nExample:\n  ploverstage explain entry-*.log control-*.log")
    .action(async (files: string[], options: ExplainOptions) => explain(files, options));
}

async function explain(files: readonly string[], options: ExplainOptions): Promise<void> {
  const texts = await Promise.all(files.map((file) => readFile(file, "utf8")));
  const log = readDecisionLog(texts.flatMap((text) => text.split("\n").filter((line) => line !== "")));
  const explanation = createExplanation(log);
  if (options.json) printJson(explanation);
  else printExplanation(explanation, options.all === true);
  printLine(`${log.requests.length} requests; ${log.skippedLines} lines say something else`);
}

function printExplanation(explanation: Explanation, showsAll: boolean): void {
  printSeconds(explanation, showsAll);
  printLine("\nSeconds in which less than half was answered");
  printTable(
    ["FROM", "SECONDS", "LOST", "MOSTLY"],
    explanation.blackouts.map(({ from, seconds, lost, mainCause }) => [
      from,
      String(seconds),
      String(lost),
      mainCause,
    ]),
  );
  printModels(explanation);
  printLine("\nFailed attempts");
  printTable(
    ["COUNT", "MEAN MS", "REASON"],
    explanation.attempts.map(({ count, meanMs, reason }) => [String(count), String(meanMs), reason]),
  );
  printIdle(explanation);
  printLine("\nLives of instances that were held for ended");
  printTable(
    ["AT", "INSTANCE", "STARTED", "GROUND"],
    explanation.endedLives.map(({ time, instance, born, ground }) => [
      time.slice(11, 23),
      instance,
      born === 0 ? "-" : new Date(born).toISOString(),
      ground,
    ]),
  );
}

function printSeconds({ seconds }: Explanation, showsAll: boolean): void {
  const rows = seconds.filter((row) => showsAll || row.fates.inTime < row.arrived);
  printLine("Requests by the second in which they arrived");
  printTable(
    ["SECOND", "ARRIVED", "IN TIME", "LATE START", "LATE GAP", "CUT", "REFUSED", "MOSTLY"],
    rows.map(({ at, arrived, fates, mainCause }) => [
      at.slice(11, 19),
      ...[arrived, fates.inTime, fates.lateStart, fates.lateGap, fates.cut, fates.refused].map(String),
      mainCause,
    ]),
  );
}

function printModels({ models }: Explanation): void {
  printLine("\nFirst events, and whole answers of plain services, against their objective");
  printTable(
    ["MODEL", "ANSWERED", "LATE", "P50 MS", "P90 MS", "P99 MS", "REFUSED", "CUT"],
    models.map((row) => [
      row.model === "" ? "-" : row.model,
      String(row.answered),
      `${(row.lateShare * 100).toFixed(1)}%`,
      ...[row.p50Ms, row.p90Ms, row.p99Ms, row.refused, row.cut].map(String),
    ]),
  );
}

function printIdle({ idle }: Explanation): void {
  const idleS = idle.reduce((sum, span) => sum + span.idle * span.seconds, 0);
  printLine(`\nInstances in no serving replica: ${idleS.toFixed(0)} instance-seconds`);
  printTable(
    ["FROM", "SECONDS", "PRESENT", "SERVING", "IDLE", "REPLICAS", "GIVEN UP"],
    idle.map((span) => [
      span.from.slice(11, 23),
      span.seconds.toFixed(1),
      ...[span.present, span.serving, span.idle].map(String),
      Object.entries(span.replicas)
        .map(([model, count]) => `${model} ${count}`)
        .join(", "),
      span.reasons.join(", "),
    ]),
  );
}
