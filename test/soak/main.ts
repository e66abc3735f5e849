/**
 * `npm run soak -- --seed N --minutes M`: prints one line of JSON for each seed and exits with 1 if a
 * guarantee was broken.
 */
import { Command } from "commander";
import { AnswerSoak } from "./AnswerSoak";
import { ALL_FAULTS, FIRST_FAULTS, Soak } from "./Soak";

const MINUTE_MS = 60_000;

const program = new Command("soak")
  .description("runs the system's processes under faults and checks its guarantees")
  .option("--seed <number>", "first seed", Number, Math.floor(Math.random() * 1e9))
  .option("--seeds <count>", "number of consecutive seeds to run", Number, 1)
  .option("--minutes <minutes>", "duration of each seed, in minutes", Number, 1)
  .option("--answers", "run the soak of answers that take seconds, with faults that must not cut an answer")
  .option("--first-faults", "choose only from the faults of the first soak runs");
program.parse();
const options = program.opts<{
  seed: number;
  seeds: number;
  minutes: number;
  firstFaults?: true;
  answers?: true;
}>();
const faults = options.firstFaults === true ? FIRST_FAULTS : ALL_FAULTS;

for (let i = 0; i < options.seeds; i++) {
  const seed = options.seed + i;
  try {
    const soak = options.answers === true ? new AnswerSoak(seed) : new Soak(seed, { faults });
    const result = await soak.run(options.minutes * MINUTE_MS);
    console.log(JSON.stringify(result));
    if (result.violations.length > 0) process.exitCode = 1;
  } catch (cause) {
    console.log(JSON.stringify({ seed, failed: String(cause) }));
    process.exitCode = 1;
  }
}
