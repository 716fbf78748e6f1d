#!/usr/bin/env node
/** Entry point of the overhead measurement: latency and processor time an instance adds. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { UsageError } from "../../common/command-line.ts";
import { exitWithError, readVersion } from "../../common/program.ts";
import type { LatencySummary } from "../latency-histogram.ts";
import { runOverhead } from "./run-overhead.ts";

const name = "rosemaryrudder-measure-overhead";

const flags = await yargs(hideBin(process.argv))
  .scriptName(name)
  .usage("$0 [flags]\n\nMeasures what one instance adds to a request.")
  .option("requests", {
    type: "number",
    default: 3_000,
    description: "Number of requests to each of the engine and the instance",
  })
  .version(readVersion())
  .strict()
  .fail((message, error) => {
    exitWithError(name, error ?? new UsageError(message));
  })
  .parseAsync();

function formatLatency(label: string, { p50, p99 }: LatencySummary): string {
  return `${label}: p50 ${p50.toFixed(2)} ms, p99 ${p99.toFixed(2)} ms\n`;
}

try {
  const result = await runOverhead({ requests: flags.requests });
  process.stdout.write(
    formatLatency("engine alone", result.direct) +
      formatLatency("through an instance", result.throughInstance) +
      `requests/s a core: ${result.requestsPerSecondPerCore.toFixed(0)}\n`,
  );
} catch (error) {
  exitWithError(name, error);
}
process.exit(0);
