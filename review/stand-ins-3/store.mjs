/**
 * A stand-in of the platform's metadata store, as PROTOCOL.md describes its calls: append, read,
 * newest records, and groups that share partitions. It loses nothing that it has confirmed.
 */

import { createServer } from "node:http";

const newestPageItems = 500;
const newestPageBytes = 1_000_000;

export class Store {
  topics = new Map();
  groups = new Map();
  /** Called for each call; may return a status, "silent", "lost" or "late" in place of an answer. */
  onCall = () => undefined;

  constructor({ parts, retentionMs = 20_000, appendMs = 4 }) {
    this.parts = parts;
    this.retentionMs = retentionMs;
    this.appendMs = appendMs;
    this.server = createServer((request, response) => {
      this.#serve(request, response).catch((error) => {
        console.error("store stand-in:", error);
        if (!response.headersSent) response.writeHead(500).end();
      });
    });
    this.server.keepAliveTimeout = 60_000;
    this.timer = setInterval(() => this.#expire(), 500);
  }

  listen(host) {
    return new Promise((resolve) =>
      this.server.listen(0, host, () => {
        this.address = `${host}:${this.server.address().port}`;
        resolve(this.address);
      })
    );
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  partition(topic, number) {
    const key = `${topic}/${number}`;
    let partition = this.topics.get(key);
    if (!partition) {
      partition = {
        first: 0,
        records: [],
        newest: new Map(),
        waiters: new Set(),
        busyUntil: 0,
        isKeyed: topic.startsWith("keyed."),
      };
      this.topics.set(key, partition);
    }
    return partition;
  }

  /** Writes one value under a key, as the operator and the servers do. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value)),
    ]);
    return this.append(this.partition(topic, 0), [content]);
  }

  append(partition, contents) {
    const offset = partition.first + partition.records.length;
    const at = performance.now();
    for (const content of contents) {
      const own = partition.first + partition.records.length;
      partition.records.push({ at, content });
      if (!partition.isKeyed) continue;
      const end = 1 + content[0];
      const key = content.toString("utf8", 1, end);
      if (end === content.length) partition.newest.delete(key);
      else {
        partition.newest.set(key, {
          offset: own,
          value: content.subarray(end),
        });
      }
    }
    for (const wake of [...partition.waiters]) wake();
    return offset;
  }

  #expire() {
    const limit = performance.now() - this.retentionMs;
    for (const partition of this.topics.values()) {
      let count = 0;
      while (
        count < partition.records.length && partition.records[count].at < limit
      ) count += 1;
      partition.records.splice(0, count);
      partition.first += count;
    }
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, "http://store");
    const verdict = this.onCall({ url, body, request });
    if (verdict === "silent") return;
    if (typeof verdict === "number") {
      return void response.writeHead(verdict).end();
    }
    // Done up to some seconds later, and not answered.
    if (verdict === "late") await delay(1_000 + Math.random() * 5_000);
    const answer = await this.#call(url, body, request);
    if (verdict === "lost" || verdict === "late") return;
    response.writeHead(answer.status ?? 200);
    response.end(
      Buffer.isBuffer(answer.body)
        ? answer.body
        : JSON.stringify(answer.body ?? {}),
    );
  }

  async #call(url, body, request) {
    const query = url.searchParams;
    const topic = query.get("topic");
    const partition = topic === null
      ? undefined
      : this.partition(topic, Number(query.get("part")));
    switch (url.pathname) {
      case "/log-append":
        return await this.#append(partition, body);
      case "/log-read":
        return await this.#read(partition, query, request);
      case "/log-newest":
        return this.#newest(partition, query);
      case "/log-join":
        return { body: this.#join(JSON.parse(body.toString())) };
      case "/log-leave":
        return { body: this.#leave(JSON.parse(body.toString())) };
      default:
        return { status: 404 };
    }
  }

  async #append(partition, body) {
    const contents = [];
    for (let at = 0; at + 4 <= body.length;) {
      const length = body.readUInt32BE(at);
      contents.push(Buffer.from(body.subarray(at + 4, at + 4 + length)));
      at += 4 + length;
    }
    const now = performance.now();
    partition.busyUntil = Math.max(now, partition.busyUntil) + this.appendMs;
    await delay(partition.busyUntil - now);
    const offset = this.append(partition, contents);
    return {
      body: { offset, end: partition.first + partition.records.length },
    };
  }

  async #read(partition, query, request) {
    const from = Number(query.get("from"));
    const waitMs = Math.min(30_000, Number(query.get("wait_ms") ?? 0));
    const maximumBytes = Number(query.get("max_kb") ?? 1_024) * 1_024;
    const end = () => partition.first + partition.records.length;
    if (from >= end() && waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          partition.waiters.delete(finish);
          request.socket.off("close", finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        partition.waiters.add(finish);
        request.socket.once("close", finish);
      });
    }
    if (from < partition.first) {
      return { status: 410, body: { first: partition.first } };
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(end()), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    const parts = [head];
    let bytes = 0;
    for (
      let index = from - partition.first;
      index < partition.records.length;
      index++
    ) {
      const { content } = partition.records[index];
      bytes += content.length + 4;
      if (parts.length > 1 && bytes > maximumBytes) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      parts.push(length, content);
    }
    await delay(this.appendMs);
    return { body: Buffer.concat(parts) };
  }

  #newest(partition, query) {
    const after = query.get("after");
    const keys = [...partition.newest.keys()]
      .sort((left, right) =>
        Buffer.compare(Buffer.from(left), Buffer.from(right))
      )
      .filter((key) =>
        after === null ||
        Buffer.compare(Buffer.from(key), Buffer.from(after)) > 0
      );
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, offset } = partition.newest.get(key);
      bytes += value.length;
      if (items.length >= newestPageItems) break;
      if (items.length > 0 && bytes > newestPageBytes) break;
      items.push({ key, value: value.toString("base64"), offset });
    }
    return {
      body: {
        items,
        has_more: items.length < keys.length,
        end: partition.first + partition.records.length,
      },
    };
  }

  #group(name, topics) {
    let group = this.groups.get(name);
    if (!group) {
      group = { generation: 0, members: new Map(), owners: new Map(), topics };
      this.groups.set(name, group);
    }
    return group;
  }

  /** Deals the partitions evenly; one that is still held moves once its holder has let it go. */
  #deal(group) {
    group.generation += 1;
    const members = [...group.members.keys()].sort();
    group.target = new Map();
    if (members.length === 0) return;
    const quota = Math.ceil(this.parts / members.length);
    const counts = new Map(members.map((member) => [member, 0]));
    const open = [];
    for (let part = 0; part < this.parts; part++) {
      const owner = group.owners.get(part)?.member;
      if (counts.has(owner) && counts.get(owner) < quota) {
        counts.set(owner, counts.get(owner) + 1);
        group.target.set(part, owner);
      } else open.push(part);
    }
    for (const part of open) {
      const [least] = members.toSorted((left, right) =>
        counts.get(left) - counts.get(right)
      );
      counts.set(least, counts.get(least) + 1);
      group.target.set(part, least);
    }
  }

  /** All partitions go to other members at once, without any request. */
  rebalance(name) {
    const group = this.groups.get(name);
    const members = [...group.members.keys()].sort();
    group.generation += 1;
    for (let part = 0; part < this.parts; part++) {
      const at = members.indexOf(group.owners.get(part)?.member);
      const next = members[(at + 1) % members.length];
      group.target.set(part, next);
      group.owners.set(part, { member: next });
    }
  }

  #sweepGroup(group) {
    const now = performance.now();
    let hasChanged = false;
    for (const [member, { until }] of group.members) {
      if (until > now) continue;
      group.members.delete(member);
      hasChanged = true;
    }
    for (const [part, { member }] of group.owners) {
      if (!group.members.has(member)) group.owners.delete(part);
    }
    if (hasChanged) this.#deal(group);
  }

  #join({ group: name, member, topics, ttl_ms, generation }) {
    const group = this.#group(name, topics);
    this.#sweepGroup(group);
    const isNew = !group.members.has(member);
    group.members.set(member, { until: performance.now() + ttl_ms });
    if (isNew) this.#deal(group);
    // A member that names the present generation has let go what it no longer has.
    if (generation >= group.generation) {
      for (const [part, { member: owner }] of group.owners) {
        if (owner === member && group.target.get(part) !== member) {
          group.owners.delete(part);
        }
      }
    }
    const parts = [];
    for (const [part, target] of group.target) {
      if (target !== member) continue;
      const owner = group.owners.get(part);
      if (owner && owner.member !== member) continue;
      group.owners.set(part, { member });
      parts.push([topics[0], part, 0]);
    }
    return { generation: group.generation, parts };
  }

  #leave({ group: name, member }) {
    const group = this.groups.get(name);
    if (!group?.members.delete(member)) return {};
    for (const [part, { member: owner }] of group.owners) {
      if (owner === member) group.owners.delete(part);
    }
    this.#deal(group);
    return {};
  }
}

export function delay(ms) {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
