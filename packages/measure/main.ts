#!/usr/bin/env node
/** Entry point of the measurements: runs scenarios, prints a table and writes an HTML report. */

import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { UsageError } from "../common/command-line.ts";
import { exitWithError, readVersion } from "../common/program.ts";
import { deployments } from "../demo/deployments.ts";
import { defaultSeed } from "./constants.ts";
import { formatHtml } from "./report/html.ts";
import { formatTable } from "./report/table.ts";
import {
  type Policy,
  runScenario,
  type ScenarioResult,
} from "./run-scenario.ts";
import { scenarios } from "./scenarios/scenarios.ts";

const name = "rosemaryrudder-measure";
const scenarioNames = scenarios.map((scenario) => scenario.name);

const flags = await yargs(hideBin(process.argv))
  .scriptName(name)
  .usage("$0 [flags]\n\nMeasures the policies on fleets of real processes.")
  .option("deployment", {
    type: "array",
    choices: Object.keys(deployments),
    default: ["walnut", "safar-saathi"],
    description: "Deployments to measure",
  })
  .option("policy", {
    type: "array",
    choices: ["naive", "current"] as const,
    default: ["naive", "current"] as Policy[],
    description: "Policies to measure",
  })
  .option("scenario", {
    type: "array",
    choices: scenarioNames,
    default: scenarioNames,
    description: "Scenarios to run",
  })
  .option("duration", {
    type: "number",
    default: 20,
    description: "Duration of each of the two runs of a scenario, in seconds",
  })
  .option("seed", { type: "number", default: defaultSeed })
  .option("json", {
    type: "boolean",
    default: false,
    description: "Print JSON lines instead of the table",
  })
  .option("report", {
    type: "string",
    default: "reports/measurements.html",
    description: "HTML file to write",
  })
  .version(readVersion())
  .strict()
  .fail((message, error) => {
    exitWithError(name, error ?? new UsageError(message));
  })
  .parseAsync();

const results: ScenarioResult[] = [];
try {
  for (const deployment of flags.deployment) {
    for (const scenarioName of flags.scenario) {
      const scenario = scenarios.find((one) => one.name === scenarioName);
      if (!scenario) continue;
      for (const policy of flags.policy as Policy[]) {
        process.stderr.write(`${deployment} ${scenarioName} ${policy}\n`);
        const result = await runScenario({
          deployment,
          policy,
          scenario,
          seed: flags.seed,
          durationMilliseconds: flags.duration * 1_000,
        });
        results.push(result);
        if (flags.json) process.stdout.write(`${JSON.stringify(result)}\n`);
        else process.stderr.write(`${JSON.stringify(result.measures)}\n`);
      }
    }
  }
} catch (error) {
  exitWithError(name, error);
}
if (!flags.json) process.stdout.write(formatTable(results));
mkdirSync("reports", { recursive: true });
writeFileSync(flags.report, formatHtml(results));
process.exit(0);
