/**
 * Starts a small deployment on loopback addresses: the store, model servers and entry processes by
 * the command of the deploy file. Ends all processes that it started.
 */

import { fork, spawn } from "node:child_process";
import { randomBytes, randomInt } from "node:crypto";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { delay, Store } from "./store.mjs";

export { delay };
const here = dirname(fileURLToPath(import.meta.url));
const repository = join(here, "..", "..");
const heartbeatMs = 1_200;

export const hexId = (bytes = 8) => randomBytes(bytes).toString("hex");

export class Rig {
  host = "queue.example";
  key = "key-of-tenant-one";
  entries = [];
  engines = [];
  /** What the servers have reported, in order. */
  events = [];
  startedAt = Date.now();
  #children = new Set();
  #timers = new Set();
  #base = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
  #nextHost = 10;
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #record;
  #version = 1;

  constructor({ record, parts = 8, retentionMs = 20_000 }) {
    this.#record = record;
    writeFileSync(record, "");
    this.store = new Store({ parts, retentionMs });
    this.parts = parts;
  }

  log(...text) {
    const at = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.#record, `${at.padStart(8)} ${text.join(" ")}\n`);
  }

  newHost() {
    return `${this.#base}.${this.#nextHost++}`;
  }

  async startStore() {
    this.storeAddress = await this.store.listen(this.newHost());
  }

  publish(change = {}) {
    const { routes, services, ...rest } = change;
    this.configuration = {
      routes: routes ?? this.configuration?.routes ?? [],
      services: services ?? this.configuration?.services ?? [],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
      tenants: [{
        name: "tenant-one",
        api_keys: [this.key],
        priority: 1,
        rate_per_s: 0,
        burst: 0,
      }],
      ...rest,
      version: this.#version,
    };
    this.#version += randomInt(1, 4);
    this.store.put("keyed.op", "config", this.configuration);
    this.log("operator: configuration", this.configuration.version);
  }

  batchRoute(more = {}) {
    return {
      name: "r-batch",
      host: this.host,
      path_prefix: "/jobs/",
      kind: "batch",
      timeout_ms: 15_000,
      target_latency_ms: 500,
      priority: 2,
      service: "lm",
      max_attempts: 3,
      public: false,
      sticky: true,
      resumable: true,
      gap_aim_ms: 200,
      due_ms: 18_000,
      retention_s: 60,
      ...more,
    };
  }

  service(more = {}) {
    return {
      name: "lm",
      health_path: "/healthz",
      max_conns: 230,
      protocol: "h1",
      tls: false,
      engine: { slots: 8, kv_capacity: 147_261, models: [{ name: "m" }] },
      ...more,
    };
  }

  /** Starts a model server and registers it while it lives. */
  async startEngine(more = {}) {
    const engine = {
      id: `i-${hexId(4)}`,
      host: more.host ?? this.newHost(),
      port: more.port ?? randomInt(20_000, 50_000),
      zone: more.zone ?? "z1",
      service: more.service ?? "lm",
      born: Date.now(),
      seq: 0,
      state: "ready",
      isAlive: true,
    };
    const { host, port, id } = engine;
    const child = fork(join(here, "engine.mjs"), [
      JSON.stringify({ ...more.options, host, port, id }),
    ]);
    this.#children.add(child);
    engine.child = child;
    engine.slots = more.options?.slots ?? 8;
    child.on("exit", () => {
      engine.isAlive = false;
      this.#children.delete(child);
    });
    await new Promise((resolve, reject) => {
      child.once("error", reject);
      child.on("message", (message) => {
        if (message.type === "listening") return resolve();
        this.events.push(message);
        this.onEvent?.(message);
        const { type, server, id, after, began } = message;
        this.log(
          `server ${server}: ${type} ${id}`,
          after ? `after ${after}` : "",
          type === "left" ? `begun ${began === true}` : "",
        );
      });
    });
    this.log(`server ${id}: started at ${host}:${port}`);
    this.#beat(engine);
    engine.timer = this.every(heartbeatMs, () => this.#beat(engine));
    this.engines.push(engine);
    return engine;
  }

  #beat(engine) {
    if (!engine.isAlive) return;
    engine.seq += 1;
    this.store.put("keyed.servers", engine.id, {
      service: engine.service,
      address: `${engine.host}:${engine.port}`,
      zone: engine.zone,
      version: "v1",
      slots: engine.slots,
      state: engine.state,
      cold_left_ms: 0,
      born: engine.born,
      seq: engine.seq,
    });
  }

