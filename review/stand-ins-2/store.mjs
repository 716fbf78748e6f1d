/**
 * Stand-in of the platform's metadata store, as PROTOCOL.md describes it: a log with keyed topics and
 * groups of consumers. `node store.mjs HOST:PORT` serves it until the process ends. Servers and the
 * operator write their own records by `POST /write?topic=..&key=..`, which the system does not use.
 */

import { createServer } from "node:http";

const [host, port] = process.argv[2].split(":");
const appendMilliseconds = 4;
const readMilliseconds = 4;
const heartbeatMilliseconds = 1_200;
const maximumPageRecords = 500;
const maximumPageBytes = 1024 * 1024;
const maximumRecordBytes = 262_144;
const maximumCallBytes = 2_097_152;
const serverTopic = "keyed.servers";
const operatorTopic = "keyed.op";

const partitions = new Map();
const groups = new Map();
const serverHeartbeats = new Map();
/** Topics that are down; their calls get 503. */
const downTopics = new Set();

const pause = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

function partitionOf(topic, part) {
  const name = `${topic}/${part}`;
  let partition = partitions.get(name);
  if (!partition) {
    partition = {
      isKeyed: topic.startsWith("keyed."),
      records: [],
      newest: new Map(),
      waiting: new Set(),
      tail: Promise.resolve(),
    };
    partitions.set(name, partition);
  }
  return partition;
}

function appendRecords(partition, contents) {
  const offset = partition.records.length;
  for (const content of contents) {
    if (partition.isKeyed) {
      const keyEnd = 1 + content[0];
      const key = content.toString("utf8", 1, keyEnd);
      if (keyEnd === content.length) partition.newest.delete(key);
      else {
        const value = content.subarray(keyEnd);
        partition.newest.set(key, {
          key,
          value,
          offset: partition.records.length,
        });
      }
    }
    partition.records.push(content);
  }
  for (const wake of [...partition.waiting]) wake();
  return offset;
}

function splitRecords(body) {
  const contents = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const content = body.subarray(at + 4, at + 4 + length);
    if (content.length < length || length > maximumRecordBytes) {
      return undefined;
    }
    contents.push(content);
    at += 4 + length;
  }
  return contents;
}

function keyedContent(key, value) {
  const name = Buffer.from(key);
  return Buffer.concat([Buffer.from([name.length]), name, value]);
}

function readRecords(partition, from, maximumBytes) {
  const header = Buffer.alloc(16);
  header.writeBigUInt64BE(BigInt(partition.records.length), 0);
  header.writeBigUInt64BE(0n, 8);
  const chunks = [header];
  let bytes = 0;
  for (let offset = from; offset < partition.records.length; offset++) {
    const content = partition.records[offset];
    if (bytes > 0 && bytes + content.length > maximumBytes) break;
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    chunks.push(length, content);
    bytes += content.length + 4;
  }
  return Buffer.concat(chunks);
}

async function waitForRecord(partition, from, milliseconds) {
  if (from < partition.records.length || milliseconds <= 0) return;
  await new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      partition.waiting.delete(finish);
      resolve();
    };
    const timer = setTimeout(finish, Math.min(milliseconds, 30_000));
    partition.waiting.add(finish);
  });
}

function newestPage(partition, after) {
  const keys = [...partition.newest.keys()].sort((left, right) =>
    Buffer.compare(Buffer.from(left), Buffer.from(right))
  ).filter((key) =>
    after === null ||
    Buffer.compare(Buffer.from(key), Buffer.from(after)) > 0
  );
  const items = [];
  let bytes = 0;
  for (const key of keys) {
    const { value, offset } = partition.newest.get(key);
    if (items.length >= maximumPageRecords) break;
    if (items.length > 0 && bytes + value.length > maximumPageBytes) break;
    items.push({ key, value: value.toString("base64"), offset });
    bytes += value.length;
  }
  return {
    items,
    has_more: items.length < keys.length,
    end: partition.records.length,
  };
}

/** Takes partitions from members that are gone, and divides those that nobody holds evenly. */
function settleGroup(group, now) {
  for (const [name, member] of group.members) {
    if (now - member.joinedAt <= member.lease) continue;
    group.members.delete(name);
    group.generation += 1;
  }
  const names = [...group.members.keys()].sort();
  group.wanted = new Map(
    group.slots.map((slot, index) => [
      slot,
      names.length > 0 ? names[index % names.length] : undefined,
    ]),
  );
  for (const slot of group.slots) {
    const holder = group.holders.get(slot);
    if (holder !== undefined && !group.members.has(holder)) {
      group.holders.delete(slot);
    }
    const wanted = group.wanted.get(slot);
    if (!group.holders.has(slot) && wanted !== undefined) {
      group.holders.set(slot, wanted);
    }
  }
}

