/** The commands that create reports: `report burn`. */
import { writeFile } from "node:fs/promises";
import type { Command } from "commander";
import { type BurnReport, createBurnReport, type Objective, renderBurnHtml } from "../burn";
import { parseConfiguration } from "../configuration";
import { OperatorClient, type OperatorOptions } from "./OperatorClient";
import { addOperatorOptions } from "./operatorOptions";
import { printJson, printLine, printTable } from "./output";

interface BurnOptions extends OperatorOptions {
  readonly json?: true;
  readonly html?: string;
}

/** Adds the command `report burn`. */
export function addReportCommands(program: Command): void {
  const report = program.command("report").description("create a report");
  addOperatorOptions(report.command("burn"))
    .description(
      "report error budget burn rates by organisation and class, with downtime and stranded accelerators",
    )
    .option("--json", "print as JSON")
    .option("--html <file>", "write a self-contained HTML page with plots")
    .addHelpText("after", "\nExample:\n  ploverstage report burn --html burn.html")
    .action(async (options: BurnOptions) => showBurn(options));
}

async function showBurn(options: BurnOptions): Promise<void> {
  const client = await OperatorClient.create(options);
  const response = await client.getBurn();
  const newest = await client.getConfiguration();
  const objectives = newest === undefined ? [] : getObjectives(newest.text);
  const report = createBurnReport(response.nowMs, response.windows, objectives, response.losses);
  if (options.html !== undefined) {
    await writeFile(options.html, renderBurnHtml(report));
    printLine(`wrote ${options.html}`);
    return;
  }
  if (options.json) printJson(report);
  else printBurn(report);
}

function getObjectives(text: string): Objective[] {
  return parseConfiguration("the newest configuration", text).policy.classes.map((declared) => ({
    requestClass: declared.name,
    objective: declared.objective,
    firstTokenMs: declared.firstToken,
  }));
}

function printBurn(report: BurnReport): void {
  const spans = report.rows[0]?.spans ?? [];
  const rows = report.rows.map((row) => [
    row.organisation,
    row.requestClass,
    String(row.objective),
    ...row.spans.map((span) => `${span.burnRate.toFixed(2)} of ${span.total}`),
    `${row.firstTokenP50Ms}/${row.firstTokenP95Ms}/${row.firstTokenP99Ms}`,
    row.alert ?? "-",
  ]);
  const head = ["ORGANISATION", "CLASS", "OBJECTIVE", ...spans.map((span) => `BURN ${span.minutes}M`)];
  if (rows.length === 0) printLine("no requests were counted");
  else printTable([...head, "FIRST TOKEN P50/95/99 MS", "ALERT"], rows);
  const losses = report.losses.map((loss) => [
    loss.model,
    loss.failureDomain,
    loss.cause,
    loss.groupDowntimeS.toFixed(1),
    loss.strandedAcceleratorS.toFixed(1),
  ]);
  if (losses.length > 0)
    printTable(["MODEL", "DOMAIN", "CAUSE", "GROUP DOWNTIME S", "STRANDED ACCELERATOR S"], losses);
}
