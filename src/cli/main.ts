/** The one binary: parses arguments, runs a command, turns errors into exit codes. */
import { Command, CommanderError } from "commander";
import { InvalidFile } from "../errors";
import { VERSION } from "../version";
import { addConfigurationCommands } from "./configurationCommands";
import { addExplainCommand } from "./explainCommand";
import { EXIT, printError } from "./output";
import { addProcessCommands } from "./processes";
import { addReportCommands } from "./reportCommands";
import { addStatusCommand } from "./statusCommand";

/** Runs the command that the arguments name. */
export async function main(argv: readonly string[]): Promise<void> {
  process.stdout.on("error", endWithReader);
  const program = new Command("ploverstage")
    .description("serves language models that span several instances")
    .version(VERSION)
    .exitOverride()
    .showHelpAfterError("(see ploverstage --help)")
    .addHelpText("after", "\nExit codes: 0 done, 1 failed, 2 wrong usage, settings or configuration");
  addProcessCommands(program);
  addConfigurationCommands(program);
  addStatusCommand(program);
  addReportCommands(program);
  addExplainCommand(program);
  setExitOverride(program);
  try {
    await program.parseAsync([...argv]);
  } catch (cause) {
    process.exitCode = reportFailure(cause);
  }
}

/** A reader such as `head` that has seen enough closes its end. */
function endWithReader(cause: NodeJS.ErrnoException): void {
  if (cause.code !== "EPIPE") throw cause;
  process.exit(EXIT.ok);
}

/** Errors of subcommands come here too, however deep they are. */
function setExitOverride(command: Command): void {
  command.exitOverride();
  command.commands.forEach(setExitOverride);
}

function reportFailure(cause: unknown): number {
  if (cause instanceof CommanderError) return cause.exitCode === 0 ? EXIT.ok : EXIT.usage;
  if (cause instanceof InvalidFile) {
    printError(cause.message);
    return EXIT.usage;
  }
  printError(cause instanceof Error ? cause.message : String(cause));
  return EXIT.failure;
}