function join({ group: groupName, member: name, topics, ttl_ms, generation }) {
  const now = performance.now();
  let group = groups.get(groupName);
  if (!group) {
    const slots = topics.flatMap((topic) =>
      Array.from({ length: 8 }, (_, part) => `${topic} ${part}`)
    );
    group = { slots, members: new Map(), holders: new Map(), generation: 1 };
    groups.set(groupName, group);
  }
  if (!group.members.has(name)) group.generation += 1;
  group.members.set(name, { joinedAt: now, lease: ttl_ms });
  settleGroup(group, now);
  for (const slot of group.slots) {
    // A member that knows the present generation has given up what it no longer gets.
    const isRevoked = group.holders.get(slot) === name &&
      group.wanted.get(slot) !== name;
    if (isRevoked && generation >= group.generation) {
      group.holders.set(slot, group.wanted.get(slot));
    }
  }
  const parts = group.slots
    .filter((slot) =>
      group.holders.get(slot) === name && group.wanted.get(slot) === name
    )
    .map((slot) => {
      const [topic, part] = slot.split(" ");
      return [topic, Number(part), 0];
    });
  return { generation: group.generation, parts };
}

function leave({ group: groupName, member }) {
  const group = groups.get(groupName);
  if (!group?.members.delete(member)) return {};
  group.generation += 1;
  settleGroup(group, performance.now());
  return {};
}

/** Removes the entries of servers that were silent for three heartbeats. */
setInterval(() => {
  const limit = performance.now() - 3 * heartbeatMilliseconds;
  for (const [key, at] of serverHeartbeats) {
    if (at > limit) continue;
    serverHeartbeats.delete(key);
    appendRecords(partitionOf(serverTopic, "0"), [
      keyedContent(key, Buffer.alloc(0)),
    ]);
  }
}, 100);

async function answer(request, body) {
  const url = new URL(request.url, "http://store");
  const query = url.searchParams;
  const partition = () => partitionOf(query.get("topic"), query.get("part"));
  if (downTopics.has(query.get("topic"))) return [503, {}];
  switch (`${request.method} ${url.pathname}`) {
    case "POST /log-append": {
      const topic = query.get("topic");
      if (topic === serverTopic || topic === operatorTopic) return [403, {}];
      const contents = splitRecords(body);
      if (!contents || body.length > maximumCallBytes) return [400, {}];
      const target = partition();
      const earlier = target.tail;
      const turn = earlier.then(() => pause(appendMilliseconds));
      target.tail = turn;
      await turn;
      const offset = appendRecords(target, contents);
      return [200, { offset, end: target.records.length }];
    }
    case "GET /log-read": {
      const target = partition();
      const from = Number(query.get("from"));
      await pause(readMilliseconds);
      await waitForRecord(target, from, Number(query.get("wait_ms") ?? 0));
      const kilobytes = Number(query.get("max_kb") ?? 1_024);
      return [200, readRecords(target, from, kilobytes * 1_024)];
    }
    case "GET /log-newest":
      await pause(readMilliseconds);
      return [200, newestPage(partition(), query.get("after"))];
    case "POST /log-join":
      return [200, join(JSON.parse(body.toString()))];
    case "POST /log-leave":
      return [200, leave(JSON.parse(body.toString()))];
    case "POST /write": {
      const key = query.get("key");
      const target = partitionOf(query.get("topic"), "0");
      const known = target.newest.get(key);
      if (query.get("topic") === serverTopic) {
        if (body.length > 0) serverHeartbeats.set(key, performance.now());
        else serverHeartbeats.delete(key);
      }
      // A heartbeat alone changes nothing that the followers have to read.
      if (known && withoutCount(known.value) === withoutCount(body)) {
        return [200, { offset: known.offset }];
      }
      return [200, {
        offset: appendRecords(target, [keyedContent(key, body)]),
      }];
    }
    case "POST /control":
      downTopics.clear();
      for (const topic of query.getAll("down")) downTopics.add(topic);
      return [200, {}];
    default:
      return [404, {}];
  }
}

function withoutCount(value) {
  try {
    return JSON.stringify({ ...JSON.parse(value.toString()), seq: 0 });
  } catch {
    return value.toString("base64");
  }
}

const server = createServer((request, response) => {
  const chunks = [];
  request.on("data", (chunk) => chunks.push(chunk));
  request.on("end", async () => {
    const [status, result] = await answer(request, Buffer.concat(chunks));
    if (response.destroyed) return;
    const isRaw = Buffer.isBuffer(result);
    const bytes = isRaw ? result : Buffer.from(JSON.stringify(result));
    response.writeHead(status, {
      "content-type": isRaw ? "application/octet-stream" : "application/json",
      "content-length": bytes.length,
    });
    response.end(bytes);
  });
});
server.keepAliveTimeout = 60_000;
server.listen(Number(port), host, () => console.log("listening"));
