/** The commands for the committed configuration: `check`, `apply` and `history`. */

import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { basename } from "node:path";
import { createInterface } from "node:readline/promises";
import type { Command } from "commander";
import { pause } from "../clock";
import { diffConfiguration, parseConfiguration } from "../configuration";
import { InvalidFile } from "../errors";
import { ApplyOutcome, type ApplyResponse } from "../gen/ploverstage/v1/control_pb";
import { ControlSettingsSchema, EntrySettingsSchema, readText } from "../settings";
import { TomlDocument } from "../toml";
import { OperatorClient, type OperatorOptions } from "./OperatorClient";
import { addOperatorOptions } from "./operatorOptions";
import { EXIT, printError, printJson, printLine, printTable } from "./output";

interface ApplyOptions extends OperatorOptions {
  readonly yes?: true;
  readonly wait?: true;
  readonly json?: true;
  readonly changeId?: string;
  readonly base?: string;
  readonly operator?: string;
}

const IN_FORCE_POLL_MS = 100;

/** Adds the commands `check`, `apply` and `history`. */
export function addConfigurationCommands(program: Command): void {
  program
    .command("check")
    .description("check a configuration or the settings of a process, and list all faults")
    .argument(
      "<file>",
      "TOML file: a configuration, or the settings of a process if it has a [process] table",
    )
    .option("--json", "print faults as JSON")
    .action((file: string, options: { json?: true }) => check(file, options.json === true));
  addOperatorOptions(program.command("apply"))
    .description("apply a configuration as the newest version")
    .argument("<file>", "TOML file of the whole configuration")
    .option("--yes", "apply without confirmation")
    .option("--wait", "wait until the version is in force on every entry")
    .option("--base <version>", "version that the change is based on; by default the newest")
    .option("--change-id <id>", "id of the change; use the same id to send a change again")
    .option("--operator <name>", "name of the operator; by default the current user")
    .option("--json", "print the outcome as JSON")
    .addHelpText("after", "\nExample:\n  ploverstage apply examples/casablanca.toml --wait")
    .action((file: string, options: ApplyOptions) => apply(file, options));
  addOperatorOptions(program.command("history"))
    .description("show the versions of the configuration, with operator and time")
    .option("--limit <count>", "number of versions to show, the newest first", "20")
    .option("--version-text <version>", "print the text of one version")
    .option("--json", "print as JSON")
    .action((options: OperatorOptions & { limit: string; versionText?: string; json?: true }) =>
      showHistory(options),
    );
}

async function check(file: string, isJson: boolean): Promise<void> {
  const text = await readText(file);
  try {
    checkText(file, text);
  } catch (cause) {
    if (!(cause instanceof InvalidFile) || !isJson) throw cause;
    printJson({ ok: false, faults: cause.faults });
    process.exitCode = EXIT.usage;
    return;
  }
  if (isJson) printJson({ ok: true, faults: [] });
  else printLine(`${file}: no faults`);
}

function checkText(file: string, text: string): void {
  if (!/^\s*\[process\]/m.test(text)) {
    parseConfiguration(file, text);
    return;
  }
  const document = TomlDocument.parse(file, text);
  if (/^\s*\[control\]/m.test(text)) document.decode(ControlSettingsSchema);
  else document.decode(EntrySettingsSchema);
}

async function apply(file: string, options: ApplyOptions): Promise<void> {
  const text = await readText(file);
  parseConfiguration(file, text);
  const client = await OperatorClient.create(options);
  const newest = await client.getConfiguration();
  const baseVersion = options.base === undefined ? (newest?.version ?? 0) : Number(options.base);
  if (options.yes === undefined && !(await confirmChange(newest?.text ?? "", text, baseVersion, file))) {
    process.exitCode = EXIT.failure;
    return;
  }
  const response = await client.apply({
    changeId: options.changeId ?? randomUUID(),
    baseVersion,
    operator: options.operator ?? userInfo().username,
    text,
  });
  printOutcome(response, file, options.json === true);
  if (response.outcome === ApplyOutcome.ACCEPTED && options.wait) {
    await waitUntilInForce(client, response.version, Number(options.timeout));
  }
}

async function confirmChange(before: string, after: string, version: number, file: string): Promise<boolean> {
  const diff = diffConfiguration(before, after, `version ${version}`, basename(file));
  printLine(diff === "" ? "no difference" : diff);
  if (!process.stdin.isTTY) {
    printError("standard input is not a terminal; use --yes to apply without confirmation");
    return false;
  }
  const terminal = createInterface({ input: process.stdin, output: process.stdout });
  const answer = await terminal.question("apply? [y/N] ");
  terminal.close();
  return answer.trim().toLowerCase() === "y";
}

function printOutcome(response: ApplyResponse, file: string, isJson: boolean): void {
  const outcome = ApplyOutcome[response.outcome].toLowerCase();
  if (response.outcome !== ApplyOutcome.ACCEPTED) process.exitCode = EXIT.failure;
  if (isJson) {
    printJson({ outcome, version: response.version, winner: response.winner, faults: response.faults });
    return;
  }
  if (response.outcome === ApplyOutcome.ACCEPTED) printLine(`accepted as version ${response.version}`);
  for (const fault of response.faults) printError(`${file}:${fault.line}: ${fault.path}: ${fault.message}`);
  if (response.outcome === ApplyOutcome.CONFLICT) {
    printError(
      `refused: ${response.winner} made version ${response.version} first; look at it and apply again`,
    );
  }
}

async function waitUntilInForce(client: OperatorClient, version: number, timeoutS: number): Promise<void> {
  const endAt = performance.now() + timeoutS * 1_000;
  for (;;) {
    const answer = await client.getInForce(version);
    if (answer.inForce) {
      printLine(`version ${version} is in force on every entry`);
      return;
    }
    if (performance.now() > endAt) {
      printError(
        `version ${version} was accepted but is not yet in force on: ${answer.waitingFor.join(", ")}`,
      );
      process.exitCode = EXIT.failure;
      return;
    }
    await pause(IN_FORCE_POLL_MS);
  }
}

async function showHistory(
  options: OperatorOptions & { limit: string; versionText?: string; json?: true },
): Promise<void> {
  const client = await OperatorClient.create(options);
  if (options.versionText !== undefined) {
    const found = await client.getConfiguration(Number(options.versionText));
    printLine(found?.text || "the text of this version is no longer kept");
    return;
  }
  const { versions } = await client.getHistory(Number(options.limit));
  const rows = versions.map((version) => ({
    version: version.version,
    operator: version.operator,
    accepted_at: new Date(version.acceptedAtMs).toISOString(),
    change_id: version.changeId,
    digest: version.digest,
  }));
  if (options.json) {
    printJson(rows);
    return;
  }
  const cells = rows.map((row) => [
    String(row.version),
    row.operator,
    row.accepted_at,
    row.change_id,
    row.digest.slice(0, 12),
  ]);
  printTable(["VERSION", "OPERATOR", "ACCEPTED", "CHANGE", "DIGEST"], cells);
}
