// Writes the tables of docs/CAPACITY.md from the figures in bench/capacity.json. With --check it changes
// nothing, and fails if the page is out of date.
import { readFileSync, writeFileSync } from "node:fs";

const PAGE = "docs/CAPACITY.md";
const figures = JSON.parse(readFileSync("bench/capacity.json", "utf8"));
const getValue = (name) => figures[name].value;

/** Target load of the system, and the budgets of an entry for control. */
const TARGET = {
  entries: 460,
  instances: 12_000,
  requests: 18_000,
  tokens: 5_700_000,
  regions: 6,
  changesPerDay: 15_000,
  controlInstances: 19,
  cpuCore: 0.021,
  memoryMb: 64,
  bytesPerSecond: 4_096,
};
/** Design choices at the target load; docs/DESIGN.md gives their reasons. */
const DESIGN = {
  votersPerCell: 3,
  renewSeconds: 2,
  probeSeconds: 2,
  probersPerInstance: 2,
  claimShare: 0.01,
  claimRetentionSeconds: 86_400,
};
/** Rate at which the bench probes each engine, per second. */
const BENCH_PROBES_PER_SECOND = 10;

const entriesPerRegion = TARGET.entries / TARGET.regions;
const instancesPerRegion = TARGET.instances / TARGET.regions;
const probeUs = { control: (getValue("control_cpu_engine") * 1e6) / BENCH_PROBES_PER_SECOND, entry: (getValue("entry_cpu_engine") * 1e6) / BENCH_PROBES_PER_SECOND };
const watchedPerEntry = (instancesPerRegion * DESIGN.probersPerInstance) / entriesPerRegion;
const probesPerEntry = watchedPerEntry / DESIGN.probeSeconds;
const renewalsPerCell = entriesPerRegion / DESIGN.renewSeconds;
const renewalUs = getValue("renewal_cpu") + getValue("renewal_cpu_engine") * instancesPerRegion;
const claimsPerCell = (TARGET.requests / TARGET.regions) * DESIGN.claimShare;
const changesPerSecond = TARGET.changesPerDay / 86_400;

function formatNumber(value, digits = 3) {
  if (value === 0) return "0";
  return Number(value.toPrecision(digits)).toLocaleString("en", { maximumFractionDigits: 6 });
}

function compareToLimit(value, budget) {
  return value <= budget ? "within" : `**misses** (${formatNumber(value / budget, 2)} times)`;
}

function createTable(head, rows) {
  return [head, head.map(() => "---"), ...rows].map((row) => `| ${row.join(" | ")} |`).join("\n");
}

const slopes = createTable(
  ["figure", "value", "unit"],
  Object.entries(figures).map(([name, { value, unit }]) => [`\`${name}\``, formatNumber(value, 4), unit]),
);

const entryCpu = (probesPerEntry * probeUs.entry + (renewalUs / DESIGN.renewSeconds) * 0.5) / 1e6;
const entryBytes = probesPerEntry * getValue("probe_bytes") + getValue("renewal_bytes") / DESIGN.renewSeconds + changesPerSecond * getValue("configuration_patch");
const entryMb = getValue("entry_resident") + getValue("entry_resident_engine") * watchedPerEntry;
const entryTable = createTable(
  ["an entry, for control", "at the target", "budget", "", "carried by"],
  [
    ["processor, cores", formatNumber(entryCpu), TARGET.cpuCore, compareToLimit(entryCpu, TARGET.cpuCore), `${formatNumber(probesPerEntry)} probes/s of a subset of ${formatNumber(watchedPerEntry)} instances, a renewal every ${DESIGN.renewSeconds} s`],
    ["messages, bytes/s", formatNumber(entryBytes), TARGET.bytesPerSecond, compareToLimit(entryBytes, TARGET.bytesPerSecond), "probes, above all; a configuration change travels as its difference"],
    ["memory, MB", formatNumber(entryMb), TARGET.memoryMb, compareToLimit(entryMb, TARGET.memoryMb), "Node at rest with these libraries; the slope in instances"],
  ],
);

const requestCores = ((TARGET.requests / TARGET.entries) * getValue("request_cpu") + (TARGET.tokens / TARGET.entries) * getValue("token_cpu")) / 1e6;
const dataTable = createTable(
  ["an entry, for requests", "at the target", "limit", "", "carried by"],
  [["processor, cores", formatNumber(requestCores), 1, compareToLimit(requestCores, 1), `${formatNumber(TARGET.requests / TARGET.entries)} requests/s and ${formatNumber(TARGET.tokens / TARGET.entries)} tokens/s a node`]],
);

const leaderCpu = getValue("control_idle_cpu") + (renewalsPerCell * renewalUs + claimsPerCell * getValue("claim_cpu") + (instancesPerRegion / DESIGN.probeSeconds) * probeUs.control + changesPerSecond * getValue("change_cpu")) / 1e6;
const claims = claimsPerCell * DESIGN.claimRetentionSeconds;
const leaderMb = getValue("control_resident") + getValue("control_resident_engine") * instancesPerRegion + (claims * getValue("claim_memory")) / 1e6;
const cellTable = createTable(
  ["the leader of a region's cell", "at the target", "limit", "", "carried by"],
  [
    ["processor, cores", formatNumber(leaderCpu), 1, compareToLimit(leaderCpu, 1), `${formatNumber(renewalsPerCell)} renewals/s, ${formatNumber(claimsPerCell)} claims/s, ${formatNumber(instancesPerRegion / DESIGN.probeSeconds)} probes/s`],
    ["of that, probes", formatNumber(((instancesPerRegion / DESIGN.probeSeconds) * probeUs.control) / 1e6), 1, "", "to be spread over entries, which report transitions only"],
    ["memory, MB", formatNumber(leaderMb), 8_000, compareToLimit(leaderMb, 8_000), `${formatNumber(claims)} retained claims of ${formatNumber(getValue("claim_memory"))} bytes`],
    ["log, bytes/s", formatNumber(claimsPerCell * getValue("claim_disk")), 1e7, "", "one sync for all that wait"],
    ["a plan, ms", formatNumber((getValue("plan_repair_12000") * instancesPerRegion) / 12_000), 200, "", "one pure run a step over the cell's instances"],
    ["control instances", TARGET.regions * DESIGN.votersPerCell + 1, TARGET.controlInstances, compareToLimit(TARGET.regions * DESIGN.votersPerCell + 1, TARGET.controlInstances), `${DESIGN.votersPerCell} voters a region; the configuration's root is one voter of each cell, with one spare`],
  ],
);

const sections = { slopes, entry: entryTable, data: dataTable, cell: cellTable };
const before = readFileSync(PAGE, "utf8");
let page = before;
for (const [name, text] of Object.entries(sections)) {
  page = page.replace(new RegExp(`(<!-- ${name}:begin -->\n)[\\s\\S]*?(<!-- ${name}:end -->)`), `$1${text}\n$2`);
}
if (process.argv.includes("--check")) {
  if (page !== before) {
    console.error(`${PAGE} does not match bench/capacity.json; run node scripts/capacityPage.mjs`);
    process.exit(1);
  }
} else writeFileSync(PAGE, page);
