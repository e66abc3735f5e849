/** Parses a configuration and reports all faults with file and line. */
import { type FileFault, InvalidFile } from "../errors";
import { Expression, InvalidExpression } from "../policy";
import { sortFaults, TomlDocument } from "../toml";
import { type Configuration, ConfigurationSchema } from "./Configuration";

type Path = readonly (string | number)[];
type Report = (path: Path, message: string) => void;

/**
 * Parses and validates a configuration.
 * @param file - File name for error messages.
 * @throws InvalidFile - Contains all faults.
 */
export function parseConfiguration(file: string, text: string): Configuration {
  const document = TomlDocument.parse(file, text);
  const configuration = document.decode(ConfigurationSchema);
  const faults: FileFault[] = [];
  checkConfiguration(configuration, (path, message) => faults.push(document.createFault(path, message)));
  if (faults.length > 0) throw new InvalidFile({ file, faults: sortFaults(faults) });
  return configuration;
}

function checkConfiguration(configuration: Configuration, report: Report): void {
  reportDuplicates("models", configuration.models, report);
  reportDuplicates("groups", configuration.groups, report);
  reportDuplicates("services", configuration.services, report);
  reportDuplicates("organisations", configuration.organisations, report);
  checkGroups(configuration, report);
  checkTiming(configuration, report);
  checkClasses(configuration, report);
}

function reportDuplicates(kind: string, items: readonly { readonly name: string }[], report: Report): void {
  const seen = new Set<string>();
  items.forEach((item, i) => {
    if (seen.has(item.name)) report([kind, i, "name"], `"${item.name}" is declared twice`);
    seen.add(item.name);
  });
}

function checkGroups(configuration: Configuration, report: Report): void {
  const models = new Set(configuration.models.map((model) => model.name));
  configuration.groups.forEach((group, i) => {
    if (!models.has(group.model)) report(["groups", i, "model"], `model "${group.model}" is not declared`);
    if (group.minimum > group.replicas) {
      report(["groups", i, "minimum"], `minimum ${group.minimum} is above replicas ${group.replicas}`);
    }
  });
}

function checkTiming({ timing }: Configuration, report: Report): void {
  if (timing.renew * 2 > timing.lease) {
    report(["timing", "renew"], "a lease must be renewed at least twice before it expires");
  }
  if (timing.probe * 2 > timing.presenceWindow) {
    report(["timing", "probe"], "an instance must be probed at least twice within the presence window");
  }
}

function checkClasses({ policy }: Configuration, report: Report): void {
  reportDuplicates("policy.classes", policy.classes, (path, message) =>
    report(["policy", "classes", ...path.slice(1)], message),
  );
  policy.classes.forEach((requestClass, i) => {
    checkExpression(requestClass.when, ["policy", "classes", i, "when"], report);
    if (requestClass.shedWhen !== undefined) {
      checkExpression(requestClass.shedWhen, ["policy", "classes", i, "shedWhen"], report);
    }
  });
  const last = policy.classes.length - 1;
  if (policy.classes[last]!.when.trim() !== "true") {
    report(["policy", "classes", last, "when"], 'the last class must match every request: when = "true"');
  }
}

function checkExpression(text: string, path: Path, report: Report): void {
  try {
    new Expression(text);
  } catch (cause) {
    if (!(cause instanceof InvalidExpression)) throw cause;
    report(path, cause.reason);
  }
}
