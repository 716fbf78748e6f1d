/** Formats the result table that the demo prints. */

import type { DemoResult } from "./demo-run.ts";

export function formatReport(result: DemoResult): string {
  const { audit, baseline, withBatch, batchMilliseconds } = result;
  const failures = [...withBatch.failures, ...baseline.failures]
    .map(([code, count]) => `${code} ${count}`).join(", ");
  const formatOnlineLoad = (load: DemoResult["baseline"]) =>
    `p50 ${load.firstToken.p50.toFixed(1)} ms, p99 ${
      load.firstToken.p99.toFixed(1)
    } ms (${load.completed} answers)`;
  const rows: [string, string][] = [
    ["batch items", String(audit.items)],
    ["items done", String(audit.completed)],
    ["items failed", String(audit.failed)],
    ["items executed twice", String(audit.executedRepeatedly)],
    ["items lost", String(audit.lost)],
    ["results doubled", String(audit.duplicated)],
    ["results of another item", String(audit.mismatched)],
    ["batch duration", `${(batchMilliseconds / 1_000).toFixed(1)} s`],
    ["first token without batch", formatOnlineLoad(baseline)],
    ["first token with batch", formatOnlineLoad(withBatch)],
    ["online requests failed", failures === "" ? "0" : failures],
  ];
  const width = Math.max(...rows.map(([name]) => name.length));
  return rows.map(([name, value]) => `${name.padEnd(width)}  ${value}\n`)
    .join("");
}
