/** Tests of the engine stand-in: batching, cancellation, resumption, refusals and faults. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { putJson, readJournal, waitFor } from "../shared/test-support.ts";
import { promptDigest } from "./answer.ts";
import { startEngine } from "./engine.ts";

type Settings = Parameters<typeof startEngine>[0];

async function withEngine(
  settings: Settings,
  action: (url: string) => Promise<void>,
) {
  const engine = await startEngine({
    port: 0,
    minimumPrefillMilliseconds: 1,
    tokenMilliseconds: 2,
    stopLimitMilliseconds: 100,
    ...settings,
  });
  try {
    await action(`http://127.0.0.1:${engine.port}`);
  } finally {
    await engine.close();
  }
}

const messagesOf = (text: string) => [{ role: "user", content: text }];

function chat(url: string, text: string, extra: object = {}, id = text) {
  const { signal, ...fields } = extra as { signal?: AbortSignal };
  return fetch(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { "x-request-id": id },
    body: JSON.stringify({
      model: "walnut-7b",
      messages: messagesOf(text),
      ...fields,
    }),
    signal: signal ?? null,
  });
}

const contentOf = async (response: Response) =>
  (await response.json()).choices[0].message.content as string;

function eventsOf(text: string) {
  return text.split("\n").filter((line) => line.startsWith("data: "))
    .map((line) => line.slice("data: ".length));
}

const textOf = (events: string[]) =>
  events.filter((data) => data !== "[DONE]")
    .map((data) => JSON.parse(data).choices[0]?.delta.content ?? "").join("");

test("JSON and streamed answers agree, are deterministic and contain the digest of the prompt", async () => {
  await withEngine({}, async (url) => {
    const whole = await contentOf(await chat(url, "lot 17"));
    const response = await chat(url, "lot 17", { stream: true }, "r1");
    assert.equal(response.headers.get("x-request-id"), "r1");
    const events = eventsOf(await response.text());
    assert.equal(events.at(-1), "[DONE]");
    assert.equal(textOf(events), whole);
    assert.ok(whole.startsWith(`digest:${promptDigest(messagesOf("lot 17"))}`));
    const short = await (await chat(url, "lot 17", { max_tokens: 2 })).json();
    assert.equal(short.usage.completion_tokens, 2);
    assert.equal(short.choices[0].finish_reason, "length");
  });
});

test("the number of running requests is bounded, and the queue is first in, first out", async () => {
  await withEngine({ concurrency: 2 }, async (url) => {
    const finished: number[] = [];
    await Promise.all([...Array(8).keys()].map(async (index) => {
      await delay(index * 3);
      await (await chat(url, `item ${index}`, { max_tokens: 8 })).json();
      finished.push(index);
    }));
    const statistics = await (await fetch(`${url}/statistics`)).json();
    assert.equal(statistics.peakRunning, 2);
    assert.equal(statistics.completed, 8);
    finished.forEach((index, position) =>
      assert.ok(Math.abs(index - position) <= 1, String(finished))
    );
  });
});

test("a disconnect frees the slot immediately, and the stream can be resumed", async () => {
  await withEngine(
    { concurrency: 1, minimumTokens: 50, maximumTokens: 50 },
    async (url) => {
      const abort = new AbortController();
      const response = await chat(url, "long", {
        stream: true,
        signal: abort.signal,
      });
      const reader = response.body?.getReader();
      const seen = new TextDecoder().decode((await reader?.read())?.value);
      abort.abort();
      await waitFor(
        "the cancellation in the journal",
        async () => (await readJournal(url))[0]?.outcome === "cancelled",
      );
      const next = await contentOf(await chat(url, "next"));
      assert.ok(next.includes(promptDigest(messagesOf("next"))));
      const from = eventsOf(seen).length;
      const resumed = await fetch(`${url}/v1/streams/long/resume`, {
        method: "POST",
        body: JSON.stringify({ from }),
      });
      const rest = eventsOf(await resumed.text());
      const whole = await contentOf(await chat(url, "long"));
      assert.equal(textOf(eventsOf(seen)) + textOf(rest), whole);
      const state = await (await fetch(`${url}/kv/long`)).json();
      await putJson(`${url}/kv/long`, state);
    },
  );
});

test("a full queue, an impossible request, an unknown model and an old order are refused", async () => {
  await withEngine(
    { concurrency: 1, rejectWhenFull: true, minimumTokens: 50 },
    async (url) => {
      const first = chat(url, "first");
      await waitFor(
        "the first request runs",
        async () =>
          (await (await fetch(`${url}/statistics`)).json()).running === 1,
      );
      const refused = await chat(url, "second");
      assert.equal(refused.status, 503);
      assert.equal(refused.headers.get("x-not-admitted"), "true");
      await (await first).text();
      assert.equal((await chat(url, "IMPOSSIBLE lot")).status, 400);
      assert.equal((await chat(url, "x", { model: "none" })).status, 404);
      const order = (fencingToken: number) =>
        fetch(`${url}/orders`, {
          method: "POST",
          body: JSON.stringify({ order: { kind: "set_role" }, fencingToken }),
        });
      assert.equal((await order(7)).status, 200);
      assert.equal((await order(6)).status, 409);
      assert.deepEqual(
        (await readJournal(url)).map((line) => line.outcome),
        [
          "completed",
          "rejected",
          "failed",
          "rejected",
          "completed",
          "rejected",
        ],
      );
    },
  );
});

test("faults truncate an answer, swap answers and end a stream without its last event", async () => {
  await withEngine({}, async (url) => {
    await (await chat(url, "earlier")).json();
    await putJson(`${url}/faults`, { truncateAnswers: 1 });
    await assert.rejects(async () => await (await chat(url, "cut")).text());
    await putJson(`${url}/faults`, { swapAnswers: 1 });
    const swapped = await chat(url, "mine");
    assert.equal(swapped.headers.get("x-request-id"), "cut");
    assert.ok(
      (await contentOf(swapped)).includes(promptDigest(messagesOf("cut"))),
    );
    await putJson(`${url}/faults`, { endWithoutDone: 1 });
    const events = eventsOf(
      await (await chat(url, "open", { stream: true })).text(),
    );
    assert.ok(events.length > 0 && !events.includes("[DONE]"));
  });
});

test("a cached prefix shortens prefill, and the cache stays within its capacity", async () => {
  const settings = {
    prefillMillisecondsPerThousandCharacters: 100,
    cacheBlocks: 40,
    cacheEventLagMilliseconds: 0,
    cacheEventLossShare: 0,
  };
  await withEngine(settings, async (url) => {
    const prefix = "sorting rules ".repeat(150);
    const timed = async (text: string) => {
      const startedAt = performance.now();
      await (await chat(url, text, { max_tokens: 1 })).json();
      return performance.now() - startedAt;
    };
    const cold = await timed(prefix + "a");
    const warm = await timed(prefix + "b");
    assert.ok(cold > 200 && warm < cold / 2, `cold ${cold}, warm ${warm}`);
    await timed("other text ".repeat(200));
    const { cacheBlocks } = await (await fetch(`${url}/statistics`)).json();
    assert.equal(cacheBlocks, 40);
    const { events } = await (await fetch(`${url}/cache-events`)).json();
    const types = new Set(events.map((event: { type: string }) => event.type));
    assert.deepEqual([...types], ["stored", "evicted"]);
  });
});
