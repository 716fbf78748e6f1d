/**
 * Tests the server, the router and the upstream client together against simulated engines with
 * faults: every response that looks complete belongs to its request, and for each request reported
 * to capacity as started an end is reported.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { CallerClient } from "../client/caller-client.ts";
import { SeededRandom } from "../common/random.ts";
import type { UpstreamName } from "../common/ids.ts";
import type { Upstream } from "../control/document.ts";
import { UpstreamRouter } from "../routing/online-router.ts";
import { UpstreamClient } from "../routing/upstream-client.ts";
import { UpstreamDirectory } from "../routing/upstream-directory.ts";
import { promptDigest } from "../stand-ins/engine/answer.ts";
import { startEngine } from "../stand-ins/engine/engine.ts";
import { putJson } from "../stand-ins/shared/test-support.ts";
import { CallerServer } from "./server/caller-server.ts";
import { Fixture, key } from "./testing/fixture.ts";

test("under engine faults a caller gets the complete response to its own request or an error", async (context) => {
  const engines = await Promise.all([1, 2, 3].map(() =>
    startEngine({
      port: 0,
      models: ["tagger"],
      concurrency: 8,
      tokenMilliseconds: 1,
      minimumPrefillMilliseconds: 1,
      stopLimitMilliseconds: 50,
    })
  ));
  const fixture = await Fixture.start(context);
  const upstreams = engines.map(({ port }, index) => ({
    name: `e${index}`,
    kind: "engine",
    address: `127.0.0.1:${port}`,
    concurrency: 8,
  } as unknown as Upstream));
  fixture.configuration = {
    ...fixture.configuration,
    upstreams: new Map(upstreams.map((entry) => [entry.name, entry])),
    engines: new Map(
      [...fixture.configuration.engines.keys()].map((model) =>
        [model, upstreams] as const
      ),
    ),
  };
  const inFlight = new Map<UpstreamName, number>();
  const adjustInFlight = (name: UpstreamName, change: number) =>
    inFlight.set(name, (inFlight.get(name) ?? 0) + change);
  const directory = new UpstreamDirectory({ control: fixture.control });
  const upstreamClient = new UpstreamClient({
    findUpstream: (name) => directory.find(name),
  });
  const server = new CallerServer({
    host: "127.0.0.1",
    port: 0,
    control: fixture.control,
    limiter: { take: () => Promise.resolve({ admitted: true }) },
    batch: fixture.batch,
    router: new UpstreamRouter({
      caller: upstreamClient,
      upstreams: directory,
      random: new SeededRandom(4),
      capacity: {
        trackOnlineRequest: (name) => {
          adjustInFlight(name, 1);
          return () => adjustInFlight(name, -1);
        },
        loadOf: (name) => (inFlight.get(name) ?? 0) / 8,
      },
    }),
  });
  const baseUrl = `http://127.0.0.1:${await server.listen()}`;
  context.after(async () => {
    await server.close();
    await upstreamClient.close();
    await Promise.all(engines.map((engine) => engine.close()));
  });
  const client = new CallerClient({ baseUrl, key });
  const random = new SeededRandom(9);
  const faults = ["truncateAnswers", "swapAnswers", "endWithoutDone"];
  let completeCount = 0;
  let failedCount = 0;
  const requestOnce = async (index: number) => {
    const messages = [{ role: "user", content: `lot ${index}` }];
    const body = { model: "tagger", messages, max_tokens: 6 };
    const expected = `digest:${promptDigest(messages)}`;
    if (index % 2 === 0) {
      const answer = await client.chatStream(body);
      if (answer.isComplete) assert.ok(answer.text.startsWith(expected));
      else assert.ok(answer.error, "a truncated stream without an error");
      return answer.isComplete;
    }
    const { status, body: answer } = await client.json<
      { choices: { message: { content: string } }[]; error: unknown }
    >("POST", "/v1/chat/completions", body);
    if (status !== 200) assert.ok(answer.error);
    else assert.ok(answer.choices[0]?.message.content.startsWith(expected));
    return status === 200;
  };
  for (let round = 0; round < 20; round++) {
    const engine = random.pick(engines)!;
    await putJson(`http://127.0.0.1:${engine.port}/faults`, {
      [random.pick(faults)!]: 1,
    });
    const results = await Promise.all(
      Array.from({ length: 20 }, (_, index) => requestOnce(round * 20 + index)),
    );
    completeCount += results.filter(Boolean).length;
    failedCount += results.filter((isComplete) => !isComplete).length;
  }
  assert.ok(
    completeCount >= 380,
    `${completeCount} complete, ${failedCount} failed`,
  );
  assert.deepEqual([...new Set(inFlight.values())], [0]);
});
