/**
 * A small deployment for the cases of this review: the store, model servers and instances of the
 * product, each a process of its own on a loopback address, and clients that speak PROTOCOL.md. The
 * instances are started by the command of the deploy file.
 */

import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import process from "node:process";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const folder = dirname(fileURLToPath(import.meta.url));
const root = join(folder, "../..");
export const requestHost = "nony24.example";
export const apiKey = "i9n73hh2b9wu3fexd9dn";
const frontPort = 8_689;
const readyPort = 8_687;
const peerPorts = [7_360, 7_375];
const metricsPort = 9_464;

export const pause = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function findHost(ports) {
  for (;;) {
    const part = () => 2 + Math.floor(Math.random() * 240);
    const host = `127.${part()}.${part()}.${part()}`;
    const free = await Promise.all(ports.map((port) => isFree(host, port)));
    if (free.every(Boolean)) return host;
  }
}

export class Deployment {
  constructor(recordFile) {
    this.recordFile = recordFile;
    this.startedAt = Date.now();
    this.temporary = mkdtempSync(join(tmpdir(), "review-"));
    this.children = new Set();
    this.servers = [];
    this.instances = [];
    this.facts = [];
    this.version = 0;
    writeFileSync(recordFile, "");
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
      process.once(signal, () => {
        this.close();
        process.exit(2);
      });
    }
  }

  /** Milliseconds since the deployment began, which the record shows. */
  get time() {
    return Date.now() - this.startedAt;
  }

  record(fact) {
    this.facts.push({ time: this.time, ...fact });
    appendFileSync(
      this.recordFile,
      `${JSON.stringify({ time: this.time, ...fact })}\n`,
    );
  }

  #spawn(command, parts, { env = {}, onLine = () => {} } = {}) {
    const child = spawn(command, parts, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? "/",
        LANG: "C",
        ...env,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.children.add(child);
    child.once("exit", () => this.children.delete(child));
    for (const stream of [child.stdout, child.stderr]) {
      let rest = "";
      stream.on("data", (bytes) => {
        const lines = (rest + bytes).split("\n");
        rest = lines.pop();
        for (const line of lines) onLine(line);
      });
    }
    return child;
  }

  async startStore() {
    const host = await findHost([8_688]);
    this.store = `${host}:8688`;
    await new Promise((resolve) => {
      this.#spawn(process.execPath, [join(folder, "store.mjs"), this.store], {
        onLine: (line) =>
          line === "listening" ? resolve() : console.error(line),
      });
    });
  }

  /** Starts a model server; a further start is a new lifetime at the same address with a new id. */
  async startServer(index, options = {}) {
    const known = this.servers[index];
    const host = known?.host ?? await findHost([8_283]);
    const lifetime = (known?.lifetime ?? 0) + 1;
    const id = `i-${index}-${lifetime}`;
    const settings = {
      id,
      host,
      port: 8_283,
      zone: "hilaga-baguio",
      store: this.store,
      ...known?.options,
      ...options,
    };
    const child = this.#spawn(
      process.execPath,
      [join(folder, "server.mjs"), JSON.stringify(settings)],
      {
        onLine: (line) => {
          try {
            this.record(JSON.parse(line));
          } catch {
            console.error(line);
          }
        },
      },
    );
    this.servers[index] = {
      id,
      host,
      lifetime,
      child,
      options: known?.options ?? options,
    };
  }

  killServer(index) {
    const { child, id } = this.servers[index];
    this.record({ what: "server killed", server: id });
    child.kill("SIGKILL");
  }

  async startInstance(name, changes = {}) {
    const known = this.instances.find((instance) => instance.name === name);
    const host = known?.host ??
      await findHost([frontPort, readyPort, metricsPort, peerPorts[0]]);
    const settings = join(this.temporary, `${name}.toml`);
    writeFileSync(
      settings,
      settingsOf(name, host, this.store, {
        isFirst: !known,
        ...changes,
      }),
    );
    const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const [, command] = /^run = "([^"]+)"$/m.exec(deploy);
    const [program, ...parts] = command.split(" ");
    const log = join(this.temporary, `${name}.log`);
    const child = this.#spawn(
      program === "node" ? process.execPath : program,
      parts,
      {
        env: { ROSEMARYRUDDER_BOOT: settings },
        onLine: (line) => appendFileSync(log, `${line}\n`),
      },
    );
    const instance = { name, host, child, log };
    if (known) Object.assign(known, instance);
    else this.instances.push(instance);
    return known ?? instance;
  }

  async waitUntilReady(instance, milliseconds = 15_000) {
    const until = Date.now() + milliseconds;
    while (Date.now() < until) {
      const answer = await call({
        host: instance.host,
        port: readyPort,
        path: "/readyz",
      });
      if (answer.status === 200) return;
      await pause(50);
    }
    throw new Error(`${instance.name} is not ready`);
  }

  /** Writes the next version of the configuration. */
  async publish(changes = {}) {
    this.version += 3;
    const route = {
      host: requestHost,
      service: "katulong",
      timeout_ms: 5_000,
      target_latency_ms: 300,
      gap_aim_ms: 200,
      priority: 0,
      public: false,
      sticky: true,
    };
    const configuration = {
      version: this.version,
      routes: [
        {
          ...route,
          name: "r-lots",
          path_prefix: "/pule252/",
          kind: "batch",
          target_latency_ms: 500,
          timeout_ms: 15_000,
          due_ms: 18_000,
          retention_s: 60,
          max_attempts: 3,
          priority: 2,
          resumable: true,
        },
        {
          ...route,
          name: "r-stream",
          path_prefix: "/lohu930/",
          kind: "streaming",
          resumable: true,
          max_attempts: 2,
        },
        {
          ...route,
          name: "r-once",
          path_prefix: "/pufi791/",
          kind: "streaming",
          resumable: false,
          max_attempts: 1,
        },
      ],
      services: [{
        name: "katulong",
        health_path: "/healthz",
        max_conns: 230,
        protocol: "h1",
        tls: false,
        engine: { slots: 8, kv_capacity: 147_261 },
      }],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      tenants: [{
        name: "kaje80",
        api_keys: [apiKey],
        priority: 1,
        rate_per_s: 500,
        burst: 500,
      }],
      ...changes,
    };
    await this.write("keyed.op", "config", configuration);
    this.record({ what: "configuration written", version: this.version });
  }

  async write(topic, key, value) {
    const [host, port] = this.store.split(":");
    const answer = await call({
      host,
      port: Number(port),
      method: "POST",
      path: `/write?topic=${topic}&key=${encodeURIComponent(key)}`,
      body: JSON.stringify(value),
    });
    if (answer.status !== 200) {
      throw new Error(`the store answered ${answer.status}`);
    }
  }

  /** Takes the topics down, and all others up. */
  async setDownTopics(topics) {
    const [host, port] = this.store.split(":");
    const query = topics.map((topic) => `down=${topic}`).join("&");
    await call({
      host,
      port: Number(port),
      method: "POST",
      path: `/control?${query}`,
    });
    this.record({ what: "topics down", topics });
  }

  close() {
    for (const child of this.children) child.kill("SIGKILL");
    if (process.env.KEEP_LOGS) {
      console.error(`logs are kept in ${this.temporary}`);
    } else rmSync(this.temporary, { recursive: true, force: true });
  }
}

