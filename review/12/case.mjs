/**
 * Servers that process one request at a time run batch jobs. Many jobs come at once, so that some
 * items cannot be in time. Late items must still be done, since servers have nothing else to do.
 */

import process from "node:process";
import { delay, hexId, runCase } from "../stand-ins-3/rig.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const servers = 6;
const engine = { slots: 1, eventMs: 25 };
const itemsPerJob = 5;
/** A run takes 2 s, so that the servers can do three items a second. */
const events = 80;
const jobIntervalMs = 5_000;
/** Six times as many jobs as usual for 3 s. */
const burstFactor = 6;
const burstMs = 3_000;
const burstAtMs = 5_000;
const trafficMs = 20_000;
/** `finish_s`, with a margin. */
const finishMs = 30_000;

await runCase(process.argv[2], async (rig) => {
  await rig.startStore();
  rig.publish({
    routes: [rig.batchRoute()],
    services: [
      rig.service({
        engine: { slots: 1, kv_capacity: 147_261, models: [{ name: "m" }] },
      }),
    ],
  });
  for (let count = 0; count < servers; count++) {
    await rig.startEngine({ options: engine });
  }
  for (let count = 0; count < 3; count++) await rig.startEntry();
  await delay(3_000);
  const shared = [`${hexId(4)}:100`];
  const submitted = [];
  const submit = async () => {
    const items = rig.createItems(itemsPerJob, {
      prompt: 250,
      output: events,
      shared,
    });
    const { job, isAccepted } = await rig.submit(items);
    if (isAccepted) submitted.push({ job, items });
  };
  const startedAt = Date.now();
  const submitEvery = async (fromMs, untilMs, intervalMs) => {
    for (let at = fromMs; at < untilMs; at += intervalMs) {
      await delay(startedAt + at - Date.now());
      void submit();
    }
  };
  const burstEndMs = burstAtMs + burstMs;
  await Promise.all([
    submitEvery(0, trafficMs, jobIntervalMs),
    hasTrouble
      ? submitEvery(burstAtMs, burstEndMs, jobIntervalMs / (burstFactor - 1))
      : undefined,
  ]);
  rig.log("no more jobs come");
  await delay(startedAt + trafficMs + finishMs - Date.now());

  const now = Date.now();
  const quietMs = now - Math.max(0, ...rig.events.map(({ at }) => at));
  const open = [];
  let all = 0;
  for (const { job, items } of submitted) {
    const { results, status, total } = await rig.results(rig.entries[0], job);
    rig.log(
      `job ${job}: status ${status}, total ${total}, listed ${results.length}`,
    );
    all += items.length;
    const listed = new Set(results.map(({ id }) => id));
    open.push(...items.filter(({ id }) => !listed.has(id)));
  }
  for (const { id } of open) {
    const sends = rig.events.filter((event) =>
      event.id === id && event.type === "arrived"
    ).length;
    rig.log(`open: item ${id}, sent ${sends} times`);
  }
  rig.log(`nothing has happened at any server for ${quietMs} ms`);
  if (open.length === 0 || quietMs < 5_000) return undefined;
  return `LOST: ${open.length} of ${all} items are left lying at idle servers`;
});
