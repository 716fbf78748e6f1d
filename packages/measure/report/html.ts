/** Formats results as an HTML page with one bar per deployment, scenario and policy. */

import type { ScenarioResult } from "../run-scenario.ts";
import { columns } from "./table.ts";

interface Chart {
  readonly title: string;
  readonly goal: number;
  readonly maximum: number;
  readonly value: (result: ScenarioResult) => number;
}

const charts: readonly Chart[] = [
  {
    title: "batch items as a share of the free capacity (goal 0.95)",
    goal: 0.95,
    maximum: 1.2,
    value: ({ measures }) => measures.batchShare,
  },
  {
    title: "p99 first token with batch over without (goal at most 1.05)",
    goal: 1.05,
    maximum: 8,
    value: ({ measures }) => measures.firstTokenRatio,
  },
  {
    title: "worst-served workspace over its entitlement (goal 0.95)",
    goal: 0.95,
    maximum: 1.2,
    value: ({ measures }) => measures.worstBatchShare,
  },
  {
    title: "share of requests refused within the rate (goal at most 0.001)",
    goal: 0.001,
    maximum: 0.2,
    value: ({ measures }) => measures.refusedWithinRate,
  },
];

const barHeight = 16;
const labelWidth = 260;
const chartWidth = 480;

export function formatHtml(results: readonly ScenarioResult[]): string {
  const head = columns.map(({ title }) => `<th>${escape(title)}</th>`).join("");
  const body = results.map((result) =>
    `<tr>${
      columns.map(({ value }) => `<td>${escape(value(result))}</td>`).join("")
    }</tr>`
  ).join("\n");
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>rosemaryrudder measurements</title>
<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}</style></head>
<body><h1>Measurements</h1><table><tr>${head}</tr>
${body}</table>
${charts.map((chart) => formatChart(chart, results)).join("\n")}
</body></html>
`;
}

function formatChart(chart: Chart, results: readonly ScenarioResult[]): string {
  const scale = chartWidth / chart.maximum;
  const height = results.length * barHeight + 4;
  const goalX = labelWidth + chart.goal * scale;
  const bars = results.map((result, index) => {
    const y = index * barHeight;
    const value = chart.value(result);
    const width = Math.max(0, Math.min(chart.maximum, value)) * scale;
    const color = result.policy === "current" ? "#2a7" : "#bbb";
    const label = `${result.deployment} ${result.scenario} ${result.policy}`;
    return `<text x="0" y="${y + 12}" font-size="11">${escape(label)}</text>` +
      `<rect x="${labelWidth}" y="${y + 2}" width="${
        width.toFixed(1)
      }" height="${barHeight - 4}" fill="${color}"/><text x="${
        (labelWidth + width + 4).toFixed(1)
      }" y="${y + 12}" font-size="11">${value.toFixed(3)}</text>`;
  });
  return `<h2>${escape(chart.title)}</h2><svg width="${
    labelWidth + chartWidth + 80
  }" height="${height}">${
    bars.join("")
  }<line x1="${goalX}" x2="${goalX}" y1="0" y2="${height}" stroke="#c33"/></svg>`;
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
