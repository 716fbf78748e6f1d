#!/usr/bin/env node
/** Entry point of the slope measurement: cost of an instance per unit of each fleet size. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { UsageError } from "../../common/command-line.ts";
import { exitWithError, readVersion } from "../../common/program.ts";
import { costFields, runSeries, type SlopeResult } from "./run-series.ts";
import { slopeSeries } from "./series.ts";

const name = "rosemaryrudder-measure-slopes";
const seriesNames = slopeSeries.map((series) => series.name);

const flags = await yargs(hideBin(process.argv))
  .scriptName(name)
  .usage(
    "$0 [flags]\n\nMeasures what an instance costs at several fleet sizes.",
  )
  .option("series", {
    type: "array",
    choices: seriesNames,
    default: seriesNames,
    description: "Series to run",
  })
  .option("window", {
    type: "number",
    default: 15,
    description: "Duration of each sample, in seconds",
  })
  .version(readVersion())
  .strict()
  .fail((message, error) => {
    exitWithError(name, error ?? new UsageError(message));
  })
  .parseAsync();

function formatResult({ series, unit, samples, perUnit, base }: SlopeResult) {
  const rows = samples.map(({ value, mean, highest, deviation }) =>
    `${series} ${value}: ` +
    costFields.map((field) =>
      `${field} ${mean[field].toFixed(2)} (highest ${
        highest[field].toFixed(2)
      }, deviation ${deviation[field].toFixed(2)})`
    ).join(", ")
  );
  const fit = `${series} fit for each ${unit}: ` +
    costFields.map((field) =>
      `${field} ${base[field].toFixed(2)} + ${perUnit[field].toPrecision(3)} n`
    ).join(", ");
  return [...rows, fit].join("\n") + "\n";
}

try {
  for (const series of slopeSeries) {
    if (!flags.series.includes(series.name)) continue;
    const result = await runSeries(series, flags.window * 1_000);
    process.stdout.write(formatResult(result));
    process.stdout.write(`${JSON.stringify(result)}\n`);
  }
} catch (error) {
  exitWithError(name, error);
}
process.exit(0);
