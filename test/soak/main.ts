/**
 * `npm run soak -- --seed N --minutes M`: prints one line of JSON for each seed and exits with 1 if a
 * guarantee was broken.
 */
import { Command } from "commander";
import { AnswerSoak } from "./AnswerSoak";
import { ConfigurationSoak } from "./ConfigurationSoak";
import { ALL_FAULTS, FIRST_FAULTS, Soak } from "./Soak";

const MINUTE_MS = 60_000;

const program = new Command("soak")
  .description("runs the system's processes under faults and checks its guarantees")
  .option("--seed <number>", "first seed", Number, Math.floor(Math.random() * 1e9))
  .option("--seeds <count>", "number of consecutive seeds to run", Number, 1)
  .option("--minutes <minutes>", "duration of each seed, in minutes", Number, 1)
  .option("--answers", "run the soak of answers that take seconds, with faults that must not cut an answer")
  .option("--configuration", "run the soak of configuration changes, with losses of disks and power")
  .option("--entries <count>", "entries of the soak of configuration changes", Number, 6)
  .option("--controls <count>", "control processes of the soak of configuration changes", Number, 7)
  .option("--engines <count>", "workers of an engine in the soak of configuration changes", Number, 0)
  .option("--share <share>", "share of a core that each of these control processes may use", Number)
  .option("--routes <count>", "further routes in each configuration", Number, 0)
  .option("--first-faults", "choose only from the faults of the first soak runs");
program.parse();
const options = program.opts<{
  seed: number;
  seeds: number;
  minutes: number;
  firstFaults?: true;
  answers?: true;
  configuration?: true;
  entries: number;
  controls: number;
  engines: number;
  share?: number;
  routes: number;
}>();
const faults = options.firstFaults === true ? FIRST_FAULTS : ALL_FAULTS;

function createSoak(seed: number): AnswerSoak | ConfigurationSoak | Soak {
  if (options.answers === true) return new AnswerSoak(seed);
  if (options.configuration === true) {
    const { entries, controls, engines, share, routes } = options;
    return new ConfigurationSoak(seed, {
      entries,
      controls,
      engines,
      controlShare: share,
      extraRoutes: routes,
    });
  }
  return new Soak(seed, { faults });
}

for (let i = 0; i < options.seeds; i++) {
  const seed = options.seed + i;
  try {
    const result = await createSoak(seed).run(options.minutes * MINUTE_MS);
    console.log(JSON.stringify(result));
    if (result.violations.length > 0) process.exitCode = 1;
  } catch (cause) {
    console.log(JSON.stringify({ seed, failed: String(cause) }));
    process.exitCode = 1;
  }
}
