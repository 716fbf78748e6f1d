#!/usr/bin/env node
/** Entry point of the demo; `--keep` leaves the fleet running for manual use. */

import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { createClientDispatcher } from "../client/caller-client.ts";
import { UsageError } from "../common/command-line.ts";
import { exitWithError, readVersion } from "../common/program.ts";
import { formatReport } from "./demo-report.ts";
import { runDemo } from "./demo-run.ts";
import { deployments } from "./deployments.ts";
import { describeFleet } from "./kept-fleet.ts";
import { type PublishedFleet, startPublishedFleet } from "./published-fleet.ts";
import { parentPollMilliseconds } from "./constants.ts";

const name = "rosemaryrudder-demo";

const flags = await yargs(hideBin(process.argv))
  .scriptName(name)
  .usage(
    "$0 [flags]\n\nStarts a fleet of stand-ins and instances and runs a batch on it.",
  )
  .option("deployment", {
    type: "string",
    choices: Object.keys(deployments),
    default: "walnut",
    description: "Deployment to start",
  })
  .option("keep", {
    type: "boolean",
    default: false,
    description:
      "Publish the document, print the fleet as JSON and keep it running",
  })
  .version(readVersion())
  .strict()
  .demandCommand(0, 0)
  .fail((message, error) => {
    exitWithError(name, error ?? new UsageError(message));
  })
  .parseAsync();

const show = (line: string) => process.stderr.write(`${line}\n`);

/** Resolves on a termination signal, or when npm, which started the demo, has exited. */
const stopRequested = new Promise<void>((resolve) => {
  process.on("SIGINT", () => resolve());
  process.on("SIGTERM", () => resolve());
  process.on("SIGHUP", () => resolve());
  if (process.env["npm_lifecycle_event"] === undefined) return;
  const parent = process.ppid;
  setInterval(() => {
    if (process.ppid !== parent) resolve();
  }, parentPollMilliseconds).unref();
});

function start(): Promise<PublishedFleet> {
  show(`starting the deployment ${flags.deployment}`);
  return startPublishedFleet({ deployment: flags.deployment });
}

async function printAndKeepRunning(
  { fleet, prepared }: PublishedFleet,
): Promise<number> {
  process.stdout.write(
    JSON.stringify(describeFleet(fleet, prepared)) + "\n",
  );
  await stopRequested;
  return 0;
}

async function runAndReport(
  { fleet, prepared }: PublishedFleet,
): Promise<number> {
  const dispatcher = createClientDispatcher();
  const result = await Promise.race([
    runDemo({ fleet, prepared, dispatcher, show }),
    stopRequested,
  ]);
  if (!result) return 1;
  process.stdout.write(formatReport(result));
  return result.isSuccess ? 0 : 1;
}

try {
  const starting = start();
  // If this process exits before the fleet is ready, its children notice and exit by themselves.
  const published = await Promise.race([starting, stopRequested]);
  if (!published) process.exit(1);
  const status = await (flags.keep
    ? printAndKeepRunning(published)
    : runAndReport(published));
  show("stopping the fleet");
  await published.fleet.dispose();
  process.exit(status);
} catch (error) {
  exitWithError(name, error);
}
