/** Tests of the log stand-in through the log client: appends, reads, retention and faults. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import type { Offset, StreamName } from "../../common/ids.ts";
import { HttpLogClient } from "../../log/log-client.ts";
import { startLogService } from "./log-service.ts";

const stream = "control" as StreamName;
const bytes = (text: string) => Buffer.from(text);
const from = (offset: number, waitMilliseconds = 0) => ({
  from: offset as Offset,
  waitMilliseconds,
});

async function withLog(
  settings: Parameters<typeof startLogService>[0],
  action: (client: HttpLogClient, url: string) => Promise<void>,
) {
  const service = await startLogService({ port: 0, ...settings });
  const url = `http://127.0.0.1:${service.port}`;
  const client = new HttpLogClient({ baseUrl: url, timeoutMilliseconds: 500 });
  try {
    await action(client, url);
  } finally {
    await client.close();
    await service.close();
  }
}

const putFaults = (url: string, faults: object) =>
  fetch(`${url}/faults`, { method: "PUT", body: JSON.stringify(faults) });

test("records are read back in order, and an append ends a long poll", async () => {
  await withLog({}, async (client) => {
    for (const [index, text] of ["a", "b", "c"].entries()) {
      assert.equal(await client.append(stream, bytes(text)), index);
    }
    const all = await client.read(stream, from(0));
    assert.deepEqual([all.start, all.end], [0, 3]);
    assert.deepEqual(
      all.records.map((record) => Buffer.from(record.data).toString()),
      ["a", "b", "c"],
    );
    const first = await client.read(stream, { ...from(1), maximumBytes: 1 });
    assert.deepEqual(first.records.map((record) => record.offset), [1]);
    const poll = client.read(stream, from(3, 20_000));
    await client.append(stream, bytes("d"));
    assert.equal((await poll).records[0]?.offset, 3);
    assert.equal((await client.read(stream, from(4, 10))).records.length, 0);
  });
});

test("appends above the rate and calls during an outage are refused without effect", async () => {
  await withLog({ appendsPerSecond: 2 }, async (client, url) => {
    await client.append(stream, bytes("1"));
    await client.append(stream, bytes("2"));
    const refused = { mayHaveTakenEffect: false };
    await assert.rejects(client.append(stream, bytes("3")), refused);
    const poll = client.read(stream, from(2, 20_000));
    await putFaults(url, { outage: true });
    await assert.rejects(poll, refused);
    await assert.rejects(client.append(stream, bytes("4")), refused);
    await putFaults(url, { slowMilliseconds: 1 });
    await assert.rejects(client.read(stream, from(0)), refused);
    await putFaults(url, { outage: false });
    assert.equal((await client.read(stream, from(0))).end, 2);
  });
});

test("an append whose answer is dropped has taken effect", async () => {
  await withLog({}, async (client, url) => {
    await putFaults(url, { dropAppendAnswers: 1 });
    await assert.rejects(client.append(stream, bytes("lost")), {
      mayHaveTakenEffect: true,
    });
    assert.equal(await client.append(stream, bytes("next")), 1);
    const statistics = await (await fetch(`${url}/statistics`)).json();
    assert.equal(statistics.appends, 2);
    assert.equal(statistics.peakAppendsInAnySecond, 2);
  });
});

test("records older than the retention are dropped, and a read starts after them", async () => {
  await withLog({ retentionSeconds: 0.2 }, async (client) => {
    await client.append(stream, bytes("old"));
    while ((await client.read(stream, from(0))).start === 0) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    assert.equal(await client.append(stream, bytes("new")), 1);
    const result = await client.read(stream, from(0));
    assert.deepEqual(result.records.map((record) => record.offset), [1]);
  });
});
