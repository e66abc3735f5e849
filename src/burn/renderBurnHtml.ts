/** Renders the burn report as a self-contained HTML page with plots. */
import type { BurnMinute, BurnReport, BurnRow } from "./BurnReport";
import { MS_PER_MINUTE } from "./minutes";

const PLOT = { width: 720, height: 160, margin: 32 } as const;
const PERCENT = 100;

const STYLE = `body{font:14px system-ui,sans-serif;margin:2rem;color:#222}table{border-collapse:collapse;margin:1rem 0}
th,td{padding:.3rem .7rem;border-bottom:1px solid #ddd;text-align:right}th:first-child,td:first-child,th:nth-child(2),
td:nth-child(2){text-align:left}.fast{background:#fdd}.slow{background:#ffe9c7}svg{background:#fafafa}`;

/** Renders the report as HTML. */
export function renderBurnHtml(report: BurnReport): string {
  const at = new Date(report.atMs).toISOString();
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>${STYLE}</style></head>
<body><h1>Service-level burn</h1><p>${at}</p>
<h2>Bad requests a minute, percent</h2>${renderPlot(report.minutes)}
<h2>By organisation and class</h2>${renderRows(report.rows)}
<h2>Group downtime and stranded accelerators, seconds</h2>${renderLosses(report)}
</body></html>
`;
}

function renderPlot(minutes: readonly BurnMinute[]): string {
  if (minutes.length === 0) return "<p>No requests were counted.</p>";
  const { width, height, margin } = PLOT;
  const first = minutes[0]!.minute;
  const span = Math.max(1, minutes.at(-1)!.minute - first);
  const getX = (minute: number) => margin + ((minute - first) / span) * (width - 2 * margin);
  const getY = (share: number) => height - margin - share * (height - 2 * margin);
  const points = minutes.map(
    ({ minute, total, bad }) => `${getX(minute).toFixed(1)},${getY(bad / total).toFixed(1)}`,
  );
  const dots = points.map((point) => {
    const [x, y] = point.split(",");
    return `<circle cx="${x}" cy="${y}" r="2.5" fill="#b00"/>`;
  });
  const lines = [0, 0.5, 1].map(
    (share) =>
      `<line x1="${margin}" x2="${width - margin}" y1="${getY(share)}" y2="${getY(share)}" stroke="#ddd"/>` +
      `<text x="2" y="${getY(share) + 4}" font-size="11">${share * PERCENT}</text>`,
  );
  const ends = [first, first + span].map(
    (minute, i) =>
      `<text x="${getX(minute)}" y="${height - 8}" font-size="11" text-anchor="${i === 0 ? "start" : "end"}">` +
      `${formatMinute(minute)}</text>`,
  );
  return (
    `<svg width="${width}" height="${height}" role="img">${lines.join("")}${ends.join("")}` +
    `<polyline points="${points.join(" ")}" fill="none" stroke="#b00" stroke-width="1.5"/>${dots.join("")}</svg>`
  );
}

function formatMinute(minute: number): string {
  return new Date(minute * MS_PER_MINUTE).toISOString().slice(11, 16);
}

function renderRows(rows: readonly BurnRow[]): string {
  const spans = rows[0]?.spans ?? [];
  const head = ["Organisation", "Class", "Objective", ...spans.map((span) => `Burn ${span.minutes} min`)];
  const body = rows.map((row) => {
    const cells = [
      row.organisation,
      row.requestClass,
      String(row.objective),
      ...row.spans.map((span) => `${span.burnRate.toFixed(2)} (${span.total})`),
      row.firstTokenP50Ms.toFixed(0),
      row.firstTokenP95Ms.toFixed(0),
      row.alert ?? "",
    ];
    return renderRow("td", cells, row.alert);
  });
  return `<table>${renderRow("th", [...head, "First token p50, ms", "p95", "Alert"])}${body.join("")}</table>`;
}

function renderLosses({ losses }: BurnReport): string {
  const head = renderRow("th", [
    "Model",
    "Failure domain",
    "Cause",
    "Group downtime",
    "Stranded accelerators",
  ]);
  const body = losses.map((loss) =>
    renderRow("td", [
      loss.model,
      loss.failureDomain,
      loss.cause,
      loss.groupDowntimeS.toFixed(1),
      loss.strandedAcceleratorS.toFixed(1),
    ]),
  );
  return `<table>${head}${body.join("")}</table>`;
}

function renderRow(tag: "td" | "th", cells: readonly string[], className = ""): string {
  const inner = cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join("");
  return `<tr class="${className}">${inner}</tr>`;
}

function escapeHtml(text: string): string {
  return text.replace(/[&<>"]/g, (character) => `&#${character.charCodeAt(0)};`);
}
