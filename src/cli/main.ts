/** The command-line program: parses arguments, runs a command and maps errors to exit codes. */
import { Command, CommanderError } from "commander";
import { InvalidFile } from "../errors";
import { VERSION } from "../version";
import { addConfigurationCommands } from "./configurationCommands";
import { addExplainCommand } from "./explainCommand";
import { EXIT, printError } from "./output";
import { addProcessCommands } from "./processes";
import { addReportCommands } from "./reportCommands";
import { addStatusCommand } from "./statusCommand";

/** Runs the command named by the arguments. */
export async function main(argv: readonly string[]): Promise<void> {
  process.stdout.on("error", exitOnBrokenPipe);
  const program = new Command("ploverstage")
    .description("serves language models that span several instances")
    .version(VERSION)
    .exitOverride()
    .showHelpAfterError("(see ploverstage --help)")
    .addHelpText("after", "\nExit codes: 0 success, 1 failure, 2 invalid usage, settings or configuration");
  addProcessCommands(program);
  addConfigurationCommands(program);
  addStatusCommand(program);
  addReportCommands(program);
  addExplainCommand(program);
  setExitOverride(program);
  try {
    await program.parseAsync([...argv]);
  } catch (cause) {
    process.exitCode = printFailure(cause);
  }
}

/** Exits with success when the reader of a pipe, such as `head`, closes it early. */
function exitOnBrokenPipe(cause: NodeJS.ErrnoException): void {
  if (cause.code !== "EPIPE") throw cause;
  process.exit(EXIT.ok);
}

/** Makes all nested subcommands throw their errors instead of exiting. */
function setExitOverride(command: Command): void {
  command.exitOverride();
  command.commands.forEach(setExitOverride);
}

function printFailure(cause: unknown): number {
  if (cause instanceof CommanderError) return cause.exitCode === 0 ? EXIT.ok : EXIT.usage;
  if (cause instanceof InvalidFile) {
    printError(cause.message);
    return EXIT.usage;
  }
  printError(cause instanceof Error ? cause.message : String(cause));
  return EXIT.failure;
}
