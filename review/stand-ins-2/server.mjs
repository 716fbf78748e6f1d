/**
 * Stand-in of a model server, as PROTOCOL.md describes it. `node server.mjs SETTINGS-AS-JSON` serves
 * until the process ends. It registers itself in the store, runs requests in `slots` slots, queues a
 * few more and refuses the rest as not run. Every line that it prints is one fact in JSON.
 */

import { createServer, request as httpRequest } from "node:http";

const settings = JSON.parse(process.argv[2]);
const {
  id,
  host,
  port,
  zone,
  store,
  service = "katulong",
  slots = 8,
  queue = 24,
  /** Time that a server needs to read a prompt before its first event. */
  prefillMilliseconds = 150,
  eventMilliseconds = 10,
} = settings;
const heartbeatMilliseconds = 1_200;
const born = Date.now();
let sequence = 0;
let running = 0;
const waiting = [];

function note(fact) {
  process.stdout.write(
    `${JSON.stringify({ at: Date.now(), server: id, ...fact })}\n`,
  );
}

function register() {
  const [storeHost, storePort] = store.split(":");
  const body = JSON.stringify({
    service,
    address: `${host}:${port}`,
    zone,
    version: "1",
    slots,
    state: "ready",
    cold_left_ms: 0,
    seq: sequence++,
    born,
  });
  const call = httpRequest({
    host: storeHost,
    port: Number(storePort),
    method: "POST",
    path: `/write?topic=keyed.servers&key=${id}`,
    headers: { "content-length": Buffer.byteLength(body) },
  }, (response) => response.resume());
  call.on("error", () => {});
  call.end(body);
}

/** Number of events of a request: the most output tokens that it may use. */
function eventsOf(headers) {
  const [, output] = String(headers["rosemaryrudder-token-usage"] ?? "").split(
    ",",
  );
  return Number(output) || 20;
}

export function eventData(requestId, event) {
  return `${requestId}:${event}`;
}

function startNext() {
  while (running < slots && waiting.length > 0) {
    const run = waiting.shift();
    if (run.response.destroyed) continue;
    running += 1;
    void serve(run).finally(() => {
      running -= 1;
      startNext();
    });
  }
}

const pause = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

async function serve({ request, response, requestId, deadline }) {
  note({
    what: "run",
    request: requestId,
    after: request.headers["last-event-id"] ?? null,
  });
  const events = eventsOf(request.headers);
  const first = Number(request.headers["last-event-id"] ?? 0) + 1;
  await pause(prefillMilliseconds);
  if (response.destroyed) return note({ what: "left", request: requestId });
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "rosemaryrudder-request-id": requestId,
    "rosemaryrudder-server-stamp": `stamp.${id}`,
    "rosemaryrudder-server-load": `${running},${waiting.length},${slots}`,
  });
  for (let event = first; event <= events; event++) {
    if (response.destroyed) return note({ what: "left", request: requestId });
    if (Date.now() > deadline) {
      response.destroy();
      return note({ what: "expired", request: requestId });
    }
    response.write(`id: ${event}\ndata: ${eventData(requestId, event)}\n\n`);
    if (event === first) note({ what: "began", request: requestId });
    await pause(eventMilliseconds);
  }
  response.end();
  note({ what: "done", request: requestId });
}

const server = createServer((request, response) => {
  request.on("data", () => {});
  request.on("end", () => {
    const requestId = request.headers["rosemaryrudder-request-id"];
    if (request.method === "GET" && request.url === "/healthz") {
      response.writeHead(200, { "rosemaryrudder-instance-id": id });
      return response.end();
    }
    const refuse = (status) => {
      note({ what: "refused", request: requestId, status });
      response.writeHead(status, {
        ...requestId ? { "rosemaryrudder-request-id": requestId } : {},
        "rosemaryrudder-not-run": "1",
        "content-length": 0,
      });
      response.end();
    };
    if (!requestId) return refuse(400);
    const expected = request.headers["rosemaryrudder-expect-instance"];
    if (expected !== undefined && expected !== id) return refuse(421);
    if (running >= slots && waiting.length >= queue) return refuse(503);
    note({ what: "arrived", request: requestId });
    const limit = Number(
      request.headers["rosemaryrudder-deadline-ms"] ?? 60_000,
    );
    waiting.push({
      request,
      response,
      requestId,
      deadline: Date.now() + limit,
    });
    startNext();
  });
});
server.keepAliveTimeout = 30_000;
server.listen(port, host, () => {
  note({ what: "listening" });
  register();
  setInterval(register, heartbeatMilliseconds);
});
