/** Formats results as a text table. */

import type { ScenarioResult } from "../run-scenario.ts";

export interface Column {
  readonly title: string;
  readonly goal: string;
  readonly value: (result: ScenarioResult) => string;
}

const formatPercent = (share: number) => `${(100 * share).toFixed(1)} %`;

export const columns: readonly Column[] = [
  { title: "deployment", goal: "", value: ({ deployment }) => deployment },
  { title: "scenario", goal: "", value: ({ scenario }) => scenario },
  { title: "policy", goal: "goal", value: ({ policy }) => policy },
  {
    title: "items/s",
    goal: "",
    value: ({ measures }) => measures.itemsPerSecond.toFixed(1),
  },
  {
    title: "batch share",
    goal: "95 %",
    value: ({ measures }) => formatPercent(measures.batchShare),
  },
  {
    title: "p99 alone ms",
    goal: "",
    value: ({ measures }) => measures.firstTokenAlone.toFixed(1),
  },
  {
    title: "p99 batch ms",
    goal: "",
    value: ({ measures }) => measures.firstTokenWithBatch.toFixed(1),
  },
  {
    title: "ratio",
    goal: "1.05",
    value: ({ measures }) => measures.firstTokenRatio.toFixed(2),
  },
  {
    title: "worst workspace",
    goal: "0.95",
    value: ({ measures }) => measures.worstBatchShare.toFixed(2),
  },
  {
    title: "refused within rate",
    goal: "0 to 0.1 %",
    value: ({ measures }) => formatPercent(measures.refusedWithinRate),
  },
  {
    title: "interrupted",
    goal: "0",
    value: ({ measures }) => String(measures.interrupted),
  },
  {
    title: "urgent job s",
    goal: "30",
    value: ({ measures }) => measures.urgentSeconds?.toFixed(1) ?? "late",
  },
];

export function formatTable(results: readonly ScenarioResult[]): string {
  const rows = [
    columns.map(({ title }) => title),
    columns.map(({ goal }) => goal),
    ...results.map((result) => columns.map(({ value }) => value(result))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...rows.map((row) => row[index]?.length ?? 0))
  );
  return rows.map((row) =>
    row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join("  ")
      .trimEnd()
  ).join("\n") + "\n";
}
