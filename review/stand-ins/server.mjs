/**
 * A stand-in of a model server, as PROTOCOL.md describes it: it runs a request as a stream of
 * events, resumes at `Last-Event-Id`, and records what it received and ran.
 */

import { createServer } from "node:http";

const heartbeatMilliseconds = 1_200;

export class ModelServer {
  id;
  #options;
  #server;
  #heartbeat;
  #sequence = 0;
  #running = 0;
  #waiting = [];
  #port = 0;

  /**
   * `outputOf(request)` returns the data of the events for a request: a list of texts; each text may
   * have several lines. `onEvent(kind, fields)` records what happens.
   */
  constructor(
    {
      id,
      service,
      host,
      zone,
      slots = 8,
      eventMilliseconds = 5,
      outputOf,
      store,
      onEvent,
    },
  ) {
    this.id = id;
    this.#options = {
      service,
      host,
      zone,
      slots,
      eventMilliseconds,
      outputOf,
      store,
      onEvent,
    };
  }

  async listen() {
    const { host } = this.#options;
    this.#server = createServer(
      { keepAliveTimeout: 30_000 },
      (request, response) => this.#receive(request, response),
    );
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.#port = this.#server.address().port;
    this.born = Date.now();
    this.#register();
    this.#heartbeat = setInterval(
      () => this.#register(),
      heartbeatMilliseconds,
    );
  }

  close() {
    clearInterval(this.#heartbeat);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #register() {
    const { service, host, zone, slots, store } = this.#options;
    this.#sequence += 1;
    store.put("keyed.servers", this.id, {
      service,
      address: `${host}:${this.#port}`,
      zone,
      version: "1",
      slots,
      state: "ready",
      cold_left_ms: 0,
      seq: this.#sequence,
      born: this.born,
    });
  }

  #receive(request, response) {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => {});
    request.on("end", () => {
      if (request.url === "/healthz") {
        response.writeHead(200, { "rosemaryrudder-instance-id": this.id });
        return response.end();
      }
      this.#admit({ request, response, body: Buffer.concat(chunks) });
    });
  }

  #admit(work) {
    const { slots } = this.#options;
    const { headers } = work.request;
    const expected = headers["rosemaryrudder-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return this.#refuse(work, 421);
    }
    if (headers["rosemaryrudder-request-id"] === undefined) {
      return this.#refuse(work, 400);
    }
    if (this.#running < slots) return void this.#run(work);
    if (this.#waiting.length >= 3 * slots) return this.#refuse(work, 503);
    this.#waiting.push(work);
  }

  #headersOf({ request }) {
    const id = request.headers["rosemaryrudder-request-id"];
    return {
      ...(id === undefined ? {} : { "rosemaryrudder-request-id": id }),
      "rosemaryrudder-server-load":
        `${this.#running},${this.#waiting.length},${this.#options.slots}`,
    };
  }

  #refuse(work, status) {
    work.response.writeHead(status, {
      ...this.#headersOf(work),
      "rosemaryrudder-not-run": "1",
      "rosemaryrudder-instance-id": this.id,
    });
    work.response.end();
  }

  async #run(work) {
    const { request, response } = work;
    const { outputOf, onEvent, eventMilliseconds } = this.#options;
    const id = request.headers["rosemaryrudder-request-id"];
    const last = request.headers["last-event-id"];
    // A server stops work at the time limit that it receives.
    const limit = Number(
      request.headers["rosemaryrudder-deadline-ms"] ?? Number.POSITIVE_INFINITY,
    );
    const stopAt = Date.now() + limit;
    this.#running += 1;
    onEvent("run", {
      server: this.id,
      request: id,
      path: request.url,
      after: last ?? null,
    });
    const output = outputOf({
      id,
      path: request.url,
      headers: request.headers,
      body: work.body,
    });
    response.writeHead(200, {
      ...this.#headersOf(work),
      "content-type": "text/event-stream",
      "rosemaryrudder-server-stamp": `${this.id}.${id}`,
      "rosemaryrudder-weight-versions": "1",
    });
    let hasEnded = true;
    for (
      let number = last === undefined ? 1 : Number(last) + 1;
      number <= output.length;
      number++
    ) {
      await new Promise((resolve) => setTimeout(resolve, eventMilliseconds));
      if (Date.now() >= stopAt) response.destroy();
      if (response.destroyed) {
        hasEnded = false;
        break;
      }
      const lines = output[number - 1].split("\n").map((line) =>
        `data: ${line}\n`
      ).join("");
      response.write(`id: ${number}\n${lines}\n`);
    }
    if (hasEnded) response.end();
    this.#running -= 1;
    onEvent(hasEnded ? "finished" : "dropped", {
      server: this.id,
      request: id,
    });
    while (this.#waiting.length > 0) {
      const next = this.#waiting.shift();
      if (next.response.destroyed) continue;
      void this.#run(next);
      break;
    }
  }
}
