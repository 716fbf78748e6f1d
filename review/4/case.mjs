/**
 * The open channels to the store go silent for good, while new ones work. At the same time the operator
 * publishes a version that takes a route and a key away and adds a route. Callers use all three.
 */

import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  call,
  key,
  newId,
  pause,
  routes,
  runCase,
  tokenHeaders,
} from "../stand-ins/deployment.mjs";

const record = join(dirname(fileURLToPath(import.meta.url)), "record.txt");
const stableMilliseconds = 3_000;
const applyMilliseconds = 2_000;
/** Machines count as in touch this much later than the rule says, for the precision of the clock. */
const marginMilliseconds = 100;
const withdrawnKey = "withdrawn-key-of-tenant-one";
const limits = { name: "tenant-one", rate_per_s: 200, burst: 400 };

await runCase({
  record,
  entryCount: 3,
  serverCount: 4,
  eventMilliseconds: 4,
  outputOf: () => ["one", "two", "three"],
  tenants: [{ ...limits, api_keys: [key, withdrawnKey] }],
}, async (deployment, hasTrouble) => {
  const { recorder, entries, store } = deployment;
  const passedOn = new Set();
  const writeRecord = recorder.write.bind(recorder);
  recorder.write = (kind, fields) => {
    if (kind === "run") passedOn.add(fields.request);
    writeRecord(kind, fields);
  };
  const send = async (entry, name, path, apiKey) => {
    const id = newId();
    const sentAt = Date.now();
    const { status } = await call(entry, {
      method: "POST",
      path,
      id,
      body: "{}",
      apiKey,
      headers: { ...tokenHeaders(), "rosemaryrudder-deadline-ms": "5000" },
    });
    writeRecord("answered", {
      entry: entry.name,
      name,
      request: id,
      status,
      ran: passedOn.has(id),
    });
    return { entry: entry.name, name, id, status, sentAt };
  };
  const probe = (entry) =>
    Promise.all([
      send(entry, "removed route", "/once/1", key),
      send(entry, "withdrawn key", "/resumed/1", withdrawnKey),
      send(entry, "added route", "/added/1", key),
    ]);
  await Promise.all(entries.map((entry) => probe(entry)));

  const silentAt = Date.now();
  if (hasTrouble) {
    store.silenceOpenChannels();
    writeRecord("silent");
  }
  await pause(50);
  deployment.publish({
    routes: [
      ...routes.filter(({ name }) => name !== "once"),
      { ...routes[1], name: "added", path_prefix: "/added/" },
    ],
    tenants: [{ ...limits, api_keys: [key] }],
  });
  const confirmedAt = Date.now();
  writeRecord("published");
  const answers = [];
  await Promise.all(entries.map(async (entry) => {
    while (Date.now() < silentAt + 8_000) {
      answers.push(...await probe(entry));
      await pause(100);
    }
  }));

  const isOld = ({ name, id, status }) =>
    name === "added route" ? status === 404 : passedOn.has(id);
  const judged = answers.filter(({ sentAt }) =>
    sentAt > silentAt + stableMilliseconds + marginMilliseconds &&
    sentAt > confirmedAt + applyMilliseconds
  );
  const old = judged.filter(isOld);
  for (const { entry, name, id, sentAt } of old) {
    writeRecord("old", {
      entry,
      name,
      request: id,
      millisecondsAfterConfirmation: sentAt - confirmedAt,
    });
  }
  const names = [...new Set(old.map(({ name }) => name))];
  writeRecord("counted", { judged: judged.length, old: old.length, names });
  if (judged.length === 0) throw new Error("no request was judged");
  return old.length > 0
    ? [
      `CONFIG: ${old.length} requests that were sent more than ${applyMilliseconds} ms after the confirmation ` +
      `were handled as only the older version allows (${names.join(", ")})`,
    ]
    : [];
});