function settingsOf(name, host, store, { isFirst, parts = 8 }) {
  return `node_name = "${name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "${host}"
zone = "hilaga-baguio"
region = "hilaga"
internal_ports = [${peerPorts.join(",")}]
seeds = []
bootstrap = ${isFirst}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","tenants","quota","platform"]
[zones]
hilaga-baguio = "hilaga"
[listen]
front = "${host}:${frontPort}"
ready = "${host}:${readyPort}"
[limits]
cpu_share = 0.675
cores = 2
memory_mb = 370
max_fds = 8200
link_mbps = 1000.0
disk_mb = 0
[bounds]
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
finish_s = 18
status_s = 120
cancel_ms = 3000
settle_ms = 1000
[provider]
address = "${store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = ${parts}
append_ms = 4.0
ingress_per_s = 20.0
egress_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
retention_s = 300
part_mb = 200
ttl_min_ms = 1000
`;
}

/** One HTTP call on a new connection; status 0 if there was no complete answer. */
export function call(
  {
    host,
    port = frontPort,
    method = "GET",
    path,
    headers = {},
    body,
    timeoutMilliseconds = 5_000,
  },
) {
  return new Promise((resolve) => {
    const outgoing = httpRequest({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...body === undefined
          ? {}
          : { "content-length": Buffer.byteLength(body) },
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      const finish = (isComplete) => {
        clearTimeout(timer);
        resolve({
          status: isComplete ? response.statusCode : 0,
          head: response.statusCode,
          headers: response.headers,
          text: Buffer.concat(chunks).toString(),
        });
      };
      response.on("end", () => finish(response.complete));
      response.on("error", () => finish(false));
    });
    const timer = setTimeout(() => {
      outgoing.destroy();
      resolve({ status: 0, headers: {}, text: "" });
    }, timeoutMilliseconds);
    outgoing.on("error", () => {
      clearTimeout(timer);
      resolve({ status: 0, headers: {}, text: "" });
    });
    outgoing.end(body);
  });
}

const callerHeaders = {
  host: requestHost,
  "rosemaryrudder-credential": apiKey,
};

/** Submits a batch job as a client does: again at another instance until it is accepted. */
export async function submit(
  deployment,
  job,
  items,
  timeoutMilliseconds = 4_000,
) {
  const body = JSON.stringify({
    items: items.map(({ id, events, parts, promptTokens = 350 }) => ({
      id,
      path: `/pule252/${id}`,
      headers: {
        "Rosemaryrudder-Model": "m",
        "Rosemaryrudder-Token-Usage": `${promptTokens},${events}`,
        "Rosemaryrudder-Prompt-Prefix": parts,
      },
      body: Buffer.from(`body of ${id}`).toString("base64"),
      tokens: promptTokens + events,
    })),
  });
  for (let attempt = 0; attempt < 3; attempt++) {
    const instance = deployment.instances[
      Math.floor(Math.random() * deployment.instances.length)
    ];
    const { status } = await call({
      host: instance.host,
      method: "POST",
      path: `/pule252/${job}`,
      body,
      headers: {
        ...callerHeaders,
        "content-type": "application/json",
        "rosemaryrudder-request-id": job,
        "rosemaryrudder-deadline-ms": String(timeoutMilliseconds),
      },
      timeoutMilliseconds,
    });
    deployment.record({
      what: "submitted",
      job,
      instance: instance.name,
      status,
    });
    if (status === 202) return true;
    await pause(200);
  }
  return false;
}

/** Reads all results of a batch job; undefined if the instance does not answer 200. */
export async function readResults(instance, job) {
  const results = [];
  for (;;) {
    const { status, text } = await call({
      host: instance.host,
      path: `/lots/${job}?after=${results.length}`,
      headers: callerHeaders,
    });
    if (status !== 200) return { status };
    const page = JSON.parse(text);
    results.push(...page.results);
    if (page.results.length === 0 || results.length >= page.total) {
      return { status, total: page.total, results };
    }
  }
}
