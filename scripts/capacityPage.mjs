// Writes the tables of docs/CAPACITY.md from bench/capacity.json.
// With --check it only says whether the page is what the figures give.
import { readFileSync, writeFileSync } from "node:fs";

const PAGE = "docs/CAPACITY.md";
const figures = JSON.parse(readFileSync("bench/capacity.json", "utf8"));
const at = (name) => figures[name].value;

/** The target of letter 1. */
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
/** Choices of the design at the target, argued for in docs/DESIGN.md. */
const DESIGN = {
  votersPerCell: 3,
  renewSeconds: 2,
  probeSeconds: 2,
  probersPerInstance: 2,
  claimShare: 0.01,
  claimRetentionSeconds: 86_400,
};
/** Probes a second that the bench's configuration makes of each engine. */
const BENCH_PROBES_PER_SECOND = 10;

const entriesPerRegion = TARGET.entries / TARGET.regions;
const instancesPerRegion = TARGET.instances / TARGET.regions;
const probeUs = { control: (at("control_cpu_engine") * 1e6) / BENCH_PROBES_PER_SECOND, entry: (at("entry_cpu_engine") * 1e6) / BENCH_PROBES_PER_SECOND };
const watchedPerEntry = (instancesPerRegion * DESIGN.probersPerInstance) / entriesPerRegion;
const probesPerEntry = watchedPerEntry / DESIGN.probeSeconds;
const renewalsPerCell = entriesPerRegion / DESIGN.renewSeconds;
const renewalUs = at("renewal_cpu") + at("renewal_cpu_engine") * instancesPerRegion;
const claimsPerCell = (TARGET.requests / TARGET.regions) * DESIGN.claimShare;
const changesPerSecond = TARGET.changesPerDay / 86_400;

function format(value, digits = 3) {
  if (value === 0) return "0";
  return Number(value.toPrecision(digits)).toLocaleString("en", { maximumFractionDigits: 6 });
}

function verdict(value, budget) {
  return value <= budget ? "within" : `**misses** (${format(value / budget, 2)} times)`;
}

function table(head, rows) {
  return [head, head.map(() => "---"), ...rows].map((row) => `| ${row.join(" | ")} |`).join("\n");
}

const slopes = table(
  ["figure", "value", "unit"],
  Object.entries(figures).map(([name, { value, unit }]) => [`\`${name}\``, format(value, 4), unit]),
);

const entryCpu = (probesPerEntry * probeUs.entry + (renewalUs / DESIGN.renewSeconds) * 0.5) / 1e6;
const entryBytes = probesPerEntry * at("probe_bytes") + at("renewal_bytes") / DESIGN.renewSeconds + changesPerSecond * at("configuration_patch");
const entryMb = at("entry_resident") + at("entry_resident_engine") * watchedPerEntry;
const entryTable = table(
  ["an entry, for control", "at the target", "budget", "", "carried by"],
  [
    ["processor, cores", format(entryCpu), TARGET.cpuCore, verdict(entryCpu, TARGET.cpuCore), `${format(probesPerEntry)} probes/s of a subset of ${format(watchedPerEntry)} instances, a renewal every ${DESIGN.renewSeconds} s`],
    ["messages, bytes/s", format(entryBytes), TARGET.bytesPerSecond, verdict(entryBytes, TARGET.bytesPerSecond), "probes, above all; a configuration change travels as its difference"],
    ["memory, MB", format(entryMb), TARGET.memoryMb, verdict(entryMb, TARGET.memoryMb), "Node at rest with these libraries; the slope in instances"],
  ],
);

const requestCores = ((TARGET.requests / TARGET.entries) * at("request_cpu") + (TARGET.tokens / TARGET.entries) * at("token_cpu")) / 1e6;
const dataTable = table(
  ["an entry, for requests", "at the target", "limit", "", "carried by"],
  [["processor, cores", format(requestCores), 1, verdict(requestCores, 1), `${format(TARGET.requests / TARGET.entries)} requests/s and ${format(TARGET.tokens / TARGET.entries)} tokens/s a node`]],
);

const leaderCpu = at("control_idle_cpu") + (renewalsPerCell * renewalUs + claimsPerCell * at("claim_cpu") + (instancesPerRegion / DESIGN.probeSeconds) * probeUs.control + changesPerSecond * at("change_cpu")) / 1e6;
const claims = claimsPerCell * DESIGN.claimRetentionSeconds;
const leaderMb = at("control_resident") + at("control_resident_engine") * instancesPerRegion + (claims * at("claim_memory")) / 1e6;
const cellTable = table(
  ["the leader of a region's cell", "at the target", "limit", "", "carried by"],
  [
    ["processor, cores", format(leaderCpu), 1, verdict(leaderCpu, 1), `${format(renewalsPerCell)} renewals/s, ${format(claimsPerCell)} claims/s, ${format(instancesPerRegion / DESIGN.probeSeconds)} probes/s`],
    ["of that, probes", format(((instancesPerRegion / DESIGN.probeSeconds) * probeUs.control) / 1e6), 1, "", "to be spread over entries, which report transitions only"],
    ["memory, MB", format(leaderMb), 8_000, verdict(leaderMb, 8_000), `${format(claims)} retained claims of ${format(at("claim_memory"))} bytes`],
    ["log, bytes/s", format(claimsPerCell * at("claim_disk")), 1e7, "", "one sync for all that wait"],
    ["a plan, ms", format((at("plan_repair_12000") * instancesPerRegion) / 12_000), 200, "", "one pure run a step over the cell's instances"],
    ["control instances", TARGET.regions * DESIGN.votersPerCell + 1, TARGET.controlInstances, verdict(TARGET.regions * DESIGN.votersPerCell + 1, TARGET.controlInstances), `${DESIGN.votersPerCell} voters a region; the configuration's root is one voter of each cell, with one spare`],
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
    console.error(`${PAGE} is not what bench/capacity.json gives; run node scripts/capacityPage.mjs`);
    process.exit(1);
  }
} else writeFileSync(PAGE, page);
