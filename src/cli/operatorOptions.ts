/** Options of all commands that call the control leader. */
import { type Command, Option } from "commander";

/** Adds where the system is reached and how long a command may take. */
export function addOperatorOptions(command: Command): Command {
  const control = new Option("--control <addresses>", "host:port of operators' interfaces, comma separated")
    .env("PLOVERSTAGE_CONTROL")
    .makeOptionMandatory();
  const secret = new Option("--secret-file <file>", "file with the operators' secret")
    .env("PLOVERSTAGE_SECRET_FILE")
    .makeOptionMandatory();
  return command
    .addOption(control)
    .addOption(secret)
    .option("--timeout <seconds>", "longest time that the command may take", "10");
}