  /** SIGKILL; the entry in the list goes after three intervals without a beat. */
  async killEngine(engine) {
    this.log(`server ${engine.id}: killed`);
    engine.isAlive = false;
    clearInterval(engine.timer);
    const exit = new Promise((resolve) => engine.child.once("exit", resolve));
    engine.child.kill("SIGKILL");
    await exit;
    engine.exitedAt = Date.now();
    this.engines.splice(this.engines.indexOf(engine), 1);
    this.after(
      3 * heartbeatMs,
      () => this.store.put("keyed.servers", engine.id, undefined),
    );
  }

  every(ms, action) {
    const timer = setInterval(action, ms);
    this.#timers.add(timer);
    return timer;
  }

  after(ms, action) {
    const timer = setTimeout(action, ms);
    this.#timers.add(timer);
    return timer;
  }

  /** Starts an entry process by the command of the deploy file. */
  async startEntry(
    { name = `edge-${this.entries.length + 1}`, zone = "z1", storeAddress } =
      {},
  ) {
    const ip = this.newHost();
    const entry = { name, zone, ip, storeAddress };
    entry.front = { host: ip, port: randomInt(10_000, 19_000) };
    entry.ready = { host: ip, port: entry.front.port + 1 };
    entry.settings = join(this.#folder, `${name}.toml`);
    this.entries.push(entry);
    await this.launch(entry);
    return entry;
  }

  async launch(entry, { bootstrap = true } = {}) {
    const { name, zone, ip, front, ready } = entry;
    writeFileSync(
      entry.settings,
      `node_name = "${name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "${ip}"
zone = "${zone}"
region = "r1"
internal_ports = [7360, 7375]
seeds = []
bootstrap = ${bootstrap}
loss_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = ${heartbeatMs}
contracts = ["base","drain","config","cost","recover","batch","stream","engine","tenants","quota","platform"]
[zones]
z1 = "r1"
z2 = "r1"
[listen]
front = "${front.host}:${front.port}"
ready = "${ready.host}:${ready.port}"
[limits]
cpu_share = 0.675
cores = 2
memory_mb = ${this.memory ?? 370}
max_fds = 8200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_ms = 3000
ack_ms = 4000
catch_up_s = 4.5
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
recovery_s = 12
finish_s = 18
status_s = 120
cancel_ms = 3000
settle_ms = 1000
[provider]
address = "${entry.storeAddress ?? this.storeAddress}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = ${this.parts}
append_ms = 4.0
record_bytes = 262144
call_bytes = 2097152
retention_s = 20
`,
    );
    const deploy = readFileSync(join(repository, "deploy/system.toml"), "utf8");
    const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const child = spawn(
      program === "node" ? process.execPath : program,
      words,
      {
        cwd: repository,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          ROSEMARYRUDDER_BOOT: entry.settings,
        },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    this.#children.add(child);
    entry.child = child;
    entry.output ??= "";
    const keep = (bytes) => entry.output += String(bytes);
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.on("exit", (code, signal) => {
      this.#children.delete(child);
      this.log(`entry ${name}: ended`, code ?? signal);
    });
    await this.eventually(async () => await this.isReady(entry), 20_000);
    this.log(`entry ${name}: ready`);
  }

  async isReady(entry) {
    const answer = await send({
      ...entry.ready,
      path: "/readyz",
      timeoutMs: 500,
    });
    return answer.status === 200;
  }

  async killEntry(entry, signal = "SIGKILL") {
    this.log(`entry ${entry.name}: ${signal}`);
    const exit = new Promise((resolve) => entry.child.once("exit", resolve));
    entry.child.kill(signal);
    await exit;
  }

  async eventually(condition, timeoutMs) {
    const until = Date.now() + timeoutMs;
    while (!await condition()) {
      if (Date.now() > until) {
        throw new Error("a condition was not met in time");
      }
      await delay(50);
    }
  }

  /** Calls an entry as a client does. */
  async call(entry, options) {
    const answer = await send({
      ...entry.front,
      ...options,
      headers: {
        Host: this.host,
        "Rosemaryrudder-Credential": this.key,
        ...options.headers,
      },
    });
    this.log(
      `client: ${options.method ?? "GET"} ${options.path} at ${entry.name}:`,
      answer.status || answer.error,
      options.quiet ? "" : answer.body.toString().slice(0, 200),
    );
    return answer;
  }

  createItems(count, { prompt, output, shared = [], prefix = "/jobs/1/" }) {
    return Array.from({ length: count }, () => {
      const id = hexId();
      const parts = [...shared, `${hexId(4)}:${prompt}`];
      const own = parts.reduce(
        (sum, part) => sum + Number(part.split(":")[1]),
        0,
      );
      return {
        id,
        path: `${prefix}${id.slice(0, 4)}`,
        headers: {
          "Rosemaryrudder-Model": "m",
          "Rosemaryrudder-Token-Usage": `${own},${output}`,
          "Rosemaryrudder-Prompt-Prefix": parts.join(","),
        },
        body: Buffer.from(`body of ${id}`).toString("base64"),
        tokens: own + output,
      };
    });
  }

  /** Submits a job as a client does: again at another entry after anything but a 202. */
  async submit(items, { job = hexId(), tries = 4, deadlineMs = 4_000 } = {}) {
    const statuses = [];
    for (let attempt = 0; attempt < tries; attempt++) {
      const entry = this.entries[attempt % this.entries.length];
      const answer = await this.call(entry, {
        method: "POST",
        path: "/jobs/x",
        headers: {
          "Rosemaryrudder-Request-Id": job,
          "Rosemaryrudder-Deadline-Ms": String(deadlineMs),
          "Content-Type": "application/json",
        },
        body: JSON.stringify({ items }),
        timeoutMs: deadlineMs + 1_500,
      });
      statuses.push(answer.status);
      if (answer.status === 202) break;
      await delay(300);
    }
    return { job, statuses, isAccepted: statuses.at(-1) === 202 };
  }

  /**
   * The entry that runs items: it holds the partition in whose topic it last wrote how far its runs
   * got. Undefined if nothing was written there for a while.
   */
  runningEntry(topic = "keyed.progress") {
    let last;
    for (let part = 0; part < this.parts; part++) {
      const { records } = this.store.partition(topic, part);
      const at = records.at(-1)?.at ?? 0;
      if (at > (last?.at ?? 0)) last = { at, part };
    }
    if (!last) return undefined;
    const [group] = this.store.groups.values();
    const owner = group.owners.get(last.part)?.member;
    return this.entries.find(({ name }) => name === owner);
  }

  /** Reads all results that are listed so far. */
  async results(entry, job, after = 0) {
    const results = [];
    let total;
    for (;;) {
      const answer = await this.call(entry, {
        path: `/lots/${job}?after=${after + results.length}`,
        timeoutMs: 3_000,
        quiet: true,
      });
      if (answer.status !== 200) {
        return { status: answer.status, results, total };
      }
      const page = JSON.parse(answer.body.toString());
      total = page.total;
      if (page.results.length === 0) return { status: 200, results, total };
      results.push(...page.results);
    }
  }

  async stop() {
    const { KEEP_LOGS } = process.env;
    for (const { name, output } of KEEP_LOGS ? this.entries : []) {
      writeFileSync(join(KEEP_LOGS, `${name}.log`), output);
    }
    for (const timer of this.#timers) clearInterval(timer);
    const exits = [...this.#children].map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    for (const child of this.#children) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    this.store.close();
    await Promise.race([Promise.all(exits), delay(2_000)]);
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

export function send(
  { host, port, method = "GET", path, headers, body, timeoutMs = 5_000 },
) {
  return new Promise((resolve) => {
    const chunks = [];
    let status = 0;
    let answerHeaders = {};
    let isOver = false;
    const finish = (error) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      resolve({
        status: error ? 0 : status,
        headStatus: status,
        headers: answerHeaders,
        body: Buffer.concat(chunks),
        error,
      });
    };
    const outgoing = request(
      {
        host,
        port,
        method,
        path,
        headers: { ...headers, Connection: "close" },
        agent: false,
      },
      (response) => {
        status = response.statusCode;
        answerHeaders = response.headers;
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () => finish());
        response.on("error", (error) => finish(String(error)));
        response.on("aborted", () => finish("aborted"));
      },
    );
    const timer = setTimeout(() => {
      finish("timeout");
      outgoing.destroy();
    }, timeoutMs);
    outgoing.on("error", (error) => finish(String(error)));
    outgoing.end(body);
  });
}

/** Runs a case and exits as the issue asks: 0 held, 1 broken, 2 could not run. */
export async function runCase(record, play) {
  const rig = new Rig({ record });
  const limit = setTimeout(() => {
    rig.log("the case took too long");
    void rig.stop().then(() => process.exit(2));
  }, 115_000);
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.once(signal, () => void rig.stop().then(() => process.exit(2)));
  }
  let code = 2;
  try {
    const broken = await play(rig);
    code = broken ? 1 : 0;
    rig.log(broken ? `broken: ${broken}` : "held");
    console.log(broken ? `broken: ${broken}` : "held");
  } catch (error) {
    rig.log("could not run:", error.stack);
    console.log("could not run:", String(error));
  }
  clearTimeout(limit);
  await rig.stop();
  process.exit(code);
}
