/**
 * A stand-in of a model server, as a process of its own: slots, a queue, prompts that are read in
 * chunks in turn, memory for tokens, and a stream of events. Tells its parent process what it
 * received and ran. Options come as JSON in the first argument.
 */

import { createServer } from "node:http";

const options = {
  slots: 8,
  queue: 24,
  kvTokens: 147_261,
  prefillTokensPerMs: 157,
  /** Time for a million pairs of tokens of one prompt, in addition. */
  pairsMsPerMillion: 0,
  firstMs: 26,
  eventMs: 25,
  chunkTokens: 1_024,
  health: true,
  ...JSON.parse(process.argv[2]),
};

const waiting = [];
const running = new Set();
let isReading = false;

const report = (type, request, more = {}) =>
  process.send?.({ type, id: request.id, at: Date.now(), ...more });

const server = createServer((message, response) => {
  if (message.url === "/healthz") {
    return void response.writeHead(200, {
      "Rosemaryrudder-Instance-Id": options.id,
    }).end();
  }
  const chunks = [];
  message.on("data", (chunk) => chunks.push(chunk));
  message.on("end", () => receive(message, response, Buffer.concat(chunks)));
});
server.keepAliveTimeout = 30_000;

function receive(message, response, body) {
  const { headers } = message;
  const id = headers["rosemaryrudder-request-id"];
  const loads = () => ({
    "Rosemaryrudder-Server-Load":
      `${running.size},${waiting.length},${options.slots}`,
  });
  const expected = headers["rosemaryrudder-expect-instance"];
  if (expected !== undefined && expected !== options.id) {
    return void response.writeHead(421, {
      "Rosemaryrudder-Request-Id": id,
      "Rosemaryrudder-Instance-Id": options.id,
    }).end();
  }
  const [prompt, output] = (headers["rosemaryrudder-token-usage"] ?? "350,20")
    .split(",").map(Number);
  const request = {
    id,
    response,
    loads,
    after: Number(headers["last-event-id"] ?? 0),
    prompt,
    unread: prompt,
    kv: prompt + output,
    events: options.events ?? output,
    isGone: false,
  };
  report("arrived", request, {
    server: options.id,
    after: request.after,
    tenant: headers["rosemaryrudder-tenant"],
    path: message.url,
    method: message.method,
    body: body.toString("base64"),
    deadline: headers["rosemaryrudder-deadline-ms"],
  });
  response.on("close", () => {
    if (request.isDone) return;
    request.isGone = true;
    report("left", request, { server: options.id, began: request.hasBegun });
    release(request);
  });
  if (waiting.length >= options.queue || request.kv > options.kvTokens) {
    request.isDone = true;
    report("refused", request, { server: options.id });
    return void response.writeHead(503, {
      "Rosemaryrudder-Not-Run": "1",
      "Rosemaryrudder-Request-Id": id,
      ...loads(),
    }).end();
  }
  waiting.push(request);
  admit();
}

function release(request) {
  const index = waiting.indexOf(request);
  if (index >= 0) waiting.splice(index, 1);
  running.delete(request);
  admit();
}

/** Admits requests in the order of their arrival, while there are slots and memory. */
function admit() {
  while (waiting.length > 0 && running.size < options.slots) {
    const used = [...running].reduce((sum, { kv }) => sum + kv, 0);
    if (used + waiting[0].kv > options.kvTokens) return;
    running.add(waiting.shift());
  }
  if (!isReading) void readPrompts();
}

/** Reads the prompts of all running requests in chunks, in turn. */
async function readPrompts() {
  isReading = true;
  for (;;) {
    const open = [...running].filter(({ unread }) => unread > 0);
    if (open.length === 0) break;
    for (const request of open) {
      const tokens = Math.min(options.chunkTokens, request.unread);
      const read = request.prompt - request.unread;
      const pairs = tokens * (read + tokens / 2) / 1e6;
      await pause(
        tokens / options.prefillTokensPerMs + pairs * options.pairsMsPerMillion,
      );
      request.unread -= tokens;
      if (request.unread === 0 && !request.isGone) void generate(request);
    }
  }
  isReading = false;
}

async function generate(request) {
  const { id, response, loads } = request;
  await pause(options.firstMs);
  if (request.isGone) return;
  request.hasBegun = true;
  report("ran", request, { server: options.id, after: request.after });
  if (options.poison?.includes(id)) {
    request.isDone = true;
    response.writeHead(422, headersOf(id, loads())).end();
    return release(request);
  }
  const { write, end } = openAnswer(request, {
    ...headersOf(id, loads()),
    "Content-Type": "text/event-stream",
  });
  for (let event = request.after + 1; event <= request.events; event++) {
    write(`id: ${event}\ndata: ${dataOf(id, event)}\n\n`);
    await pause(options.eventMs);
    if (request.isGone) return;
  }
  request.isDone = true;
  end();
  report("finished", request, { server: options.id, after: request.after });
  release(request);
}

/** An answer in chunks, or without a length, which ends with its channel. */
function openAnswer({ response }, headers) {
  if (!options.isUnframed) {
    response.writeHead(200, headers);
    return {
      write: (text) => response.write(text),
      end: () => response.end(),
    };
  }
  const { socket } = response;
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}\r\n`);
  return {
    write: (text) => socket.write(text),
    end: () => socket.end(),
  };
}

/** The data of one event; longer than its number if the options ask for that. */
function dataOf(id, event) {
  const text = `${id}-${event}`;
  return text +
    ".".repeat(Math.max(0, (options.eventBytes ?? 0) - text.length));
}

function headersOf(id, loads) {
  return {
    "Rosemaryrudder-Request-Id": id,
    "Rosemaryrudder-Server-Stamp": `${options.id}.${id}`,
    ...loads,
  };
}

function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}

process.on("disconnect", () => process.exit(0));
server.listen(
  options.port,
  options.host,
  () => process.send?.({ type: "listening" }),
);
