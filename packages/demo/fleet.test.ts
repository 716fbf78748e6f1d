/** Tests that the launcher starts processes, controls the links between them and ends them all. */

import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { rmSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import type { SectionName } from "../common/ids.ts";
import {
  buildConfiguration,
  emptySectionValues,
  replaceSection,
} from "../control/configuration.ts";
import { readJournal, waitFor } from "../stand-ins/shared/test-support.ts";
import { deployments } from "./deployments.ts";
import { prepareDocument } from "./example-documents.ts";
import { startFleet } from "./fleet.ts";
import { planFleet } from "./fleet-plan.ts";

const isRunning = (pid: number | undefined) => {
  try {
    return pid !== undefined && process.kill(pid, 0);
  } catch {
    return false;
  }
};

test("a fleet's stand-ins are reachable over links that can be cut individually", async () => {
  const fleet = await startFleet({ deployment: "small", startedInstances: 0 });
  const pids = [...fleet.upstreams.map(({ pid }) => pid), fleet.log.pid];
  try {
    const [first, second] = fleet.plan.instances;
    const engine = fleet.upstreams[0];
    assert.ok(first && second && engine);
    const addressOf = (plan: typeof first) => {
      const dialMap = plan.settings["dialMap"] as Record<string, string>;
      return `http://${dialMap[new URL(engine.url).host]}`;
    };
    const chat = (base: string, signal?: AbortSignal) =>
      fetch(`${base}/v1/chat/completions`, {
        method: "POST",
        body: JSON.stringify({
          model: "walnut-7b",
          messages: [{ role: "user", content: "lot 1" }],
          stream: signal !== undefined,
        }),
        signal: signal ?? null,
      });
    assert.equal((await chat(addressOf(first))).status, 200);
    await fleet.faults.cut(first.id, engine.id);
    await assert.rejects(chat(addressOf(first)));
    const abort = new AbortController();
    await chat(addressOf(second), abort.signal);
    abort.abort();
    await waitFor(
      "the engine sees the disconnect through the link",
      async () =>
        (await readJournal(engine.url)).at(-1)?.outcome === "cancelled",
    );
    await fleet.faults.heal(first.id, engine.id);
    assert.equal((await chat(addressOf(first))).status, 200);
    await assert.rejects(fleet.faults.cut("nobody", "*"), {
      code: "no_such_link",
    });
    await fleet.kill(engine.id);
    await assert.rejects(chat(addressOf(first)));
    await fleet.start(engine.id);
    await waitFor("the engine is back on its port", async () => {
      try {
        return (await chat(addressOf(first))).status === 200;
      } catch {
        return false;
      }
    });
    assert.equal(await fleet.terminate("plain-1"), 0);
  } finally {
    await fleet.dispose();
  }
  assert.ok(!pids.some(isRunning));
});

test("no process outlives a killed launcher, not even a paused one", async () => {
  const script = `
    const { startFleet } = await import(process.argv[1]);
    const fleet = await startFleet({ deployment: "single", startedInstances: 0 });
    fleet.pause("engine-1");
    const pids = [...fleet.upstreams.map(({ pid }) => pid), fleet.log.pid];
    console.log(JSON.stringify({ pids, directory: fleet.directory }));`;
  const launcher = spawn(
    process.execPath,
    [
      "--input-type=module",
      "--eval",
      script,
      fileURLToPath(new URL("./fleet.js", import.meta.url)),
    ],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  const [line] = await once(createInterface(launcher.stdout), "line");
  const { pids, directory } = JSON.parse(line) as {
    pids: number[];
    directory: string;
  };
  assert.ok(pids.length >= 3 && pids.every(isRunning));
  launcher.kill("SIGKILL");
  await waitFor("all processes end", () => !pids.some(isRunning));
  rmSync(directory, { recursive: true });
});

test("prepared documents are valid, list the fleet's upstreams and contain no plain key", () => {
  let port = 10_000;
  for (const name of ["walnut", "safar-saathi"]) {
    const deployment = deployments[name];
    assert.ok(deployment);
    const plan = planFleet(deployment, () => port++);
    const { document, text, workspaces, teamKeys } = prepareDocument(plan, {
      template: deployment.document,
    });
    assert.equal(document.platform.upstreams.length, plan.upstreams.length);
    assert.equal(workspaces.length, 8);
    assert.ok(!text.includes("${"));
    assert.ok(workspaces.every(({ key }) => key !== "" && !text.includes(key)));
    assert.equal(teamKeys.size, document.platform.teams.length);
    const values = Object.entries(document).reduce((values, [name, body]) => {
      const next = replaceSection(values, name as SectionName, body);
      assert.deepEqual(next.problems, undefined);
      return next.value ?? values;
    }, emptySectionValues);
    const { problems } = buildConfiguration(values, {
      sectionVersions: new Map(),
    });
    assert.deepEqual(problems, undefined);
  }
});
