/**
 * A stand-in of the platform's metadata store: a log with keyed topics, long polls and groups, in
 * memory, as PROTOCOL.md describes it. Calls that the entry program does not make are left out.
 */

import { createServer } from "node:http";

const statusOk = 200;
const maximumPageItems = 500;
const maximumPageBytes = 1_000_000;
const groupMemberPattern = /^\/log-(join|leave|commit)$/;

export class Store {
  #options;
  #topics = new Map();
  #groups = new Map();
  #server;
  #openSockets = new Set();
  #silentSockets = new WeakSet();
  #expiryTimer;
  /** Bytes of all records that are still kept. */
  storedBytes = 0;
  /** Appends that were answered with 507. */
  fullAnswers = 0;
  /** Appends that were refused since a record or the call is too large. */
  tooLargeAnswers = 0;

  /**
   * `provider` holds the fields of the settings of the same name; `maximumStoredBytes` is the limit
   * above which appends get 507, or undefined for none.
   */
  constructor({ provider, maximumStoredBytes }) {
    this.#options = { provider, maximumStoredBytes };
  }

  async listen(host, port) {
    this.#server = createServer(
      { keepAliveTimeout: 60_000 },
      (request, response) => this.#receive(request, response),
    );
    this.#server.on("connection", (socket) => {
      this.#openSockets.add(socket);
      socket.once("close", () => this.#openSockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(port, host, resolve));
    this.#expiryTimer = setInterval(() => this.#expire(), 1_000);
  }

  /** Nothing more passes on the channels that are open now, which stay open; new ones work. */
  silenceOpenChannels() {
    for (const socket of this.#openSockets) this.#silentSockets.add(socket);
  }

  close() {
    clearInterval(this.#expiryTimer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a record as the operator and the servers do. */
  put(topic, key, value) {
    this.#append(this.#partOf(topic, 0), [{
      key,
      value: Buffer.from(JSON.stringify(value)),
    }]);
  }

  remove(topic, key) {
    this.#append(this.#partOf(topic, 0), [{ key, value: undefined }]);
  }

