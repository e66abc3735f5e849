/** Options of the commands that call the control leader. */
import { type Command, Option } from "commander";

/** Adds the options for the address, secret and timeout of operator calls. */
export function addOperatorOptions(command: Command): Command {
  const control = new Option("--control <addresses>", "host:port of operator interfaces, comma separated")
    .env("PLOVERSTAGE_CONTROL")
    .makeOptionMandatory();
  const secret = new Option("--secret-file <file>", "file with the operator secret")
    .env("PLOVERSTAGE_SECRET_FILE")
    .makeOptionMandatory();
  return command
    .addOption(control)
    .addOption(secret)
    .option("--timeout <seconds>", "maximum duration of the command", "10");
}
