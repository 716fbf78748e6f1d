/** Draining interrupts no request, and the operators' port reports the state of the instance. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { Agent, get } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { brandAs, type WorkspaceId } from "../common/ids.ts";
import { ServingMetrics } from "./metrics/serving-metrics.ts";
import { OperatorServer } from "./operators/operator-server.ts";
import { Fixture, helloRequest, key, streamBody } from "./testing/fixture.ts";

const formatChatHeaders = (length: number) =>
  `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\ncontent-length: ${length}\r\n\r\n`;

test("responses to requests before and during draining are complete, then the server is idle", async (context) => {
  const fixture = await Fixture.start(context);
  const resumeBodies: (() => void)[] = [];
  fixture.respond = () => ({
    upstream: "e1" as never,
    status: 200,
    headers: { "content-type": "text/event-stream" },
    body: (async function* () {
      yield Buffer.from("data: 1\n\n");
      await new Promise<void>((resolve) => resumeBodies.push(resolve));
      yield* streamBody("data: [DONE]\n\n");
    })(),
  });
  const running = await fixture.chat({ ...helloRequest, stream: true });
  const lateSocket = connect(Number(new URL(fixture.url).port), "127.0.0.1");
  await once(lateSocket, "connect");
  const idleSocket = connect(Number(new URL(fixture.url).port), "127.0.0.1");
  await once(idleSocket, "connect");
  idleSocket.resume();

  const stopped = fixture.server.stopAccepting({ delayMilliseconds: 100 });
  assert.equal(fixture.server.isAccepting, false);
  const body = JSON.stringify(helloRequest);
  let lateResponse = "";
  lateSocket.on("data", (data) => lateResponse += data);
  lateSocket.write(formatChatHeaders(body.length) + body);
  await new Promise((resolve) => setTimeout(resolve, 50));
  resumeBodies.at(-1)?.();
  await once(lateSocket, "end");
  assert.match(lateResponse, /connection: close/i);
  assert.match(lateResponse, /\[DONE\]/);
  await stopped;
  await assert.rejects(fixture.chat(helloRequest), "the listener is closed");
  let isIdle = false;
  const whenIdle = fixture.server.whenIdle().then(() => isIdle = true);
  await new Promise((resolve) => setTimeout(resolve, 20));
  assert.equal(isIdle, false);
  resumeBodies[0]?.();
  assert.match(await running.text(), /^data: 1\n\ndata: \[DONE\]\n\n$/);
  await Promise.all([whenIdle, once(idleSocket, "close")]);
});

test("a request whose headers arrive slowly while draining gets a response", async (context) => {
  const fixture = await Fixture.start(context);
  const socket = connect(Number(new URL(fixture.url).port), "127.0.0.1");
  await once(socket, "connect");
  const head =
    `GET /v1/models HTTP/1.1\r\nauthorization: Bearer ${key}\r\n\r\n`;
  socket.write(head.slice(0, 40));
  await fixture.server.stopAccepting();
  await new Promise((resolve) => setTimeout(resolve, 1_200));
  let text = "";
  socket.on("data", (data) => text += data);
  socket.write(head.slice(40));
  await once(socket, "close");
  assert.match(text, /200 OK/);
  await fixture.server.whenIdle();
});

test("a keep-alive connection that just became idle is not closed at once", async (context) => {
  const fixture = await Fixture.start(context);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  context.after(() => agent.destroy());
  const sendRequest = () =>
    new Promise<string | undefined>((resolve, reject) => {
      get(`${fixture.url}/v1/models`, {
        agent,
        headers: { authorization: `Bearer ${key}` },
      }, (response) => {
        response.resume().on("end", () => resolve(response.headers.connection));
      }).on("error", reject);
    });
  assert.equal(await sendRequest(), "keep-alive");
  await fixture.server.stopAccepting();
  assert.equal(await sendRequest(), "close");
  await fixture.server.whenIdle();
});

test("the operators' port shows health, readiness, status and bounded latency metrics", async (context) => {
  const metrics = new ServingMetrics();
  const fixture = await Fixture.start(context, { metrics });
  const operators = new OperatorServer({
    host: "127.0.0.1",
    port: 0,
    metrics,
    readiness: () => ({
      isReady: fixture.server.isAccepting,
      reason: "draining",
    }),
    status: () => ({ instance: "i1", appliedOffset: 7 }),
  });
  const port = await operators.listen();
  context.after(() => operators.close());
  const getPath = async (path: string) => {
    const response = await fetch(`http://127.0.0.1:${port}${path}`);
    return { status: response.status, text: await response.text() };
  };
  assert.equal((await getPath("/healthz")).status, 200);
  assert.equal((await getPath("/readyz")).status, 200);
  assert.equal((await getPath("/none")).status, 404);
  assert.deepEqual(JSON.parse((await getPath("/status")).text), {
    instance: "i1",
    appliedOffset: 7,
  });
  await (await fixture.chat(helloRequest)).text();
  await (await fixture.chat({ ...helloRequest, model: "none" })).text();
  const workspace = brandAs<WorkspaceId>("walnut");
  metrics.recordFirstToken(workspace, "batch", 250);
  const { text } = await getPath("/metrics");
  assert.match(text, /requests_total\{action="chat",status="200"\} 1/);
  assert.match(text, /errors_total\{code="unknown_model"\} 1/);
  const series = 'first_token_seconds{workspace="walnut",class="batch"';
  assert.match(text, new RegExp(`${series},quantile="0.5"} 0.25`));
  assert.match(
    text,
    /request_seconds_count\{workspace="walnut",class="online"\} 1/,
  );
  assert.doesNotMatch(text, new RegExp(key));
  for (let index = 0; index < 1_500; index++) {
    metrics.recordRequestDuration(
      brandAs<WorkspaceId>(`w${index}`),
      "online",
      1,
    );
  }
  const counts = (await metrics.render()).match(/request_seconds_count/g) ?? [];
  assert.equal(counts.length, 1_001);
  await fixture.server.stopAccepting();
  assert.equal((await getPath("/readyz")).status, 503);
});