  #partOf(topic, part) {
    const id = `${topic}/${part}`;
    let found = this.#topics.get(id);
    if (!found) {
      found = {
        log: [],
        first: 0,
        end: 0,
        newest: new Map(),
        waiting: new Set(),
        busyUntil: 0,
      };
      this.#topics.set(id, found);
    }
    return found;
  }

  #append(part, entries) {
    const offset = part.end;
    for (const { key, value } of entries) {
      const bytes = 5 + Buffer.byteLength(key) + (value?.length ?? 0);
      const record = {
        key,
        value,
        offset: part.end,
        at: Date.now(),
        bytes,
        isInLog: true,
        isNewest: value !== undefined,
      };
      part.end += 1;
      part.log.push(record);
      this.storedBytes += bytes;
      const replaced = part.newest.get(key);
      if (replaced) {
        replaced.isNewest = false;
        this.#release(replaced);
      }
      if (value === undefined) part.newest.delete(key);
      else part.newest.set(key, record);
    }
    for (const wake of [...part.waiting]) wake();
    return offset;
  }

  /** Records leave the history after its retention; the newest of each key stays. */
  #expire() {
    const limit = Date.now() - this.#options.provider.retention_s * 1_000;
    for (const part of this.#topics.values()) {
      while (part.log.length > 0 && part.log[0].at < limit) {
        const record = part.log.shift();
        part.first = record.offset + 1;
        record.isInLog = false;
        this.#release(record);
      }
    }
  }

  #release(record) {
    if (!record.isInLog && !record.isNewest) this.storedBytes -= record.bytes;
  }

  #receive(request, response) {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => {});
    const end = response.end.bind(response);
    response.end = (...content) => {
      if (!this.#silentSockets.has(request.socket)) end(...content);
    };
    request.on("end", () => {
      if (this.#silentSockets.has(request.socket)) return;
      const url = new URL(request.url, "http://store");
      const body = Buffer.concat(chunks);
      const member = groupMemberPattern.exec(url.pathname);
      if (url.pathname === "/log-append") {
        return this.#handleAppend(url.searchParams, body, response);
      }
      if (url.pathname === "/log-read") {
        return this.#handleRead(url.searchParams, response);
      }
      if (url.pathname === "/log-newest") {
        return this.#handleNewest(url.searchParams, response);
      }
      if (url.pathname === "/log-trim") {
        return this.#handleTrim(JSON.parse(body), response);
      }
      if (member) {
        return this.#handleGroup(member[1], JSON.parse(body), response);
      }
      sendJson(response, 404, {});
    });
  }

  #handleAppend(query, body, response) {
    const topic = query.get("topic");
    const { provider, maximumStoredBytes } = this.#options;
    const { call_bytes, record_bytes, append_ms, ingress_per_s } = provider;
    if (topic === "keyed.op" || topic === "keyed.servers") {
      return sendJson(response, 403, {});
    }
    const entries = decodeRecords(body);
    const isTooLarge = body.length > call_bytes + 4 * entries.length ||
      entries.some(({ bytes }) => bytes > record_bytes);
    if (isTooLarge) {
      this.tooLargeAnswers += 1;
      return sendJson(response, 413, { why: "too large" });
    }
    const part = this.#partOf(topic, Number(query.get("part")));
    const now = Date.now();
    const wait = Math.max(0, part.busyUntil - now);
    if (wait > 2_000) return sendJson(response, 503, {});
    if (
      maximumStoredBytes !== undefined &&
      this.storedBytes + body.length > maximumStoredBytes
    ) {
      this.fullAnswers += 1;
      return sendJson(response, 507, {});
    }
    const duration = append_ms + body.length / (ingress_per_s * 1_000);
    part.busyUntil = now + wait + duration;
    setTimeout(() => {
      const offset = this.#append(part, entries);
      sendJson(response, statusOk, { offset, end: part.end });
    }, wait + duration);
  }

  #handleRead(query, response) {
    const part = this.#partOf(query.get("topic"), Number(query.get("part")));
    const from = Number(query.get("from"));
    const maximumBytes = Number(query.get("max_kb") ?? 1_024) * 1_024;
    const answer = () => {
      if (response.destroyed) return;
      if (from < part.first) {
        return sendJson(response, 410, { first: part.first });
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(part.end), 0);
      head.writeBigUInt64BE(BigInt(part.first), 8);
      const chunks = [head];
      let size = 0;
      for (let index = from - part.first; index < part.log.length; index++) {
        const bytes = encodeRecord(part.log[index]);
        if (size > 0 && size + bytes.length > maximumBytes) break;
        chunks.push(bytes);
        size += bytes.length;
      }
      response.writeHead(statusOk, {
        "content-type": "application/octet-stream",
      });
      response.end(Buffer.concat(chunks));
    };
    const wait = Number(query.get("wait_ms") ?? 0);
    if (wait === 0 || from < part.end) {
      setTimeout(answer, this.#options.provider.append_ms);
      return;
    }
    const wake = () => {
      clearTimeout(timer);
      part.waiting.delete(wake);
      answer();
    };
    const timer = setTimeout(wake, wait);
    part.waiting.add(wake);
  }

  #handleNewest(query, response) {
    const part = this.#partOf(query.get("topic"), Number(query.get("part")));
    const after = query.get("after");
    const keys = [...part.newest.keys()].filter((key) =>
      after === null || key > after
    ).sort();
    const items = [];
    let size = 0;
    for (const key of keys) {
      const { value, offset } = part.newest.get(key);
      if (items.length >= maximumPageItems) break;
      if (items.length > 0 && size + value.length > maximumPageBytes) break;
      size += value.length;
      items.push({ key, value: value.toString("base64"), offset });
    }
    sendJson(response, statusOk, {
      items,
      has_more: items.length < keys.length,
      end: part.end,
    });
  }

  #handleTrim({ topic, part: number, before }, response) {
    const part = this.#partOf(topic, number);
    while (part.log.length > 0 && part.log[0].offset < before) {
      const record = part.log.shift();
      part.first = record.offset + 1;
      record.isInLog = false;
      this.#release(record);
    }
    sendJson(response, statusOk, {});
  }

  #handleGroup(call, body, response) {
    const group = this.#groups.get(body.group) ??
      {
        generation: 0,
        members: new Map(),
        holders: new Map(),
        targets: new Map(),
        topics: [],
      };
    this.#groups.set(body.group, group);
    if (call === "commit") return sendJson(response, statusOk, {});
    const now = Date.now();
    let hasChanged = false;
    for (const [name, member] of group.members) {
      if (now - member.lastAt > member.ttl) {
        this.#dropMember(group, name);
        hasChanged = true;
      }
    }
    if (call === "leave") {
      if (group.members.has(body.member)) {
        this.#dropMember(group, body.member);
        this.#assign(group);
      }
      return sendJson(response, statusOk, {});
    }
    if (!group.members.has(body.member)) hasChanged = true;
    group.topics = body.topics;
    group.members.set(body.member, { lastAt: now, ttl: body.ttl_ms });
    // A partition is free once its holder has joined with the generation that took it away.
    if (body.generation >= group.generation) {
      this.#releaseRevoked(group, body.member);
    }
    if (hasChanged) this.#assign(group);
    const parts = [];
    for (const [partition, target] of group.targets) {
      if (target !== body.member) continue;
      const holder = group.holders.get(partition);
      if (holder !== undefined && holder !== body.member) continue;
      group.holders.set(partition, body.member);
      const [topic, number] = partition.split("#");
      parts.push([topic, Number(number), 0]);
    }
    sendJson(response, statusOk, { generation: group.generation, parts });
  }

  #dropMember(group, name) {
    group.members.delete(name);
    for (const [partition, holder] of group.holders) {
      if (holder === name) group.holders.delete(partition);
    }
  }

  #releaseRevoked(group, name) {
    for (const [partition, holder] of group.holders) {
      if (holder === name && group.targets.get(partition) !== name) {
        group.holders.delete(partition);
      }
    }
  }

  /** Distributes the partitions evenly and moves as few as possible. */
  #assign(group) {
    group.generation += 1;
    const members = [...group.members.keys()].sort();
    const partitions = group.topics.flatMap((topic) =>
      Array.from(
        { length: this.#options.provider.parts },
        (_, number) => `${topic}#${number}`,
      )
    );
    const most = Math.ceil(partitions.length / Math.max(1, members.length));
    const counts = new Map(members.map((name) => [name, 0]));
    const open = [];
    for (const partition of partitions) {
      const target = group.targets.get(partition);
      if (counts.has(target) && counts.get(target) < most) {
        counts.set(target, counts.get(target) + 1);
      } else open.push(partition);
    }
    for (const partition of open) {
      const [name] = members.toSorted((left, right) =>
        counts.get(left) - counts.get(right)
      );
      if (name === undefined) group.targets.delete(partition);
      else {
        group.targets.set(partition, name);
        counts.set(name, counts.get(name) + 1);
      }
    }
  }
}

function decodeRecords(body) {
  const entries = [];
  for (let position = 0; position + 4 <= body.length;) {
    const bytes = body.readUInt32BE(position);
    const content = body.subarray(position + 4, position + 4 + bytes);
    const keyEnd = 1 + content.readUInt8(0);
    entries.push({
      bytes,
      key: content.toString("utf8", 1, keyEnd),
      value: keyEnd === content.length
        ? undefined
        : Buffer.from(content.subarray(keyEnd)),
    });
    position += 4 + bytes;
  }
  return entries;
}

function encodeRecord({ key, value }) {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + keyBytes.length + (value?.length ?? 0));
  head.writeUInt8(keyBytes.length, 4);
  return Buffer.concat(value ? [head, keyBytes, value] : [head, keyBytes]);
}

function sendJson(response, status, value) {
  if (response.destroyed) return;
  const bytes = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": bytes.length,
  });
  response.end(bytes);
}
