/** Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
import { Addresses, Record } from "./system.mjs";

/** A case ends its processes by itself before the limit of 120 s. */
const LIMIT_MS = 112_000;

/** @param run - Runs the case with `{ addresses, record, hasTrouble, cleanups }`; returns the violations. */
export async function runCase(folder, run) {
  const record = new Record(folder);
  const hasTrouble = process.env.TROUBLE !== "0";
  const cleanups = [];
  let code = 2;
  const cleanUp = async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await Promise.resolve(cleanup()).catch(() => {});
    await record.end();
  };
  const giveUp = (reason) => {
    record.add("not_run", { reason });
    void cleanUp().then(() => process.exit(2));
  };
  setTimeout(() => giveUp("the limit of time was reached"), LIMIT_MS).unref();
  process.once("uncaughtException", (cause) => giveUp(String(cause.stack)));
  for (const signal of ["SIGTERM", "SIGINT"]) process.once(signal, () => giveUp(signal));
  try {
    const violations = await run({ addresses: new Addresses(), record, hasTrouble, cleanups });
    for (const violation of violations) record.add("VIOLATION", violation);
    record.add("result", { trouble: hasTrouble, violations: violations.length });
    code = violations.length > 0 ? 1 : 0;
    console.log(`${hasTrouble ? "with" : "without"} the disruption: ${violations.length} violations`);
    for (const violation of violations.slice(0, 5)) console.log(JSON.stringify(violation));
  } catch (cause) {
    record.add("not_run", { reason: String(cause?.stack ?? cause) });
    console.error(cause);
  } finally {
    await cleanUp();
  }
  process.exit(code);
}
