/**
 * Sixteen machines become eighteen and sixteen again, as planned work, while batch jobs run. After the
 * restart of one machine, results that clients have read before are gone or at other positions there.
 */

import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  Deployment,
  pause,
  readResults,
  submit,
} from "../stand-ins-2/deployment.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== "0";
const machineCount = 16;
const addedNames = ["edge-17", "edge-18"];
/** Restarted in this order; results are read again at the first. */
const readerOfRestart = "edge-3";
const restartedOwners = ["edge-11", "edge-14"];
/** Time in which items that are open for their new owner are run again. */
const rerunMilliseconds = 6_000;
const serverCount = 4;
const jobsOfRound = 24;
const itemsPerJob = 5;
const jobIntervalMilliseconds = 200;
const resultTimeoutMilliseconds = 18_000;
/** A machine is in touch `stable_ms` after its start. */
const settleMilliseconds = 4_000;

async function runJobs(deployment, round) {
  const jobs = [];
  const submissions = [];
  for (let number = 0; number < jobsOfRound; number++) {
    const job = `${round}job${number}`;
    const items = Array.from({ length: itemsPerJob }, (_, index) => ({
      id: `${job}x${index}`,
      events: 20,
      parts: `5c1e07a2:100,${round}${number}${index}:250`,
    }));
    submissions.push(
      submit(deployment, job, items).then((isAccepted) => {
        if (isAccepted) jobs.push(job);
      }),
    );
    await pause(jobIntervalMilliseconds);
  }
  await Promise.all(submissions);
  return jobs;
}

/** Reads all results of the jobs at an instance, as often as needed until all items are listed. */
async function readAll(deployment, jobs, instance) {
  const pages = new Map();
  const until = Date.now() + resultTimeoutMilliseconds;
  for (const job of jobs) {
    for (;;) {
      const page = await readResults(instance, job);
      if (page.status === 200 && page.results.length === page.total) {
        pages.set(job, page.results);
        break;
      }
      if (Date.now() > until) {
        throw new Error(`job ${job} did not end: ${JSON.stringify(page)}`);
      }
      await pause(200);
    }
    deployment.record({
      what: "read",
      job,
      instance: instance.name,
      results: pages.get(job).map(({ id, state }) => `${id} ${state}`),
    });
  }
  return pages;
}

async function stop(deployment, instance) {
  deployment.record({ what: "SIGTERM", instance: instance.name });
  const isOver = new Promise((resolve) => instance.child.once("exit", resolve));
  instance.child.kill("SIGTERM");
  await isOver;
  deployment.record({ what: "ended", instance: instance.name });
}

async function start(deployment, name) {
  const instance = await deployment.startInstance(name);
  await deployment.waitUntilReady(instance);
  deployment.record({ what: "ready", instance: name });
  return instance;
}

async function changeFleet(deployment) {
  const added = await Promise.all(
    addedNames.map((name) => start(deployment, name)),
  );
  await pause(settleMilliseconds);
  await Promise.all(added.map((instance) => stop(deployment, instance)));
  deployment.instances = deployment.instances.filter((instance) =>
    !added.includes(instance)
  );
  await pause(settleMilliseconds);
}

async function run(deployment) {
  await deployment.startStore();
  await deployment.publish();
  for (let index = 0; index < serverCount; index++) {
    await deployment.startServer(index, { prefillMilliseconds: 30 });
  }
  const names = Array.from(
    { length: machineCount },
    (_, index) => `edge-${index + 1}`,
  );
  await Promise.all(names.map((name) => deployment.startInstance(name)));
  for (const instance of deployment.instances) {
    await deployment.waitUntilReady(instance);
  }
  await pause(settleMilliseconds);
  const [reader] = deployment.instances;
  const jobs = await runJobs(deployment, 1);
  const before = await readAll(deployment, jobs, reader);
  if (hasTrouble) await changeFleet(deployment);
  await readAll(deployment, await runJobs(deployment, 2), reader);
  // One machine after the other, as in a rolling restart; the last ones own the jobs.
  await restart(deployment, readerOfRestart);
  const [instance] = deployment.instances.filter(({ name }) =>
    name === readerOfRestart
  );
  const missing = await compare(deployment, before, instance);
  for (const name of restartedOwners) await restart(deployment, name);
  await pause(rerunMilliseconds);
  const changed = await compare(deployment, before, instance);
  const summary = `after the first restart, of ${missing.total} results that ` +
    `were read before, ${missing.absent} positions have nothing; after all, ` +
    `${changed.absent} have nothing and ${changed.other} hold another result`;
  deployment.record({ what: "result", summary });
  console.log(summary);
  return changed.other + missing.other > 0;
}

async function restart(deployment, name) {
  const instance = deployment.instances.find((known) => known.name === name);
  await stop(deployment, instance);
  await start(deployment, name);
  await pause(settleMilliseconds);
}

/** Counts the positions that were read before and have nothing, or another result, now. */
async function compare(deployment, before, instance) {
  let absent = 0;
  let other = 0;
  for (const [job, results] of before) {
    const page = await readResults(instance, job);
    const found = page.results ?? [];
    deployment.record({
      what: "read again",
      job,
      instance: instance.name,
      status: page.status,
      results: found.map(({ id, state }) => `${id} ${state}`),
    });
    for (const [position, result] of results.entries()) {
      if (!found[position]) absent += 1;
      else if (
        found[position].id !== result.id || found[position].text !== result.text
      ) other += 1;
    }
  }
  const total = [...before.values()].flat().length;
  return { total, absent, other };
}

const deployment = new Deployment(join(folder, "record.txt"));
let code = 2;
try {
  code = await run(deployment) ? 1 : 0;
} catch (error) {
  console.error(error);
} finally {
  deployment.close();
}
process.exit(code);
